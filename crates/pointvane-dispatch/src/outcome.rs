//! What follows from the end of an attempt: whether another may be made, and what may be told to the caller.

use pointvane_core::{ErrorKind, RouteKind};

/// Why an upstream did not take a request, by its own word.
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
    /// The upstream's own answer, good or bad, is there; `failed` tells a server error.
    Answered {
        /// Whether its status tells an error of the upstream's.
        failed: bool,
    },
    /// The upstream says that it did not run the request.
    NotRun(Refusal),
    /// Nothing was sent.
    Unsent,
    /// It may have run, and there is no answer that can be trusted.
    Broken,
    /// It may have run, and the time is over.
    TimedOut,
}

impl AttemptOutcome {
    /// The outcome's name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered { failed: false } => "answered",
            Self::Answered { failed: true } => "answered-error",
            Self::NotRun(Refusal::Busy) => "not-run-busy",
            Self::NotRun(Refusal::Misdirected) => "not-run-misdirected",
            Self::NotRun(Refusal::Other) => "not-run",
            Self::Unsent => "unsent",
            Self::Broken => "broken",
            Self::TimedOut => "timed-out",
        }
    }
}

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Give the caller the upstream's answer.
    Deliver,
    /// Make another attempt; `counted` tells whether it draws on the fleet's budget of repeats.
    Again {
        /// Whether the attempt before may have arrived at an upstream.
        counted: bool,
    },
    /// Answer in the upstream's place.
    GiveUp(ErrorKind),
}

/// Judges an attempt's end. `may_have_run` tells whether any attempt of this request may have run, this one
/// included; `attempts_left` whether the route allows another.
pub fn judge(kind: RouteKind, outcome: AttemptOutcome, may_have_run: bool, attempts_left: bool) -> Verdict {
    let again = attempts_left && (kind.repeatable() || !may_have_run);
    match outcome {
        AttemptOutcome::Answered { failed: true } if again && kind.repeatable() => {
            Verdict::Again { counted: true }
        }
        AttemptOutcome::Answered { .. } => Verdict::Deliver,
        AttemptOutcome::Unsent if again => Verdict::Again { counted: false },
        AttemptOutcome::NotRun(_) | AttemptOutcome::Broken if again => Verdict::Again { counted: true },
        AttemptOutcome::TimedOut => Verdict::GiveUp(ErrorKind::UpstreamTimeout),
        _ if may_have_run => Verdict::GiveUp(ErrorKind::UpstreamBroken),
        AttemptOutcome::Unsent => Verdict::GiveUp(ErrorKind::UpstreamUnreachable),
        AttemptOutcome::NotRun(_) | AttemptOutcome::Broken => Verdict::GiveUp(ErrorKind::Overloaded),
    }
}
