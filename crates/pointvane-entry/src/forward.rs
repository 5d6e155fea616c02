//! Fourth stage: attempts at upstreams, until one gives the head of an answer.
//!
//! Truth about what ran: an attempt that did not connect, or whose request `hyper` gives back, sent nothing
//! and is free to go elsewhere. Any other failure leaves the outcome unknown; then only repeatable work is
//! tried again, within the retry budget.

use {
    crate::{
        answer::strip_hop_by_hop,
        body::UpstreamBody,
        classify::Classified,
        connections::{Connection, Connections, SendError},
        counters::EntryCounters,
        request_body::RequestBody,
        service::Attempt,
    },
    hyper::{Request, Response, StatusCode, body::Incoming, header::HeaderValue, http::request::Parts},
    pointvane_balance::AttemptEnd,
    pointvane_core::{ErrorKind, LoadReport, US_PER_MS, header},
    std::{mem, time::Duration},
    tokio::time::{Instant, sleep_until, timeout_at},
};

/// Longest time for a body that streams under no deadline: a day. Not measured: only a bound.
const STREAM_TIME_MAX: Duration = Duration::from_secs(86_400);

/// A request on its way, with what is needed to send it more than once.
#[derive(Debug)]
pub struct Outgoing<'r> {
    /// What it is.
    pub request: &'r Classified,
    /// Its head, cleared of what concerns the caller's connection.
    pub head: Parts,
}

/// How one attempt ended.
enum Tried {
    /// The head of an answer came.
    Answer(Response<UpstreamBody>),
    /// An answer came that says the upstream cannot serve; it is good enough if no other try is left.
    BadAnswer(Response<UpstreamBody>),
    /// Nothing was sent.
    Unsent(RequestBody, ErrorKind),
    /// Something may have been sent.
    Broken(ErrorKind),
}

impl<'r> Outgoing<'r> {
    /// A request whose head is cleared for the next hop.
    pub fn new(request: &'r Classified, mut head: Parts) -> Self {
        strip_hop_by_hop(&mut head.headers);
        Self { request, head }
    }

    /// The request as sent now, with the time left as its deadline.
    pub fn build(&self, body: RequestBody) -> Request<RequestBody> {
        let mut request = Request::new(body);
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = self.head.headers.clone();
        let left_ms = self.left_us() / US_PER_MS;
        request.headers_mut().insert(header::DEADLINE_MS, HeaderValue::from(left_ms));
        request
    }

    fn left_us(&self) -> u64 {
        self.request.deadline_us.saturating_sub(self.request.service.now_us())
    }

    /// The deadline holds for an answer's head; a body that streams may take longer unless the caller said so.
    pub fn give_up_at(&self, streams: bool) -> Instant {
        let far = STREAM_TIME_MAX;
        let left = Duration::from_micros(self.left_us());
        Instant::now() + if streams && !self.request.deadline_named { far } else { left }
    }
}

/// Forwards a request until an upstream gives the head of an answer.
///
/// # Errors
/// Why there is none, true as to whether anything ran.
pub async fn forward(
    outgoing: &Outgoing<'_>,
    body: RequestBody,
    first: Attempt,
    connections: &Connections,
    counters: &EntryCounters,
) -> Result<Response<UpstreamBody>, ErrorKind> {
    let repeatable = outgoing.request.repeatable && body.is_empty();
    let attempts_max = outgoing.request.service.lock().service().retry.attempts_max;
    let (mut attempt, mut body) = (first, body);
    let mut ran = false;
    for number in 1..=attempts_max {
        let upstream = attempt.upstream();
        let tried = match repeatable {
            true => try_hedged(outgoing, attempt, connections, counters).await,
            false => try_once(outgoing, mem::take(&mut body), attempt, connections, counters).await,
        };
        let (next, failure) = match tried {
            Tried::Answer(response) => return Ok(response),
            Tried::BadAnswer(response) if repeatable && number < attempts_max => {
                // The bad answer is dropped, and with it its connection.
                let Some(next) = outgoing.request.service.retry(upstream) else {
                    return Ok(response);
                };
                ran = true;
                (next, ErrorKind::UpstreamBroken)
            }
            Tried::BadAnswer(response) => return Ok(response),
            Tried::Unsent(unsent, kind) => {
                body = unsent;
                let next = outgoing.request.service.redirect(upstream);
                (next.ok_or(final_kind(kind, ran))?, kind)
            }
            Tried::Broken(ErrorKind::UpstreamBroken) if repeatable => {
                ran = true;
                let next = outgoing.request.service.retry(upstream);
                (next.ok_or(ErrorKind::UpstreamBroken)?, ErrorKind::UpstreamBroken)
            }
            Tried::Broken(kind) => return Err(final_kind(kind, ran)),
        };
        if number == attempts_max {
            return Err(final_kind(failure, ran));
        }
        counters.retried();
        attempt = next;
    }
    Err(final_kind(ErrorKind::UpstreamUnreachable, ran))
}

/// A later attempt that sent nothing does not make an earlier one unrun.
fn final_kind(kind: ErrorKind, ran: bool) -> ErrorKind {
    if ran { ErrorKind::UpstreamBroken } else { kind }
}

/// One attempt of repeatable work, with a second one beside it if it is slow and there is slack.
async fn try_hedged(
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
    let hedge_at = Instant::now() + Duration::from_micros(hedge_after_us);
    tokio::select! {
        biased;
        tried = &mut first_try => return tried,
        () = sleep_until(hedge_at) => {}
    }
    let Some(second) = outgoing.request.service.hedge(first) else {
        return first_try.await;
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
async fn try_once(
    outgoing: &Outgoing<'_>,
    body: RequestBody,
    attempt: Attempt,
    connections: &Connections,
    counters: &EntryCounters,
) -> Tried {
    let give_up_at = outgoing.give_up_at(!body.is_empty());
    let Ok(mut connection) = connections.get(attempt.address()).await else {
        attempt.end(AttemptEnd::Failed);
        return Tried::Unsent(body, ErrorKind::UpstreamUnreachable);
    };
    // Read again right before the first byte goes out: this process may have been paused.
    if outgoing.left_us() == 0 {
        return Tried::Broken(ErrorKind::DeadlinePassed);
    }
    counters.attempted();
    let sent = timeout_at(give_up_at, connection.send(outgoing.build(body))).await;
    match sent {
        Err(_) => Tried::Broken(ErrorKind::UpstreamTimeout),
        Ok(Err(SendError::Unsent(request))) => {
            attempt.end(AttemptEnd::Failed);
            Tried::Unsent(request.into_body(), ErrorKind::UpstreamUnreachable)
        }
        Ok(Err(SendError::Broken)) => {
            attempt.end(AttemptEnd::Failed);
            Tried::Broken(ErrorKind::UpstreamBroken)
        }
        Ok(Ok(response)) => {
            counters.upstream_took(&outgoing.request.service.name, attempt.age_s());
            answered(response, attempt, connection)
        }
    }
}

/// Takes the head of an answer; its body ends the attempt.
fn answered(response: Response<Incoming>, mut attempt: Attempt, connection: Connection) -> Tried {
    attempt.reported(load_report(&response));
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

/// The load report in an answer's head; one that cannot be read counts as none, since the answer is good all the same.
pub fn load_report(response: &Response<Incoming>) -> Option<LoadReport> {
    let value = response.headers().get(header::LOAD)?;
    LoadReport::parse(value.to_str().ok()?)
}
