//! One attempt at an upstream, with a hedged second one if that is due, until the head of a response.

use {
    crate::{
        connection_pool::{Connection, ConnectionPool},
        counters::EntryCounters,
        notice_recorder::NoticeRecorder,
        outgoing::{OutgoingRequest, REQUEST_ID},
        request_body::RequestBody,
        response_body::{FaultReport, UpstreamBody},
        response_wait,
        service::Attempt,
        upstream_notices::UpstreamNotices,
    },
    hyper::{Response, StatusCode},
    pointvane_balance::AttemptOutcome,
    pointvane_core::{ErrorKind, HedgeSchedule, US_PER_MS},
    pointvane_serve::{CheckedBody, EndCheck, FaultHandling, SendError, UpstreamPresence, is_end_of_body},
    std::{sync::Arc, time::Duration},
    tokio::{
        net::TcpStream,
        spawn,
        time::{Instant, sleep_until, timeout_at},
    },
};

const MS_PER_S: f64 = 1_000.0;

/// Result of one attempt.
pub enum UpstreamAttempt {
    /// The head of a response was received.
    Response(Response<UpstreamBody>),
    /// An error response that reports a failure of the upstream. It goes to the caller if no other attempt
    /// may be made.
    ErrorResponse(Response<UpstreamBody>),
    /// Nothing was sent; holds the request body.
    Unsent(RequestBody, ErrorKind),
    /// Part of the request may have been sent, or the deadline passed before sending.
    Broken(ErrorKind),
}

/// Makes one attempt of an idempotent request, with a second one beside it if the first is slow and there is
/// spare capacity.
pub async fn attempt_hedged(
    outgoing: &OutgoingRequest<'_>,
    attempt: Attempt,
    connections: &ConnectionPool,
    counters: &EntryCounters,
) -> UpstreamAttempt {
    let first = attempt.upstream();
    let hedge_after_us = outgoing.request.service.lock().hedge_after_us();
    let first_attempt = attempt_once(outgoing, RequestBody::Empty, attempt, connections, counters);
    let Some(hedge_after_us) = hedge_after_us else {
        return first_attempt.await;
    };
    tokio::pin!(first_attempt);
    let started_at = Instant::now();
    let mut schedule = HedgeSchedule::new(hedge_after_us as f64 / US_PER_MS as f64);
    let second = loop {
        let hedge_at = started_at + Duration::from_secs_f64(schedule.next_ms() / MS_PER_S);
        tokio::select! {
            biased;
            outcome = &mut first_attempt => return outcome,
            () = sleep_until(hedge_at) => schedule.record_attempt(),
        }
        if let Some(second) = outgoing.request.service.hedge(first) {
            break second;
        }
    };
    counters.hedged();
    let second_attempt = attempt_once(outgoing, RequestBody::Empty, second, connections, counters);
    tokio::pin!(second_attempt);
    // Dropping the slower attempt cancels it at its upstream.
    tokio::select! {
        outcome = &mut first_attempt => success_or(outcome, second_attempt).await,
        outcome = &mut second_attempt => success_or(outcome, first_attempt).await,
    }
}

/// Returns `outcome` if it is a usable response, or else the outcome of the other attempt.
async fn success_or(
    outcome: UpstreamAttempt,
    other: impl Future<Output = UpstreamAttempt>,
) -> UpstreamAttempt {
    if matches!(outcome, UpstreamAttempt::Response(_)) { outcome } else { other.await }
}

