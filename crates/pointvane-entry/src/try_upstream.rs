//! One attempt at an upstream, with a hedge beside it if that is due, until the head of an answer comes.

use {
    crate::{
        answer_wait,
        body::UpstreamBody,
        connections::{Connection, Connections, SendError},
        counters::EntryCounters,
        head_notices::HeadNotices,
        notice_recorder::NoticeRecorder,
        outgoing::Outgoing,
        request_body::RequestBody,
        service::Attempt,
    },
    hyper::{Response, StatusCode, body::Incoming},
    pointvane_balance::AttemptEnd,
    pointvane_core::{ErrorKind, HedgeSchedule, US_PER_MS},
    std::time::Duration,
    tokio::time::{Instant, sleep_until, timeout_at},
};

/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;

/// How one attempt ended.
pub enum Tried {
    /// The head of an answer came.
    Answer(Response<UpstreamBody>),
    /// An answer came that says the upstream cannot serve; it is good enough if no other try is left.
    BadAnswer(Response<UpstreamBody>),
    /// Nothing was sent.
    Unsent(RequestBody, ErrorKind),
    /// Something may have been sent.
    Broken(ErrorKind),
}

/// One attempt of repeatable work, with a second one beside it if it is slow and there is slack.
pub async fn try_hedged(
    outgoing: &Outgoing<'_>,
    attempt: Attempt,
    connections: &Connections,
    counters: &EntryCounters,
) -> Tried {
    let first = attempt.upstream();
    let hedge_after_us = outgoing.request.service.lock().hedge_after_us();
    let first_try = try_once(outgoing, RequestBody::Empty, attempt, connections, counters);
    let Some(hedge_after_us) = hedge_after_us else {
        return first_try.await;
    };
    tokio::pin!(first_try);
    let began = Instant::now();
    let mut schedule = HedgeSchedule::new(hedge_after_us as f64 / US_PER_MS as f64);
    let second = loop {
        let hedge_at = began + Duration::from_secs_f64(schedule.next_ms() / MS_PER_S);
        tokio::select! {
            biased;
            tried = &mut first_try => return tried,
            () = sleep_until(hedge_at) => schedule.tried(),
        }
        if let Some(second) = outgoing.request.service.hedge(first) {
            break second;
        }
    };
    counters.hedged();
    let second_try = try_once(outgoing, RequestBody::Empty, second, connections, counters);
    tokio::pin!(second_try);
    // The one that loses is dropped, which cancels it at its upstream.
    tokio::select! {
        tried = &mut first_try => good_or(tried, second_try).await,
        tried = &mut second_try => good_or(tried, first_try).await,
    }
}

/// A good end, or else the other attempt's.
async fn good_or(tried: Tried, other: impl Future<Output = Tried>) -> Tried {
    if matches!(tried, Tried::Answer(_)) { tried } else { other.await }
}

/// Sends a request to one upstream and waits for the head of its answer.
pub async fn try_once(
    outgoing: &Outgoing<'_>,
    body: RequestBody,
    attempt: Attempt,
    connections: &Connections,
    counters: &EntryCounters,
) -> Tried {
    let give_up_at = outgoing.give_up_at(!body.is_empty());
    let Ok(connection) = connections.get(attempt.address()).await else {
        attempt.end(AttemptEnd::Failed);
        return Tried::Unsent(body, ErrorKind::UpstreamUnreachable);
    };
    // Read again right before the first byte goes out: this process may have been paused.
    if outgoing.left_us() == 0 {
        return Tried::Broken(ErrorKind::DeadlinePassed);
    }
    if attempt.is_unwanted() {
        attempt.end(AttemptEnd::Cancelled);
        return Tried::Unsent(body, ErrorKind::UpstreamsBackingOff);
    }
    counters.attempted();
    let answer_by_us = outgoing.request.deadline_us;
    let sending =
        answer_wait::send(connection, outgoing.build(body), NoticeRecorder::from(&attempt), answer_by_us);
    match timeout_at(give_up_at, sending).await {
        Ok((connection, Ok(response))) => {
            counters.upstream_took(&outgoing.request.service.name, attempt.age_s());
            answered(response, attempt, connection)
        }
        Ok((_, Err(error))) => unanswered(error, attempt),
        Err(_) => Tried::Broken(ErrorKind::UpstreamTimeout),
    }
}

/// Takes the end of a connection without an answer.
fn unanswered(error: SendError, attempt: Attempt) -> Tried {
    attempt.end(AttemptEnd::Failed);
    match error {
        SendError::Unsent(request) => Tried::Unsent(request.into_body(), ErrorKind::UpstreamUnreachable),
        SendError::Broken => Tried::Broken(ErrorKind::UpstreamBroken),
    }
}

/// Takes the head of an answer; its body ends the attempt.
fn answered(response: Response<Incoming>, mut attempt: Attempt, connection: Connection) -> Tried {
    let notices = HeadNotices::of(&response);
    attempt.reported(notices.report);
    // At the head, not at the end of the body: other requests must not be sent there meanwhile.
    if let Some(for_us) = notices.back_off_us {
        attempt.back_off(for_us);
    }
    attempt.record_limit(notices.limit);
    let end = end_of(response.status());
    let response = response.map(|body| UpstreamBody::new(body, connection, Some(attempt), end));
    if end == AttemptEnd::Answered { Tried::Answer(response) } else { Tried::BadAnswer(response) }
}

/// What a status says of the upstream.
fn end_of(status: StatusCode) -> AttemptEnd {
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => AttemptEnd::Shed,
        status if status.is_server_error() => AttemptEnd::Failed,
        _ => AttemptEnd::Answered,
    }
}
