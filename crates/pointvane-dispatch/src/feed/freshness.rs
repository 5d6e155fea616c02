//! How old what this node knows of the platform is, and what follows from a silence.

use {crate::feed::FeedOptions, pointvane_core::US_PER_MS};

/// When the platform's word was last known to be current.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    confirmed_at_us: Option<u64>,
    /// Since when peers are known to have read on without this node.
    passed_since_us: Option<u64>,
    /// Until when entries that lapsed in a silence may come back.
    reentry_until_us: u64,
}

impl Freshness {
    /// Notes that what is known was current at a time, by the platform's or a relay's word.
    ///
    /// After a silence towards all, upstreams whose entries lapsed get time to come back. A silence in which peers read
    /// on was this node's alone: entries that went then are gone.
    pub fn confirm(&mut self, at_us: u64, options: &FeedOptions) {
        let since = |began_us: Option<u64>| began_us.map_or(0, |began_us| at_us.saturating_sub(began_us));
        let silent = since(self.confirmed_at_us) >= options.absence_ms * US_PER_MS;
        let passed = since(self.passed_since_us) >= options.own_absence_ms * US_PER_MS;
        if silent && !passed {
            self.reentry_until_us = at_us + options.reentry_ms * US_PER_MS;
        }
        self.confirmed_at_us = self.confirmed_at_us.max(Some(at_us));
    }

    /// Notes whether peers have read on.
    pub fn passed(&mut self, passed: bool, now_us: u64) {
        self.passed_since_us = if passed { self.passed_since_us.or(Some(now_us)) } else { None };
    }

    /// Until when an upstream whose entry is gone may still come back, in case it lapsed; past if none may.
    pub fn reentry_until_us(&self) -> u64 {
        self.reentry_until_us
    }

    /// Age of what is known, in milliseconds; none before anything is.
    pub fn age_ms(&self, now_us: u64) -> Option<u64> {
        self.confirmed_at_us.map(|at_us| now_us.saturating_sub(at_us) / US_PER_MS)
    }

    /// Until when what is known counts as current.
    pub fn lease_until_us(&self, options: &FeedOptions) -> u64 {
        self.confirmed_at_us.map_or(0, |at_us| at_us + options.lease_ms * US_PER_MS)
    }
}