/// Sends a request to one upstream and waits for the head of its response.
pub async fn attempt_once(
    outgoing: &OutgoingRequest<'_>,
    body: RequestBody,
    attempt: Attempt,
    connections: &ConnectionPool,
    counters: &EntryCounters,
) -> UpstreamAttempt {
    let give_up_at = outgoing.give_up_at(!body.is_empty());
    let Ok(connection) = connections.acquire(attempt.address()).await else {
        attempt.end(AttemptOutcome::Failed);
        return UpstreamAttempt::Unsent(body, ErrorKind::UpstreamUnreachable);
    };
    // Checked again right before the first byte is sent, as the process may have been paused.
    if outgoing.remaining_us() == 0 {
        return UpstreamAttempt::Broken(ErrorKind::DeadlinePassed);
    }
    if attempt.is_upstream_backing_off() {
        attempt.end(AttemptOutcome::Cancelled);
        return UpstreamAttempt::Unsent(body, ErrorKind::UpstreamsBackingOff);
    }
    counters.attempted();
    let recorder = NoticeRecorder::from(&attempt);
    let deadline_us = outgoing.request.deadline_us;
    let response_wait = response_wait::send(connection, outgoing.build(body), recorder, deadline_us);
    let Ok((connection, result)) = timeout_at(give_up_at, response_wait).await else {
        return UpstreamAttempt::Broken(ErrorKind::UpstreamTimeout);
    };
    report_malformed(outgoing, &attempt, counters, &connection, &result);
    match result {
        Ok(response) => {
            counters.upstream_responded(&outgoing.request.service.name, attempt.elapsed_s());
            let report = FaultReport {
                request_id: outgoing.head.headers.get(REQUEST_ID).cloned(),
                counter: counters.responses_malformed().clone(),
            };
            handle_response(response, attempt, connection, report)
        }
        Err(error) => handle_send_error(error, attempt),
    }
}

/// Counts a response that is malformed, and has a line written on it.
fn report_malformed(
    outgoing: &OutgoingRequest<'_>,
    attempt: &Attempt,
    counters: &EntryCounters,
    connection: &Connection,
    result: &Result<Response<CheckedBody>, SendError<RequestBody>>,
) {
    let (fault, handling) = match (connection.repaired(), result) {
        (Some(fault), Ok(_)) => (fault, FaultHandling::Repaired),
        (_, Err(SendError::Malformed(fault))) => (*fault, FaultHandling::Refused),
        _ => return,
    };
    counters.responses_malformed().add(fault, handling);
    attempt.record_malformed(outgoing.request_id(), fault, handling);
}

/// Ends an attempt whose connection failed without a response.
fn handle_send_error(error: SendError<RequestBody>, attempt: Attempt) -> UpstreamAttempt {
    attempt.end(AttemptOutcome::Failed);
    match error {
        SendError::Unsent(request) => {
            UpstreamAttempt::Unsent(request.into_body(), ErrorKind::UpstreamUnreachable)
        }
        SendError::Broken | SendError::Malformed(_) => UpstreamAttempt::Broken(ErrorKind::UpstreamBroken),
    }
}

/// Processes the head of a response; the end of its body ends the attempt.
fn handle_response(
    response: Response<CheckedBody>,
    mut attempt: Attempt,
    connection: Connection,
    report: FaultReport,
) -> UpstreamAttempt {
    let notices = UpstreamNotices::from_response(&response);
    attempt.set_report(notices.report);
    // Recorded at the head rather than the end of the body: no other requests may be sent there meanwhile.
    if let Some(for_us) = notices.back_off_us {
        attempt.record_back_off(for_us);
    }
    attempt.record_head(notices.limit);
    let end = attempt_outcome(response.status());
    let response = response.map(|body| {
        let is_leaving = notices.report.is_some_and(|report| report.draining);
        let body = if connection.ends_body() && !is_leaving { with_end_check(body, &attempt) } else { body };
        UpstreamBody::new(body, connection, Some((attempt, report)), end)
    });
    if end == AttemptOutcome::Answered {
        UpstreamAttempt::Response(response)
    } else {
        UpstreamAttempt::ErrorResponse(response)
    }
}

/// Has the end of a body confirmed that only the end of its connection shows.
fn with_end_check(body: CheckedBody, attempt: &Attempt) -> CheckedBody {
    let (service, upstream, address) = (Arc::clone(attempt.service()), attempt.upstream(), attempt.address());
    let is_end = async move {
        let presence = || match service.lock().is_leaving(upstream) {
            true => UpstreamPresence::Leaving,
            false => UpstreamPresence::Running,
        };
        is_end_of_body(TcpStream::connect(address), presence).await
    };
    let (check, task) = EndCheck::new(is_end);
    spawn(task);
    body.with_end_check(check)
}

/// Result of an attempt by the status of its response.
fn attempt_outcome(status: StatusCode) -> AttemptOutcome {
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => AttemptOutcome::Shed,
        status if status.is_server_error() => AttemptOutcome::Failed,
        _ => AttemptOutcome::Answered,
    }
}
