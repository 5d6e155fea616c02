//! How old the knowledge of the platform is, and what follows from an outage.

use {super::ReaderOptions, pointvane_core::US_PER_MS};

/// When the platform's state was last known to be current.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    confirmed_at_us: Option<u64>,
    /// Since when peers are known to have read on without this node.
    peers_ahead_since_us: Option<u64>,
    grace_until_us: u64,
}

impl Freshness {
    /// Takes note that what is known was current at a time, by an answer of the platform or a relay.
    ///
    /// After an outage for all nodes, upstreams whose entries expired get a grace period to register again. If peers read
    /// on meanwhile, the outage was this node's alone, and entries that went are gone.
    pub fn confirm(&mut self, at_us: u64, options: &ReaderOptions) {
        let since = |began_us: Option<u64>| began_us.map_or(0, |began_us| at_us.saturating_sub(began_us));
        let outage = since(self.confirmed_at_us) >= options.outage_ms * US_PER_MS;
        let own_outage = since(self.peers_ahead_since_us) >= options.own_outage_ms * US_PER_MS;
        if outage && !own_outage {
            self.grace_until_us = at_us + options.grace_ms * US_PER_MS;
        }
        self.confirmed_at_us = self.confirmed_at_us.max(Some(at_us));
    }

    /// Takes note whether peers have read on.
    pub fn set_peers_ahead(&mut self, ahead: bool, now_us: u64) {
        self.peers_ahead_since_us = if ahead { self.peers_ahead_since_us.or(Some(now_us)) } else { None };
    }

    /// End of the grace period; past if there is none.
    pub fn grace_until_us(&self) -> u64 {
        self.grace_until_us
    }

    /// Age of what is known, in milliseconds; none before anything is.
    pub fn age_ms(&self, now_us: u64) -> Option<u64> {
        self.confirmed_at_us.map(|at_us| now_us.saturating_sub(at_us) / US_PER_MS)
    }

    /// Until when what is known counts as current.
    pub fn lease_until_us(&self, options: &ReaderOptions) -> u64 {
        self.confirmed_at_us.map_or(0, |at_us| at_us + options.lease_ms * US_PER_MS)
    }
}
