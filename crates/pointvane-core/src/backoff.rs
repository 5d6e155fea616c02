//! Backing off from one upstream: from its word that it wants no requests for a time until it has run one again.
//!
//! Of both forms, each of which asks [`Backoff::holds`] where it decides whether an upstream may get work, and tells of sends and their ends.
//! Inputs: the time that was asked for (`retry_after.rs`), a time by which this process returns later than that, the steady clock, suspended time
//! included. Nothing can be missing. Invariant: no send begins before the end of any time that was asked for (`tests/backoff.rs`).
//!
//! After that time all processes that were told so at one moment would return at one moment, before any report of the upstream's load
//! tells them of each other. So each returns at a time of its own, and with one request at first.

/// Longest time for which one request alone is out at an upstream that returns, in microseconds.
///
/// Not measured: longer than most work on the users' platform takes (24 to 370 ms), so that the answer comes first as a rule.
const TRIAL_MAX_US: u64 = 500_000;

/// Whether one upstream wants no requests, and until when.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backoff {
    /// Until when it gets nothing; 0 if it never asked, or has run a request since.
    until_us: u64,
    /// Until when nothing is sent beside the request that is on trial there; 0 if none is.
    trial_until_us: u64,
}

impl Backoff {
    /// Takes the word that an upstream wants nothing for a time, to which this process adds `later_us`; true if it gets nothing for longer than by
    /// what was known before. A shorter time takes nothing back of an earlier one.
    pub fn asked(&mut self, for_us: u64, later_us: u64, now_us: u64) -> bool {
        let until_us = now_us.saturating_add(for_us);
        self.trial_until_us = 0;
        if until_us <= self.until_us {
            return false;
        }
        self.until_us = until_us.saturating_add(later_us);
        true
    }

    /// Whether nothing may be sent there now.
    pub fn holds(&self, now_us: u64) -> bool {
        now_us < self.until_us || now_us < self.trial_until_us
    }

    /// Until when nothing may be sent there; none if something may be.
    pub fn until_us(&self, now_us: u64) -> Option<u64> {
        self.holds(now_us).then(|| self.until_us.max(self.trial_until_us))
    }

    /// Takes note of a send; the first after the time asked for is on trial.
    pub fn send_began(&mut self, now_us: u64) {
        if self.until_us > 0 {
            self.trial_until_us = now_us + TRIAL_MAX_US;
        }
    }

    /// Takes the end of a request that was sent there; true if that shows that the upstream takes requests again.
    ///
    /// One that was sent before the upstream asked, and ends well while it wants nothing, shows nothing.
    pub fn send_ended(&mut self, ran: bool, now_us: u64) -> bool {
        if self.until_us == 0 || now_us < self.until_us {
            return false;
        }
        self.trial_until_us = 0;
        if ran {
            self.until_us = 0;
        }
        ran
    }
}
