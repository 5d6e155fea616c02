//! Age of the local copy of the platform state, and detection of platform outages.

use {super::ReaderOptions, pointvane_core::US_PER_MS};

/// When the local state was last confirmed as current. All times are in microseconds of the monotonic clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    confirmed_at_us: Option<u64>,
    /// Since when peers have a newer revision than this node.
    peers_ahead_since_us: Option<u64>,
    /// When the platform first responded to a peer after an outage, if this node learnt of it before it got a
    /// response itself.
    recovered_at_us: Option<u64>,
    grace_until_us: u64,
    /// Time of the last call of [`Self::tick`], which comes at regular intervals.
    ticked_at_us: Option<u64>,
    /// Time since the last confirmation during which this process was suspended, in microseconds.
    stalled_us: u64,
}

/// Gap between two ticks from which the process counts as suspended, in microseconds. Ten of the node's tick
/// intervals.
const STALL_MIN_US: u64 = 1_000_000;

impl Freshness {
    /// Records that the local state was current at `at_us`, as a platform response or a relay confirmed.
    ///
    /// After an outage that affected all nodes, upstreams whose entries expired get a grace period to
    /// register again. If peers kept reading meanwhile, the outage was local to this node, and removed
    /// entries are removed at once.
    pub fn confirm(&mut self, at_us: u64, options: &ReaderOptions) {
        let recovered_at_us = self.recovered_at_us.take().map_or(at_us, |earlier_us| earlier_us.min(at_us));
        let local_outage =
            elapsed_us(self.peers_ahead_since_us, at_us) >= options.local_outage_ms * US_PER_MS;
        if self.is_outage(at_us, options) && !local_outage {
            self.grace_until_us = recovered_at_us + options.grace_ms * US_PER_MS;
        }
        self.confirmed_at_us = self.confirmed_at_us.max(Some(at_us));
        self.stalled_us = 0;
    }

    /// Records the time; called at regular intervals. The time for which the process itself was suspended is
    /// not taken for a platform outage.
    pub fn tick(&mut self, now_us: u64) {
        let gap_us = elapsed_us(self.ticked_at_us.replace(now_us), now_us);
        if gap_us >= STALL_MIN_US {
            self.stalled_us += gap_us;
        }
    }

    /// Records that the platform responded to a peer, though this node cannot apply the change yet.
    pub fn platform_responded_to_peer(&mut self, at_us: u64, options: &ReaderOptions) {
        if self.is_outage(at_us, options) {
            self.recovered_at_us =
                Some(self.recovered_at_us.map_or(at_us, |earlier_us| earlier_us.min(at_us)));
        }
    }

    fn is_outage(&self, at_us: u64, options: &ReaderOptions) -> bool {
        elapsed_us(self.confirmed_at_us, at_us).saturating_sub(self.stalled_us)
            >= options.outage_ms * US_PER_MS
    }

    /// Records whether peers have a newer revision than this node.
    pub fn set_peers_ahead(&mut self, ahead: bool, now_us: u64) {
        self.peers_ahead_since_us = if ahead { self.peers_ahead_since_us.or(Some(now_us)) } else { None };
    }

    /// End of the grace period; in the past if there is none.
    pub fn grace_until_us(&self) -> u64 {
        self.grace_until_us
    }

    /// Time since the local state was last confirmed, in milliseconds; `None` before the first confirmation.
    pub fn age_ms(&self, now_us: u64) -> Option<u64> {
        self.confirmed_at_us.map(|at_us| now_us.saturating_sub(at_us) / US_PER_MS)
    }

    /// When the lease ends, up to which the local state counts as current.
    pub fn lease_until_us(&self, options: &ReaderOptions) -> u64 {
        self.confirmed_at_us.map_or(0, |at_us| at_us + options.lease_ms * US_PER_MS)
    }
}

/// Time from `began_us` to `at_us`, in microseconds; 0 without a start.
fn elapsed_us(began_us: Option<u64>, at_us: u64) -> u64 {
    began_us.map_or(0, |began_us| at_us.saturating_sub(began_us))
}
