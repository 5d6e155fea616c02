//! Outcome of one attempt, as used by retries, ejection, logs and metrics.

use crate::{ineligible::Ineligible, load_when_sent::LoadWhenSent};

/// Why an upstream reports that it did not run a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NotRunReason {
    /// It has no free slot, or the request's deadline passed in its queue.
    Busy,
    /// It reports no free slot, although its load report right before the send had one.
    BusyWithRoom,
    /// A different upstream uses the address now.
    Misdirected,
    /// Any other reason.
    Other,
}

/// Outcome of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The upstream answered, successfully or with an error.
    Answered {
        /// Whether the status is a server error.
        failed: bool,
    },
    /// The upstream reports that it did not run the request.
    NotRun(NotRunReason),
    /// Nothing was sent: a reused connection had been closed.
    Unsent,
    /// Nothing was sent: no connection could be opened.
    Unreachable,
    /// Nothing was sent: the chosen upstream became ineligible before the send.
    Withheld(Ineligible),
    /// Nothing was sent: the request was quarantined before the send because upstreams crash while they
    /// process it.
    Quarantined,
    /// Nothing was sent: the key of the request was revoked.
    Unauthorized,
    /// Nothing was sent to an upstream: another node that the request was forwarded to declined it, or could
    /// not be reached.
    Declined,
    /// The request may have run, and there is no answer that can be trusted.
    Broken,
    /// The request may have run; its connection broke, and right after that nothing listened at the
    /// upstream's address any more.
    Crashed,
    /// Nothing was sent: the deadline of the request had passed.
    Expired,
}

impl AttemptOutcome {
    /// Whether the request may have run at the upstream.
    pub const fn may_have_run(self) -> bool {
        matches!(self, Self::Answered { .. } | Self::Broken | Self::Crashed)
    }

    /// Refines the outcome by the load of the upstream that was known when the request was sent: a busy
    /// upstream that had a free slot by its current report is [`NotRunReason::BusyWithRoom`].
    pub fn given_load(self, sent: &LoadWhenSent) -> Self {
        match self {
            Self::NotRun(NotRunReason::Busy) if sent.is_current && sent.occupancy <= 1.0 => {
                Self::NotRun(NotRunReason::BusyWithRoom)
            }
            outcome => outcome,
        }
    }

    /// Whether sending to the upstream had begun.
    pub const fn send_started(self) -> bool {
        matches!(self, Self::Answered { .. } | Self::NotRun(_) | Self::Unsent | Self::Broken | Self::Crashed)
    }

    /// Whether nothing was sent.
    pub const fn is_unsent(self) -> bool {
        matches!(
            self,
            Self::Unsent
                | Self::Unreachable
                | Self::Withheld(_)
                | Self::Quarantined
                | Self::Unauthorized
                | Self::Expired
                | Self::Declined
        )
    }

    /// The name of the outcome in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered { failed: false } => "answered",
            Self::Answered { failed: true } => "answered-error",
            Self::NotRun(NotRunReason::Busy) => "not-run-busy",
            Self::NotRun(NotRunReason::BusyWithRoom) => "not-run-with-room",
            Self::NotRun(NotRunReason::Misdirected) => "not-run-misdirected",
            Self::NotRun(NotRunReason::Other) => "not-run",
            Self::Unsent => "unsent",
            Self::Unreachable => "unreachable",
            Self::Withheld(Ineligible::Gone) => "withheld-gone",
            Self::Withheld(Ineligible::Draining) => "withheld-draining",
            Self::Withheld(Ineligible::Leaving) => "withheld-leaving",
            Self::Withheld(Ineligible::BackingOff) => "withheld-backing-off",
            Self::Withheld(Ineligible::Limited) => "withheld-limited",
            Self::Withheld(Ineligible::Evacuated) => "withheld-evacuated",
            Self::Withheld(Ineligible::Cold) => "withheld-cold",
            Self::Withheld(Ineligible::OutsideRegions) => "withheld-outside-regions",
            Self::Withheld(Ineligible::Ejected) => "withheld-ejected",
            Self::Quarantined => "quarantined",
            Self::Unauthorized => "unauthorized",
            Self::Declined => "declined",
            Self::Broken => "broken",
            Self::Crashed => "crashed",
            Self::Expired => "expired",
        }
    }
}
