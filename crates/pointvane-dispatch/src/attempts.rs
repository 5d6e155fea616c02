//! The attempts of one request as a state machine: when another is made, and what the final answer is.
//!
//! Owns what is known of the request's attempts. The caller of the machine makes the attempts, keeps the best answer, and
//! reports each end, the moment to hedge and the deadline; the machine returns what to do next. It needs no clock: the
//! moments come from [`crate::answer_by_us`] and [`crate::RouteTimes::hedge_after_ms`]. Single ends are judged in
//! `retry.rs`. Tests: `tests/request_attempts.rs`.

use {
    crate::{
        budget::RetryBudget,
        ineligible::Ineligible,
        outcome::AttemptOutcome,
        retry::{Verdict, judge},
    },
    pointvane_core::{ErrorKind, Outcome, RouteRule},
};

/// Attempts of one request that found no upstream or could not be sent, after which it is given up.
///
/// Such attempts cost no upstream anything, but each needs a search. If a third of a service's upstreams is gone, eight in a row meet none
/// that lives once in 6,561 times.
const UNSENT_MAX: u32 = 8;

/// How one attempt ended, the search for its upstream included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The service has no upstream left for this request, for this reason.
    NoUpstream(Ineligible),
    /// It was not sent: it would have been too late (see `admission.rs`), or a hedge found no uncontended upstream.
    NotAdmitted,
    /// No search was made: upstreams crash under this request.
    Quarantined,
    /// No search was made: no upstream can finish it before its deadline.
    DeadlineTooNear,
    /// An upstream was chosen.
    Tried(AttemptOutcome),
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Wait for the attempts under way.
    Wait,
    /// Make another attempt in place of the one that ended.
    Retry,
    /// Make another attempt beside the one under way (see [`crate::hedge_goal`]).
    Hedge,
    /// Answer with the best upstream's answer so far.
    Deliver,
    /// Answer in the upstream's place.
    GiveUp(ErrorKind),
}

/// The attempts of one request.
#[derive(Clone, Copy, Debug)]
pub struct RequestAttempts<'r> {
    route: &'r RouteRule,
    /// Whether the whole body is kept, so that two attempts may send it side by side.
    is_body_kept: bool,
    /// Whether the body is there to be sent: kept, or streamed and not begun.
    has_body: bool,
    under_way: u32,
    unsent: u32,
    may_have_run: bool,
    has_answer: bool,
    /// Whether a token was taken for an attempt beside another one.
    has_hedge_token: bool,
}

impl<'r> RequestAttempts<'r> {
    /// A request whose first attempt is under way.
    pub fn started(route: &'r RouteRule, is_body_kept: bool) -> Self {
        Self {
            route,
            is_body_kept,
            has_body: is_body_kept,
            under_way: 1,
            unsent: 0,
            may_have_run: false,
            has_answer: false,
            has_hedge_token: false,
        }
    }

    /// Takes note of whether a streamed body is still as its caller sends it: before the end of an attempt that may not have begun to send it.
    pub fn streamed_body_left(&mut self, is_left: bool) {
        self.has_body = self.is_body_kept || is_left;
    }

    /// Takes the end of an attempt; `sends` counts the attempts of this request that were sent so far.
    pub fn ended(&mut self, end: AttemptEnd, sends: u32, budget: &mut RetryBudget) -> NextStep {
        self.under_way -= 1;
        self.give_back_unsent(end, budget);
        let outcome = match end {
            AttemptEnd::NoUpstream(reason) => return self.ended_unsent(reason.error()),
            AttemptEnd::Quarantined => return self.ended_unsent(ErrorKind::RequestQuarantined),
            AttemptEnd::NotAdmitted => return self.ended_unsent(ErrorKind::Overloaded),
            AttemptEnd::DeadlineTooNear if self.may_have_run => {
                return self.ended_unsent(ErrorKind::UpstreamTimeout);
            }
            AttemptEnd::DeadlineTooNear => return self.ended_unsent(ErrorKind::DeadlinePassed),
            AttemptEnd::Tried(outcome) => outcome,
        };
        self.may_have_run |= outcome.may_have_run();
        self.unsent += u32::from(outcome.is_unsent());
        self.has_answer |= matches!(outcome, AttemptOutcome::Answered { .. });
        match self.judge(outcome, self.attempts_left(sends)) {
            Verdict::Deliver => NextStep::Deliver,
            Verdict::Retry { .. } if self.under_way > 0 => NextStep::Wait,
            Verdict::Retry { takes_token } => self.retry(outcome, takes_token, budget),
            Verdict::GiveUp(error) => self.give_up_if_last(error),
        }
    }

    /// Takes the moment at which a second attempt is considered.
    pub fn hedge_due(&mut self, sends: u32, budget: &mut RetryBudget) -> NextStep {
        if self.under_way != 1 || !self.is_body_kept || !self.attempts_left(sends) || !budget.take() {
            return NextStep::Wait;
        }
        self.under_way += 1;
        self.has_hedge_token = true;
        NextStep::Hedge
    }

    /// Gives a hedge's token back when one of the two attempts ends unsent: then the other is no repeat.
    fn give_back_unsent(&mut self, end: AttemptEnd, budget: &mut RetryBudget) {
        let is_unsent = !matches!(end, AttemptEnd::Tried(outcome) if !outcome.is_unsent());
        if self.has_hedge_token && is_unsent {
            budget.give_back();
        }
        // The token of two attempts of which one was sent and ended is spent.
        self.has_hedge_token = false;
    }

    /// Takes the moment at which the request has to be answered.
    pub fn deadline_passed(&self) -> NextStep {
        self.give_up(ErrorKind::UpstreamTimeout)
    }

    fn judge(&self, outcome: AttemptOutcome, attempts_left: bool) -> Verdict {
        judge(self.route.kind, outcome, self.may_have_run, attempts_left)
    }

    fn attempts_left(&self, sends: u32) -> bool {
        self.has_body && sends < self.route.attempts_max && self.unsent < UNSENT_MAX
    }

    fn ended_unsent(&mut self, error: ErrorKind) -> NextStep {
        self.unsent += 1;
        self.give_up_if_last(error)
    }

    fn retry(&mut self, outcome: AttemptOutcome, takes_token: bool, budget: &mut RetryBudget) -> NextStep {
        if takes_token && !budget.take() {
            return self.give_up_without_token(outcome);
        }
        self.under_way += 1;
        NextStep::Retry
    }

    /// The final answer when only the retry budget prevents another attempt: the same as if none were left.
    fn give_up_without_token(&self, outcome: AttemptOutcome) -> NextStep {
        match self.judge(outcome, false) {
            Verdict::GiveUp(error) => self.give_up(error),
            Verdict::Deliver | Verdict::Retry { .. } => self.give_up(ErrorKind::UpstreamBroken),
        }
    }

    fn give_up_if_last(&self, error: ErrorKind) -> NextStep {
        if self.under_way == 0 { self.give_up(error) } else { NextStep::Wait }
    }

    /// An upstream's answer is better than none. "Not run" is never said of a request that may have run.
    fn give_up(&self, error: ErrorKind) -> NextStep {
        match error {
            _ if self.has_answer => NextStep::Deliver,
            error if self.may_have_run && error.answer().outcome == Outcome::NotRun => {
                NextStep::GiveUp(ErrorKind::UpstreamBroken)
            }
            error => NextStep::GiveUp(error),
        }
    }
}
