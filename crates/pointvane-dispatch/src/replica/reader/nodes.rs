//! What becomes of other nodes' relays, and what this node's role is among them.

use {
    super::{CatchUp, PlatformCall, PlatformReader, ReaderRole},
    crate::replica::{
        read_mark::ReadMark,
        relay::{ChangesHold, Relay},
    },
    pointvane_core::{Change, US_PER_MS},
};

/// The changes that bind a node at once, and hold whatever else it still lacks: upstreams that drain, which is final, and evacuations,
/// which have revisions of their own.
///
/// Upstreams that joined or are gone come with the state that is queried for, since an older state may still come between.
fn binding_at_once(changes: Vec<Change>) -> Vec<Change> {
    let binds = |change: &Change| match change {
        Change::Upstream(record) => record.draining,
        Change::Evacuation(_) => true,
        Change::UpstreamGone(_) | Change::Configuration(_) | Change::ConfigurationDeltas(_) => false,
    };
    changes.into_iter().filter(binds).collect()
}

impl PlatformReader {
    /// Takes another node's relay; gives what is to be applied.
    ///
    /// `position` is this node's in the order in which nodes query each other, from 0 for the first to 1.
    pub fn receive_relay(&mut self, relay: Relay, position: f64, now_us: u64) -> Vec<Change> {
        let older = relay.mark.revision < self.mark.revision || relay.age_ms >= self.options.lease_ms;
        if self.must_read_everything() || older {
            return Vec::new();
        }
        self.platform_lives(now_us);
        let gap = relay.mark.revision > self.mark.revision && relay.since > self.mark.revision;
        let answered_at_us = now_us.saturating_sub(relay.age_ms * US_PER_MS);
        if gap || relay.mark.version > self.mark.version {
            self.freshness.answered_peer(answered_at_us, &self.options);
            if !self.reads_soon(now_us) {
                self.begin_catch_up(relay.mark, position, now_us);
            }
            return binding_at_once(relay.changes);
        }
        // What led to a read of everything came from the relay.
        self.snapshot = None;
        self.no_reader_heard = false;
        self.freshness.confirm(answered_at_us, &self.options);
        self.advance_to(relay.mark.revision, &relay.changes, ChangesHold::All);
        relay.changes
    }

    /// Whether only a read of everything is of use: none has succeeded yet, or one is under way, or what is known cannot be trusted.
    fn must_read_everything(&self) -> bool {
        self.snapshot.as_ref().is_some_and(|snapshot| {
            self.watches() || !snapshot.is_unbegun() || !snapshot.keeps_what_is_known()
        })
    }

    /// The platform answers another reader: a node that does not watch takes that for the end of its failures.
    fn platform_lives(&mut self, now_us: u64) {
        if !self.watches() && self.failures > 0 {
            self.failures = 0;
            self.pause_until_us = self.pause_until_us.min(now_us);
        }
    }

    /// Takes note of another reader's relay, by an answer of the platform of an age in milliseconds. If that reader precedes this node, this
    /// one no longer watches in the watchers' place.
    pub fn hear_reader(&mut self, age_ms: u64, precedes: bool) {
        self.stands_in &= !precedes || age_ms >= self.options.lease_ms;
    }

    /// Takes the count of nodes that are reached, this one included.
    pub fn set_reached_nodes(&mut self, nodes: usize) {
        self.turns.set_nodes(nodes);
    }

    /// Whether this node's own calls to the platform soon bring what others have read: a watcher that the platform answers pauses
    /// for a moment at most, unless an answer takes long to come.
    fn reads_soon(&self, now_us: u64) -> bool {
        let slow = self
            .call
            .and_then(PlatformCall::fetching_since_us)
            .is_some_and(|since_us| now_us.saturating_sub(since_us) >= self.options.behind_ms * US_PER_MS);
        self.watches() && self.failures == 0 && !slow
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

    /// Takes this node's role, and the latest revision that any peer has read.
    pub fn compare_with_peers(&mut self, role: ReaderRole, latest: u64, now_us: u64) {
        self.role = role;
        self.freshness.tick(now_us);
        let ahead = latest > self.mark.revision;
        self.freshness.set_peers_ahead(ahead, now_us);
        let busy = self.snapshot.is_some() || now_us < self.pause_until_us || self.catch_up.is_some();
        if !ahead || busy {
            self.behind_since_us = None;
            return;
        }
        let since_us = *self.behind_since_us.get_or_insert(now_us);
        if now_us.saturating_sub(since_us) >= self.options.behind_ms * US_PER_MS {
            self.behind_since_us = None;
            if self.call == Some(PlatformCall::Waiting) {
                self.hung = true;
                self.failures = self.failures.saturating_add(1);
            }
            self.begin_catch_up(ReadMark { revision: latest, version: 0 }, 0.0, now_us);
        }
    }
}
