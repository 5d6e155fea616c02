//! Processing of relays from other nodes, and this node's role among them.

use {
    super::{CatchUp, PlatformCall, PlatformReader, ReaderRole},
    crate::replica::{
        read_mark::ReadMark,
        relay::{ChangeCoverage, Relay},
    },
    pointvane_core::{Change, US_PER_MS},
};

/// Returns the changes that take effect at once, whatever else this node still lacks: draining upstreams,
/// since draining is final, and evacuations, which have their own revisions.
///
/// Upstreams that joined or were removed come with the queried state, since an older state may still arrive
/// before it.
fn immediately_effective(changes: Vec<Change>) -> Vec<Change> {
    let is_immediate = |change: &Change| match change {
        Change::Upstream(record) => record.draining,
        Change::Evacuation(_) => true,
        Change::UpstreamGone(_) | Change::Configuration(_) | Change::ConfigurationDeltas(_) => false,
    };
    changes.into_iter().filter(is_immediate).collect()
}

impl PlatformReader {
    /// Processes a relay from another node. Returns the changes to apply.
    ///
    /// `position` is the position of this node in the query order, from 0 (first) to 1.
    pub fn receive_relay(&mut self, relay: Relay, position: f64, now_us: u64) -> Vec<Change> {
        let is_outdated = relay.mark.revision < self.mark.revision || relay.age_ms >= self.options.lease_ms;
        if self.requires_snapshot() || is_outdated {
            return Vec::new();
        }
        self.platform_answered_peer(now_us);
        let has_gap = relay.mark.revision > self.mark.revision && relay.since > self.mark.revision;
        let answered_at_us = now_us.saturating_sub(relay.age_ms * US_PER_MS);
        if has_gap || relay.mark.version > self.mark.version {
            self.freshness.platform_responded_to_peer(answered_at_us, &self.options);
            if !self.will_read_soon(now_us) {
                self.begin_catch_up(relay.mark, position, now_us);
            }
            return immediately_effective(relay.changes);
        }
        // The relay supplied what the snapshot was due for.
        self.snapshot = None;
        self.lease_expired = false;
        self.freshness.confirm(answered_at_us, &self.options);
        self.advance_to(relay.mark.revision, &relay.changes, ChangeCoverage::All, now_us);
        relay.changes
    }

    /// Whether only a snapshot from the platform can be used: none has completed yet, one is in progress, or
    /// the local state is invalid.
    fn requires_snapshot(&self) -> bool {
        self.snapshot.as_ref().is_some_and(|snapshot| {
            self.watches() || !snapshot.has_no_pages() || !snapshot.keeps_state_valid()
        })
    }

    /// Records that the platform responded to another reader. A node that does not watch stops its own retry
    /// backoff.
    fn platform_answered_peer(&mut self, now_us: u64) {
        if !self.watches() && self.failures > 0 {
            self.failures = 0;
            self.pause_until_us = self.pause_until_us.min(now_us);
        }
    }

    /// Records a relay from another reader; `age_ms` is the age of the platform response behind it, in
    /// milliseconds. If that reader precedes this node, this one stops acting as a watcher.
    pub fn observe_reader(&mut self, age_ms: u64, precedes: bool) {
        self.is_acting_watcher &= !precedes || age_ms >= self.options.lease_ms;
    }

    /// Sets the number of reachable nodes, including this one.
    pub fn set_reachable_nodes(&mut self, nodes: usize) {
        self.poll_schedule.set_reachable_nodes(nodes);
    }

    /// Whether this node's own calls will soon return what others have read. A watcher that the platform
    /// responds to pauses only briefly, unless a response takes long to transfer.
    fn will_read_soon(&self, now_us: u64) -> bool {
        let is_slow = self
            .call
            .and_then(PlatformCall::fetching_since_us)
            .is_some_and(|since_us| now_us.saturating_sub(since_us) >= self.options.behind_ms * US_PER_MS);
        self.watches() && self.failures == 0 && !is_slow
    }

    fn begin_catch_up(&mut self, wanted: ReadMark, position: f64, now_us: u64) {
        if self.catch_up.is_some() {
            return;
        }
        let delay_ms = (self.options.spread_ms as f64 * position) as u64;
        self.catch_up = Some(CatchUp {
            wanted,
            query_at_us: now_us + delay_ms * US_PER_MS,
            peer_queries: self.options.peer_queries,
            platform_at_us: now_us + self.options.catch_up_ms * US_PER_MS,
            declined: false,
        });
    }

    /// Sets the role of this node and the latest revision read by any peer.
    pub fn compare_with_peers(&mut self, role: ReaderRole, latest: u64, now_us: u64) {
        self.role = role;
        self.freshness.tick(now_us);
        let ahead = latest > self.mark.revision;
        self.freshness.set_peers_ahead(ahead, now_us);
        let is_busy = self.snapshot.is_some() || now_us < self.pause_until_us || self.catch_up.is_some();
        if !ahead || is_busy {
            self.behind_since_us = None;
            return;
        }
        let since_us = *self.behind_since_us.get_or_insert(now_us);
        if now_us.saturating_sub(since_us) >= self.options.behind_ms * US_PER_MS {
            self.behind_since_us = None;
            if self.call == Some(PlatformCall::Waiting) {
                self.watch_hung = true;
                self.failures = self.failures.saturating_add(1);
            }
            self.begin_catch_up(ReadMark { revision: latest, version: 0 }, 0.0, now_us);
        }
    }
}
