//! How old the knowledge of the platform is, and what follows from an outage.

use {super::ReaderOptions, pointvane_core::US_PER_MS};

/// When the platform's state was last known to be current.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    confirmed_at_us: Option<u64>,
    /// Since when peers are known to have read on without this node.
    peers_ahead_since_us: Option<u64>,
    /// When the platform first answered a peer again, as far as this node has heard of it before it got an answer itself.
    returned_at_us: Option<u64>,
    grace_until_us: u64,
    /// When this process last looked at the time, as far as it does so at intervals.
    ticked_at_us: Option<u64>,
    /// Time since the last confirmation for which this process stood still, in microseconds.
    stalled_us: u64,
}

/// Time between two ticks from which on this process counts as having stood still, in microseconds. Not measured: ten of the node's ticks.
const STALL_MIN_US: u64 = 1_000_000;

impl Freshness {
    /// Takes note that what is known was current at a time, by an answer of the platform or a relay.
    ///
    /// After an outage for all nodes, upstreams whose entries expired get a grace period to register again. If peers read
    /// on meanwhile, the outage was this node's alone, and entries that went are gone.
    pub fn confirm(&mut self, at_us: u64, options: &ReaderOptions) {
        let returned_at_us = self.returned_at_us.take().map_or(at_us, |heard_us| heard_us.min(at_us));
        let own_outage = elapsed_us(self.peers_ahead_since_us, at_us) >= options.own_outage_ms * US_PER_MS;
        if self.is_outage(at_us, options) && !own_outage {
            self.grace_until_us = returned_at_us + options.grace_ms * US_PER_MS;
        }
        self.confirmed_at_us = self.confirmed_at_us.max(Some(at_us));
        self.stalled_us = 0;
    }

    /// Takes note of the time, at regular intervals. A process that was paused takes its own pause for no outage of the platform.
    pub fn tick(&mut self, now_us: u64) {
        let gap_us = elapsed_us(self.ticked_at_us.replace(now_us), now_us);
        if gap_us >= STALL_MIN_US {
            self.stalled_us += gap_us;
        }
    }

    /// Takes note that the platform answered a peer, though this node cannot apply yet what it said.
    pub fn answered_peer(&mut self, at_us: u64, options: &ReaderOptions) {
        if self.is_outage(at_us, options) {
            self.returned_at_us = Some(self.returned_at_us.map_or(at_us, |heard_us| heard_us.min(at_us)));
        }
    }

    fn is_outage(&self, at_us: u64, options: &ReaderOptions) -> bool {
        elapsed_us(self.confirmed_at_us, at_us).saturating_sub(self.stalled_us)
            >= options.outage_ms * US_PER_MS
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

/// Time since something began; 0 if it did not.
fn elapsed_us(began_us: Option<u64>, at_us: u64) -> u64 {
    began_us.map_or(0, |began_us| at_us.saturating_sub(began_us))
}
