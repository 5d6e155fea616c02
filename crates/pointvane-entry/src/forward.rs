//! Fourth stage: attempts at upstreams, until one returns the head of a response.
//!
//! An attempt that failed to connect, or whose request `hyper` returned unsent, cannot have run, and the
//! request may go to another upstream. After any other failure the outcome is unknown; then only idempotent
//! requests without a body are retried, within the retry budget.

use {
    crate::{
        attempt::{UpstreamAttempt, attempt_hedged, attempt_once},
        connection_pool::ConnectionPool,
        counters::EntryCounters,
        outgoing::OutgoingRequest,
        request_body::RequestBody,
        response_body::UpstreamBody,
        service::Attempt,
    },
    hyper::Response,
    pointvane_core::ErrorKind,
    std::{mem, ops::ControlFlow},
};

/// Forwards a request until an upstream returns the head of a response.
///
/// # Errors
/// The reason for which there is no response. Its outcome takes all attempts into account: it says that the
/// request did not run only if no attempt may have run.
pub async fn forward(
    outgoing: &OutgoingRequest<'_>,
    body: RequestBody,
    first: Attempt,
    connections: &ConnectionPool,
    counters: &EntryCounters,
) -> Result<Response<UpstreamBody>, ErrorKind> {
    let attempts_max = outgoing.request.service.lock().service().retry.attempts_max;
    let mut attempts = AttemptSequence::new(outgoing, body);
    let mut attempt = first;
    for number in 1..=attempts_max {
        let upstream = attempt.upstream();
        let outcome = attempts.send(attempt, connections, counters).await;
        let is_last = number == attempts_max;
        let next = match attempts.next_step(outcome, upstream, is_last)? {
            NextStep::Break(response) => return Ok(response),
            NextStep::Continue(next) => next,
        };
        if is_last {
            return Err(attempts.final_error(next.failure));
        }
        counters.retried();
        attempt = next.attempt;
    }
    Err(attempts.final_error(ErrorKind::UpstreamUnreachable))
}

/// The next attempt, and the failure that it follows.
struct NextAttempt {
    attempt: Attempt,
    /// Error of the previous attempt.
    failure: ErrorKind,
}

/// What follows an attempt: the response for the caller, or another attempt.
type NextStep = ControlFlow<Response<UpstreamBody>, NextAttempt>;

/// State of the attempts of one request.
struct AttemptSequence<'o, 'r> {
    outgoing: &'o OutgoingRequest<'r>,
    retryable: bool,
    /// The request body, unless an attempt has taken it.
    body: RequestBody,
    /// Whether a failed attempt may have run at its upstream.
    may_have_run: bool,
}

impl<'o, 'r> AttemptSequence<'o, 'r> {
    fn new(outgoing: &'o OutgoingRequest<'r>, body: RequestBody) -> Self {
        let retryable = outgoing.request.idempotent && body.is_empty();
        Self { outgoing, retryable, body, may_have_run: false }
    }

    async fn send(
        &mut self,
        attempt: Attempt,
        connections: &ConnectionPool,
        counters: &EntryCounters,
    ) -> UpstreamAttempt {
        if self.retryable {
            return attempt_hedged(self.outgoing, attempt, connections, counters).await;
        }
        attempt_once(self.outgoing, mem::take(&mut self.body), attempt, connections, counters).await
    }

    /// Decides what follows an attempt at `upstream`: the response for the caller, or another attempt.
    fn next_step(
        &mut self,
        outcome: UpstreamAttempt,
        upstream: usize,
        is_last: bool,
    ) -> Result<NextStep, ErrorKind> {
        let service = &self.outgoing.request.service;
        let (next, failure) = match outcome {
            UpstreamAttempt::ErrorResponse(response) if self.retryable && !is_last => {
                // Drops the error response and with it its connection.
                let Some(next) = service.retry(upstream) else {
                    return Ok(NextStep::Break(response));
                };
                self.may_have_run = true;
                (Some(next), ErrorKind::UpstreamBroken)
            }
            UpstreamAttempt::Response(response) | UpstreamAttempt::ErrorResponse(response) => {
                return Ok(NextStep::Break(response));
            }
            UpstreamAttempt::Unsent(unsent, kind) => {
                self.body = unsent;
                (service.redirect(upstream), kind)
            }
            UpstreamAttempt::Broken(ErrorKind::UpstreamBroken) if self.retryable => {
                self.may_have_run = true;
                (service.retry(upstream), ErrorKind::UpstreamBroken)
            }
            UpstreamAttempt::Broken(kind) => return Err(self.final_error(kind)),
        };
        let attempt = next.ok_or(self.final_error(failure))?;
        Ok(NextStep::Continue(NextAttempt { attempt, failure }))
    }

    /// Error for the caller. If an earlier attempt may have run, an unsent later one must not hide that.
    fn final_error(&self, kind: ErrorKind) -> ErrorKind {
        if self.may_have_run { ErrorKind::UpstreamBroken } else { kind }
    }
}
