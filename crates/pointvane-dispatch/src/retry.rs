//! Retry: what follows from the end of one attempt, and what a caller may be told about it.
//!
//! Inputs: whether the route's work may be repeated, how the attempt ended, whether any attempt of the request may have run,
//! whether the route allows another. Work that may not be repeated is never sent again once it may have run, unless the
//! upstream itself said that it did not run it. Tests: `work_that_may_not_be_repeated_is_never_sent_again_once_it_may_have_run`,
//! `not_run_is_told_only_of_what_cannot_have_run`.

use {
    crate::eligibility::Ineligible,
    pointvane_core::{ErrorKind, RouteKind},
};

/// Why an upstream says that it did not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It is full, or its queue outlasted the deadline.
    Busy,
    /// Another upstream has the address now.
    Misdirected,
    /// Any other reason.
    Other,
}

/// How one attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The upstream's own answer is there, good or bad.
    Answered {
        /// Whether its status is a server error.
        failed: bool,
    },
    /// The upstream says that it did not run the request.
    NotRun(Refusal),
    /// Nothing was sent: a connection that was kept had ended.
    Unsent,
    /// Nothing was sent: no connection could be opened.
    Unreachable,
    /// Nothing was sent, since the upstream that was chosen may not get work any more.
    Withheld(Ineligible),
    /// Nothing was sent, since news came that upstreams crash under this request.
    Quarantined,
    /// It may have run, and there is no answer that can be trusted.
    Broken,
    /// It may have run; its connection broke, and right after nobody listened at the upstream's address any more.
    Crashed,
    /// It may have run, and its deadline has passed.
    TimedOut,
}

impl AttemptOutcome {
    /// Whether the request may have run at the upstream.
    pub const fn may_have_run(self) -> bool {
        matches!(self, Self::Answered { .. } | Self::Broken | Self::Crashed | Self::TimedOut)
    }

    /// Whether nothing was sent.
    pub const fn is_unsent(self) -> bool {
        matches!(self, Self::Unsent | Self::Unreachable | Self::Withheld(_) | Self::Quarantined)
    }

    /// The outcome's name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered { failed: false } => "answered",
            Self::Answered { failed: true } => "answered-error",
            Self::NotRun(Refusal::Busy) => "not-run-busy",
            Self::NotRun(Refusal::Misdirected) => "not-run-misdirected",
            Self::NotRun(Refusal::Other) => "not-run",
            Self::Unsent => "unsent",
            Self::Unreachable => "unreachable",
            Self::Withheld(Ineligible::Gone) => "withheld-gone",
            Self::Withheld(Ineligible::Draining) => "withheld-draining",
            Self::Withheld(Ineligible::Evacuated) => "withheld-evacuated",
            Self::Withheld(Ineligible::Cold) => "withheld-cold",
            Self::Withheld(Ineligible::Ejected) => "withheld-ejected",
            Self::Quarantined => "quarantined",
            Self::Broken => "broken",
            Self::Crashed => "crashed",
            Self::TimedOut => "timed-out",
        }
    }
}

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Give the caller the upstream's answer.
    Deliver,
    /// Make another attempt.
    Retry {
        /// Whether it takes a token of the fleet's retry budget: the attempt before may have reached an upstream.
        takes_token: bool,
    },
    /// Answer in the upstream's place.
    GiveUp(ErrorKind),
}

/// Decides after the end of an attempt. `may_have_run` is about all attempts of the request, this one included;
/// `attempts_left` says whether the route allows another.
pub fn judge(kind: RouteKind, outcome: AttemptOutcome, may_have_run: bool, attempts_left: bool) -> Verdict {
    let retry = attempts_left && (kind.repeatable() || !may_have_run);
    match outcome {
        AttemptOutcome::Answered { failed: true } if retry && kind.repeatable() => {
            Verdict::Retry { takes_token: true }
        }
        AttemptOutcome::Answered { .. } => Verdict::Deliver,
        AttemptOutcome::Quarantined => Verdict::GiveUp(ErrorKind::RequestQuarantined),
        _ if outcome.is_unsent() && retry => Verdict::Retry { takes_token: false },
        AttemptOutcome::NotRun(_) | AttemptOutcome::Broken | AttemptOutcome::Crashed if retry => {
            Verdict::Retry { takes_token: true }
        }
        AttemptOutcome::TimedOut => Verdict::GiveUp(ErrorKind::UpstreamTimeout),
        _ if may_have_run => Verdict::GiveUp(ErrorKind::UpstreamBroken),
        AttemptOutcome::Unsent | AttemptOutcome::Unreachable => {
            Verdict::GiveUp(ErrorKind::UpstreamUnreachable)
        }
        AttemptOutcome::Withheld(reason) => Verdict::GiveUp(reason.error()),
        AttemptOutcome::NotRun(_) | AttemptOutcome::Broken | AttemptOutcome::Crashed => {
            Verdict::GiveUp(ErrorKind::Overloaded)
        }
    }
}

/// Statuses by which a caller may conclude that its request has not run: request time-out, misdirected request, too many
/// requests, service unavailable.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Whether an upstream's answer may be passed on as it is.
///
/// An upstream that did not run a request says so in a header of its own. Without that header, a status that promises
/// "not run" must not reach the caller of work that may not be repeated.
pub fn may_pass_on(kind: RouteKind, status: u16) -> bool {
    kind.repeatable() || !NOT_RUN_STATUSES.contains(&status)
}
