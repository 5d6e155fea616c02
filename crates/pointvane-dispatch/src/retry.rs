//! Retry rules: what follows from the outcome of one attempt, and what a caller may be told about it.
//!
//! Inputs: whether the route's requests may be repeated, the outcome, whether any attempt of the request may
//! have run, whether the route allows another. A request that may not be repeated is never sent again once it
//! may have run, unless the upstream itself reported that it did not run it. Tests:
//! `non_repeatable_requests_are_never_resent_once_they_may_have_run`,
//! `not_run_is_reported_only_for_requests_that_cannot_have_run`.

use {
    crate::outcome::AttemptOutcome,
    pointvane_core::{ErrorKind, RouteKind},
};

/// What follows from the outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Deliver the upstream's answer to the caller.
    Deliver,
    /// Make another attempt.
    Retry {
        /// Whether it takes a token of the fleet's retry budget: the last attempt may have reached an
        /// upstream.
        takes_token: bool,
    },
    /// Answer with this error instead of an upstream answer.
    GiveUp(ErrorKind),
}

/// Decides what follows from the outcome of an attempt. `may_have_run` covers all attempts of the request,
/// this one included; `has_attempts_left` says whether the route allows another.
pub fn decide_retry(
    kind: RouteKind,
    outcome: AttemptOutcome,
    may_have_run: bool,
    has_attempts_left: bool,
) -> RetryDecision {
    let may_retry = has_attempts_left && (kind.is_repeatable() || !may_have_run);
    match outcome {
        AttemptOutcome::Answered { failed: true } if may_retry && kind.is_repeatable() => {
            RetryDecision::Retry { takes_token: true }
        }
        AttemptOutcome::Answered { .. } => RetryDecision::Deliver,
        AttemptOutcome::Quarantined => RetryDecision::GiveUp(ErrorKind::RequestQuarantined),
        AttemptOutcome::Unauthorized => RetryDecision::GiveUp(ErrorKind::Unauthorized),
        AttemptOutcome::Expired if may_have_run => RetryDecision::GiveUp(ErrorKind::UpstreamTimeout),
        AttemptOutcome::Expired => RetryDecision::GiveUp(ErrorKind::DeadlinePassed),
        _ if outcome.is_unsent() && may_retry => RetryDecision::Retry { takes_token: false },
        AttemptOutcome::NotRun(_) | AttemptOutcome::Broken | AttemptOutcome::Crashed if may_retry => {
            RetryDecision::Retry { takes_token: true }
        }
        _ if may_have_run => RetryDecision::GiveUp(ErrorKind::UpstreamBroken),
        AttemptOutcome::Unsent | AttemptOutcome::Unreachable | AttemptOutcome::Declined => {
            RetryDecision::GiveUp(ErrorKind::UpstreamUnreachable)
        }
        AttemptOutcome::Withheld(reason) => RetryDecision::GiveUp(reason.error()),
        AttemptOutcome::NotRun(_) | AttemptOutcome::Broken | AttemptOutcome::Crashed => {
            RetryDecision::GiveUp(ErrorKind::Overloaded)
        }
    }
}

/// Statuses from which a caller may conclude that its request has not run: 408 Request Timeout, 421
/// Misdirected Request, 429 Too Many Requests, 503 Service Unavailable.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Whether an upstream's answer may be relayed unchanged.
///
/// An upstream that did not run a request says so in a separate header. Without that header, a status that
/// implies "not run" must not reach the caller of a request that may not be repeated.
pub fn may_relay(kind: RouteKind, status: u16) -> bool {
    kind.is_repeatable() || !NOT_RUN_STATUSES.contains(&status)
}
