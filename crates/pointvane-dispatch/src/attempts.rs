//! State machine for the attempts of one request: whether another attempt is made, and what the final answer
//! is.
//!
//! It tracks the attempts of the request. Its caller makes the attempts, keeps the best answer, and reports
//! the end of each attempt, the time to hedge and the deadline; the machine returns the next step. It reads
//! no clock: the times come from [`crate::answer_deadline_us`] and [`crate::RouteLatencies::hedge_after_ms`].
//! `retry.rs` decides on each single outcome. Tests: `tests/request_attempts.rs`.

use {
    crate::{
        budget::RetryBudget,
        ineligible::Ineligible,
        outcome::AttemptOutcome,
        retry::{RetryDecision, decide_retry},
    },
    pointvane_core::{ErrorKind, Outcome, RouteRule},
};

/// Number of attempts without an upstream or a send after which a request is given up.
///
/// Such attempts put no load on upstreams, but each needs a search. If a third of a service's upstreams is
/// gone, all of eight attempts in a row hit one of those for only one request in 6,561.
const UNSENT_ATTEMPTS_MAX: u32 = 8;

/// How one attempt ended, including the search for its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The service has no eligible upstream left for this request; holds the reason.
    NoUpstream(Ineligible),
    /// The request was not sent: it would have finished too late (see `admission.rs`), or a hedge found no
    /// uncontended upstream.
    NotAdmitted,
    /// No search was made: the request is quarantined because upstreams crash while they process it.
    Quarantined,
    /// No search was made: no upstream can finish the request before its deadline.
    DeadlineTooNear,
    /// No upstream of the service responds to this node, and no other node is left to forward the request to.
    ServiceLost,
    /// Another node handled the request and refused it with this error.
    RefusedByPeer(ErrorKind),
    /// An upstream was chosen; holds the outcome.
    Attempted(AttemptOutcome),
}

/// Next step of a request, to be carried out by the caller of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Wait for the attempts in flight.
    Wait,
    /// Make another attempt in place of the one that ended.
    Retry,
    /// Make another attempt concurrently with the one in flight (see [`crate::hedge_goal`]).
    Hedge,
    /// Answer with the best upstream answer received so far.
    Deliver,
    /// Answer with this error instead of an upstream answer.
    GiveUp(ErrorKind),
}

/// The attempts of one request.
#[derive(Clone, Copy, Debug)]
pub struct RequestAttempts<'r> {
    route: &'r RouteRule,
    /// Whether the whole body is buffered, so that two attempts can send it concurrently.
    is_body_buffered: bool,
    /// Whether the body can still be sent: it is buffered, or it is streamed and no byte of it was sent.
    is_body_sendable: bool,
    in_flight: u32,
    unsent_attempts: u32,
    may_have_run: bool,
    has_upstream_answer: bool,
    /// Whether a budget token was taken for a hedge.
    has_hedge_token: bool,
    /// Whether the last retry was not made for want of a token.
    lacked_token: bool,
}

impl<'r> RequestAttempts<'r> {
    /// Creates the state of a request whose first attempt is in flight.
    pub fn started(route: &'r RouteRule, is_body_buffered: bool) -> Self {
        Self {
            route,
            is_body_buffered,
            is_body_sendable: is_body_buffered,
            in_flight: 1,
            unsent_attempts: 0,
            may_have_run: false,
            has_upstream_answer: false,
            has_hedge_token: false,
            lacked_token: false,
        }
    }

    /// Whether the last retry was not made only because the retry budget had no token for it.
    pub fn lacked_token(&self) -> bool {
        self.lacked_token
    }

    /// Records whether a streamed body is still unsent. To be called before the end of an attempt is reported
    /// that may not have started to send it.
    pub fn set_streamed_body_unsent(&mut self, is_unsent: bool) {
        self.is_body_sendable = self.is_body_buffered || is_unsent;
    }

