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
        connections::Connections,
        counters::EntryCounters,
        request_body::RequestBody,
        service::Attempt,
        try_upstream::{Tried, try_hedged, try_once},
    },
    hyper::{Request, Response, header::HeaderValue, http::request::Parts},
    pointvane_core::{ErrorKind, US_PER_MS, header},
    std::{mem, ops::ControlFlow, time::Duration},
    tokio::time::Instant,
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

    /// Time left until the deadline.
    pub fn left_us(&self) -> u64 {
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
    let attempts_max = outgoing.request.service.lock().service().retry.attempts_max;
    let mut attempts = Attempts::new(outgoing, body);
    let mut attempt = first;
    for number in 1..=attempts_max {
        let upstream = attempt.upstream();
        let tried = attempts.send(attempt, connections, counters).await;
        let is_last = number == attempts_max;
        let next = match attempts.after(tried, upstream, is_last)? {
            Step::Break(response) => return Ok(response),
            Step::Continue(next) => next,
        };
        if is_last {
            return Err(attempts.final_kind(next.failure));
        }
        counters.retried();
        attempt = next.attempt;
    }
    Err(attempts.final_kind(ErrorKind::UpstreamUnreachable))
}

/// Another attempt that may be made.
struct NextAttempt {
    attempt: Attempt,
    /// Why the one before failed.
    failure: ErrorKind,
}

/// What follows an attempt.
type Step = ControlFlow<Response<UpstreamBody>, NextAttempt>;

/// The attempts of one request so far.
struct Attempts<'o, 'r> {
    outgoing: &'o Outgoing<'r>,
    repeatable: bool,
    /// The body, unless an attempt holds it or has sent it.
    body: RequestBody,
    /// Whether an attempt that failed may have run.
    ran: bool,
}

impl<'o, 'r> Attempts<'o, 'r> {
    fn new(outgoing: &'o Outgoing<'r>, body: RequestBody) -> Self {
        let repeatable = outgoing.request.repeatable && body.is_empty();
        Self { outgoing, repeatable, body, ran: false }
    }

    async fn send(&mut self, attempt: Attempt, connections: &Connections, counters: &EntryCounters) -> Tried {
        if self.repeatable {
            return try_hedged(self.outgoing, attempt, connections, counters).await;
        }
        try_once(self.outgoing, mem::take(&mut self.body), attempt, connections, counters).await
    }

    /// What follows an attempt at `upstream`: the answer that the caller gets, or another attempt.
    fn after(&mut self, tried: Tried, upstream: usize, is_last: bool) -> Result<Step, ErrorKind> {
        let service = &self.outgoing.request.service;
        let (next, failure) = match tried {
            Tried::BadAnswer(response) if self.repeatable && !is_last => {
                // The bad answer is dropped, and with it its connection.
                let Some(next) = service.retry(upstream) else {
                    return Ok(Step::Break(response));
                };
                self.ran = true;
                (Some(next), ErrorKind::UpstreamBroken)
            }
            Tried::Answer(response) | Tried::BadAnswer(response) => return Ok(Step::Break(response)),
            Tried::Unsent(unsent, kind) => {
                self.body = unsent;
                (service.redirect(upstream), kind)
            }
            Tried::Broken(ErrorKind::UpstreamBroken) if self.repeatable => {
                self.ran = true;
                (service.retry(upstream), ErrorKind::UpstreamBroken)
            }
            Tried::Broken(kind) => return Err(self.final_kind(kind)),
        };
        let attempt = next.ok_or(self.final_kind(failure))?;
        Ok(Step::Continue(NextAttempt { attempt, failure }))
    }

    /// A later attempt that sent nothing does not make an earlier one unrun.
    fn final_kind(&self, kind: ErrorKind) -> ErrorKind {
        if self.ran { ErrorKind::UpstreamBroken } else { kind }
    }
}
