//! How old what this node knows of the platform is.

use {crate::feed::FeedOptions, pointvane_core::US_PER_MS};

/// When the platform's word was last known to be current.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    confirmed_at_us: Option<u64>,
}

impl Freshness {
    /// Notes that what is known was current at a time, by the platform's or a relay's word.
    pub fn confirm(&mut self, at_us: u64) {
        self.confirmed_at_us = self.confirmed_at_us.max(Some(at_us));
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
