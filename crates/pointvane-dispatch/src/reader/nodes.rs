//! What becomes of other nodes' relays and answers, and what this node answers to their queries.

use {
    super::{CallReason, CatchUp, PlatformCall, PlatformReader, ReaderRole, snapshot::SnapshotRead},
    crate::{
        read_mark::ReadMark,
        relay::Relay,
        state_query::{ConfigurationUpdate, KnownState, StateReply, StateRequest},
    },
    pointvane_core::{Change, Name, US_PER_MS},
    std::mem,
};

/// Upstreams beyond which a node that needs all of them has to read the platform.
///
/// Worked out, not measured: some 70 bytes each, so 0.6 MB, which a link of 10 Mbit/s carries in 0.5 s.
const WHOLE_STATE_UPSTREAMS_MAX: usize = 8_192;

/// All upstreams as changes, unless there are too many.
fn whole_state(known: &impl KnownState) -> Option<Vec<Change>> {
    let upstreams = known.upstreams();
    let few = upstreams.len() <= WHOLE_STATE_UPSTREAMS_MAX;
    few.then(|| upstreams.into_iter().map(Change::Upstream).collect())
}

/// The changes by which upstreams drain: they bind a node at once, and hold whatever else it still lacks.
///
/// Upstreams that joined or are gone come with the state that is queried for, since an older state may still come between.
fn drains(changes: Vec<Change>) -> Vec<Change> {
    let drains = |change: &Change| matches!(change, Change::Upstream(record) if record.draining);
    changes.into_iter().filter(drains).collect()
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
            return drains(relay.changes);
        }
        // What led to a read of everything came from the relay.
        self.snapshot = None;
        self.no_reader_heard = false;
        self.freshness.confirm(answered_at_us, &self.options);
        self.advance_to(relay.mark.revision, &relay.changes);
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

    /// Answers another node's query from what this one knows, if that is more and current.
    pub fn answer(
        &self,
        request: &StateRequest,
        known_here: &impl KnownState,
        now_us: u64,
    ) -> Option<StateReply> {
        let age_ms = self.current_age_ms(now_us)?;
        let known = request.known;
        if self.mark.revision < known.revision || self.mark == known {
            return None;
        }
        let steps = if known.revision == 0 { None } else { self.log.changes_since(known.revision) };
        let whole = steps.is_none();
        let changes = match steps {
            Some(steps) => steps,
            None => whole_state(known_here)?,
        };
        let older = known.version < self.mark.version;
        let configuration = older.then(|| ConfigurationUpdate::new(known.version, known_here));
        Some(StateReply::new(self.mark, age_ms, whole, changes, configuration))
    }

    /// Takes another node's answer; `known` are the upstreams that this node knows. Gives what is to be applied.
    pub fn receive_state<'n>(
        &mut self,
        reply: StateReply,
        known: impl Iterator<Item = &'n Name>,
        now_us: u64,
    ) -> Vec<Change> {
        let snapshot_begun = self.snapshot.as_ref().is_some_and(|snapshot| !snapshot.is_unbegun());
        let useful = reply.age_ms < self.options.lease_ms && reply.leads_from(self.mark);
        if snapshot_begun || !useful || (self.mark.revision == 0 && !reply.whole) {
            self.query_failed(now_us);
            return Vec::new();
        }
        let StateReply { mark, whole, .. } = reply;
        self.freshness.confirm(now_us.saturating_sub(reply.age_ms * US_PER_MS), &self.options);
        let changes = reply.into_changes(known);
        self.mark.version = self.mark.version.max(mark.version);
        if self.snapshot.take().is_some() {
            self.pause_after_start(now_us);
        }
        match whole {
            true => self.restart_at(mark.revision),
            false => self.advance_to(mark.revision, &changes),
        }
        self.query_again(now_us);
        changes
    }

    /// Takes note that the configuration in force is an older one than was read: a delta could not be applied. Everything is read
    /// anew.
    pub fn configuration_missing(&mut self, version_in_force: u64) {
        self.mark.version = version_in_force;
        self.snapshot = Some(SnapshotRead::new(CallReason::ConfigurationMissing));
    }

    /// Takes note that a peer answered a query and knows no more, or has no time. After the last one that is no reason to call the
    /// platform at once: peers are queried again, and the platform is called when this node's turn comes.
    pub fn query_declined(&mut self, now_us: u64) {
        let Some(catch_up) = self.catch_up.as_mut().filter(|catch_up| catch_up.peer_queries == 0) else {
            return self.query_failed(now_us);
        };
        if !mem::replace(&mut catch_up.declined, true) {
            catch_up.platform_at_us += self.turns.declined_wait_ms(&self.options) * US_PER_MS;
        }
        self.query_again(now_us);
    }

    /// Begins another round of queries, if the last one is over and what is missing has not come.
    fn query_again(&mut self, now_us: u64) {
        if let Some(catch_up) = self.catch_up.as_mut().filter(|catch_up| catch_up.peer_queries == 0) {
            catch_up.peer_queries = self.options.peer_queries;
            catch_up.query_at_us = now_us + self.options.declined_pause_ms * US_PER_MS;
        }
    }

    /// Takes note that a query failed. After a start there is a pause before the next query; after the last one the platform is called.
    pub fn query_failed(&mut self, now_us: u64) {
        if let Some(catch_up) = self.catch_up.as_mut().filter(|catch_up| catch_up.peer_queries == 0) {
            catch_up.platform_at_us = now_us;
        }
        if self.snapshot.is_some() {
            self.pause_until_us = now_us + self.options.start_pause_ms * US_PER_MS;
        }
    }
}