    /// Records the end of an attempt and returns the next step; `sends` is the number of attempts of this
    /// request that were sent so far.
    pub fn attempt_ended(&mut self, end: AttemptEnd, sends: u32, budget: &mut RetryBudget) -> NextStep {
        self.in_flight -= 1;
        self.lacked_token = false;
        self.refund_unsent_hedge(end, budget);
        let outcome = match end {
            AttemptEnd::NoUpstream(reason) => return self.record_unsent(reason.error()),
            AttemptEnd::Quarantined => return self.record_unsent(ErrorKind::RequestQuarantined),
            AttemptEnd::NotAdmitted => return self.record_unsent(ErrorKind::Overloaded),
            AttemptEnd::DeadlineTooNear if self.may_have_run => {
                return self.record_unsent(ErrorKind::UpstreamTimeout);
            }
            AttemptEnd::DeadlineTooNear => return self.record_unsent(ErrorKind::DeadlinePassed),
            AttemptEnd::ServiceLost => return self.record_unsent(ErrorKind::UpstreamUnreachable),
            AttemptEnd::RefusedByPeer(error) => {
                self.may_have_run |= error.answer().outcome == Outcome::Unknown;
                return self.give_up_if_last(error);
            }
            AttemptEnd::Attempted(outcome) => outcome,
        };
        self.may_have_run |= outcome.may_have_run();
        self.unsent_attempts += u32::from(outcome.is_unsent());
        self.has_upstream_answer |= matches!(outcome, AttemptOutcome::Answered { .. });
        match self.decision(outcome, self.has_attempts_left(sends)) {
            RetryDecision::Deliver => NextStep::Deliver,
            RetryDecision::Retry { .. } if self.in_flight > 0 => NextStep::Wait,
            RetryDecision::Retry { takes_token } => self.retry(outcome, takes_token, budget),
            RetryDecision::GiveUp(error) => self.give_up_if_last(error),
        }
    }

    /// Decides, when a hedge is due, whether it is made; if so, takes a token of `budget` for it.
    pub fn try_hedge(&mut self, sends: u32, budget: &mut RetryBudget) -> NextStep {
        if self.in_flight != 1 || !self.is_body_buffered || !self.has_attempts_left(sends) || !budget.take() {
            return NextStep::Wait;
        }
        self.in_flight += 1;
        self.has_hedge_token = true;
        NextStep::Hedge
    }

    /// Refunds the token of a hedge when one of the two attempts ends without having been sent, since nothing
    /// was then sent twice.
    fn refund_unsent_hedge(&mut self, end: AttemptEnd, budget: &mut RetryBudget) {
        let is_unsent = !matches!(end, AttemptEnd::Attempted(outcome) if !outcome.is_unsent());
        if self.has_hedge_token && is_unsent {
            budget.refund();
        }
        // If an attempt ended after it was sent, the token is spent.
        self.has_hedge_token = false;
    }

    /// Returns the final step at the deadline of the request; `sends` is the number of its attempts that were
    /// sent so far.
    pub fn deadline_passed(&self, sends: u32) -> NextStep {
        let is_unsent = sends == 0 && !self.may_have_run;
        self.give_up(if is_unsent { ErrorKind::DeadlinePassed } else { ErrorKind::UpstreamTimeout })
    }

    fn decision(&self, outcome: AttemptOutcome, has_attempts_left: bool) -> RetryDecision {
        decide_retry(self.route.kind, outcome, self.may_have_run, has_attempts_left)
    }

    fn has_attempts_left(&self, sends: u32) -> bool {
        self.is_body_sendable && sends < self.route.attempts_max && self.unsent_attempts < UNSENT_ATTEMPTS_MAX
    }

    fn record_unsent(&mut self, error: ErrorKind) -> NextStep {
        self.unsent_attempts += 1;
        self.give_up_if_last(error)
    }

    fn retry(&mut self, outcome: AttemptOutcome, takes_token: bool, budget: &mut RetryBudget) -> NextStep {
        if takes_token && !budget.take() {
            self.lacked_token = true;
            return self.give_up_without_token(outcome);
        }
        self.in_flight += 1;
        NextStep::Retry
    }

    /// Returns the final step if only the retry budget prevents another attempt; the same as with no attempts
    /// left.
    fn give_up_without_token(&self, outcome: AttemptOutcome) -> NextStep {
        match self.decision(outcome, false) {
            RetryDecision::GiveUp(error) => self.give_up(error),
            RetryDecision::Deliver | RetryDecision::Retry { .. } => self.give_up(ErrorKind::UpstreamBroken),
        }
    }

    fn give_up_if_last(&self, error: ErrorKind) -> NextStep {
        if self.in_flight == 0 { self.give_up(error) } else { NextStep::Wait }
    }

    /// Prefers an upstream answer, if there is one, to `error`. "Not run" is never reported for a request
    /// that may have run.
    fn give_up(&self, error: ErrorKind) -> NextStep {
        match error {
            _ if self.has_upstream_answer => NextStep::Deliver,
            error if self.may_have_run && error.answer().outcome == Outcome::NotRun => {
                NextStep::GiveUp(ErrorKind::UpstreamBroken)
            }
            error => NextStep::GiveUp(error),
        }
    }
}
