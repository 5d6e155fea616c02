//! The next call to the platform, and the next query of a peer.

use {
    super::{
        CallReason, PeerQuery, PlatformCall, PlatformReader, QueryTarget, ReaderCall, ReaderOptions,
        ReaderQuery, ReaderRole, snapshot::SnapshotRead,
    },
    crate::replica::state_query::StateRequest,
    pointvane_core::US_PER_MS,
    rand::Rng,
};

/// Wait of a watch that only fetches what is there already, in milliseconds.
const POLL_WAIT_MS: u64 = 1;
/// Time between a watcher's answer and the end of the leases before it, in milliseconds. Not measured: room for a relay
/// that is lost.
const LEASE_MARGIN_MS: u64 = 200;
/// Shortest wait of a watcher's watch, in milliseconds. Not measured: it bounds the calls to the platform.
const WAIT_MIN_MS: u64 = 200;

impl PlatformReader {
    /// What to do now, beside queries of peers; whatever was under way before has ended.
    pub fn next(&mut self, now_us: u64) -> ReaderCall {
        (self.call, self.hung) = (None, false);
        self.freshness.tick(now_us);
        if now_us < self.pause_until_us {
            return ReaderCall::Wait { until_us: self.pause_until_us };
        }
        if let Some(snapshot) = &self.snapshot {
            let (reason, next_page) = (snapshot.reason(), snapshot.next_page());
            return self.next_of_snapshot(reason, next_page, now_us);
        }
        if self.watches() {
            // Its watch takes the place of a call for what peers did not bring; the next relay begins a new round of queries.
            self.catch_up = self.catch_up.filter(|catch_up| now_us < catch_up.platform_at_us);
            let wait_ms = self.wait_ms(now_us);
            return self.watch(CallReason::Watching, wait_ms, PlatformCall::Waiting);
        }
        let poll_at_us = self.poll_at_us();
        if now_us < poll_at_us {
            return ReaderCall::Wait { until_us: poll_at_us };
        }
        // A call for what peers did not bring says nothing of whether a reader is heard.
        self.no_reader_heard = self.catch_up.take().is_none();
        let reason = if self.no_reader_heard { CallReason::LeaseOver } else { CallReason::CatchUp };
        self.watch(reason, POLL_WAIT_MS, PlatformCall::Fetching { since_us: now_us })
    }

    /// Which peer to query now, beside calls to the platform, for what this node is known to lack.
    pub fn next_query(&mut self, now_us: u64) -> ReaderQuery {
        let Some(catch_up) = self.catch_up.as_mut().filter(|catch_up| catch_up.peer_queries > 0) else {
            return ReaderQuery::Wait { until_us: u64::MAX };
        };
        if now_us < catch_up.query_at_us {
            return ReaderQuery::Wait { until_us: catch_up.query_at_us };
        }
        catch_up.peer_queries -= 1;
        let target = match catch_up.peer_queries {
            0 => QueryTarget::Broadcaster,
            _ => QueryTarget::Earlier { revision: catch_up.wanted.revision },
        };
        ReaderQuery::Peer(self.peer_query(target))
    }

    /// When a node that does not watch reads for itself: once peers have not brought what it lacks, or no relay renews its lease.
    fn poll_at_us(&self) -> u64 {
        let wait_us = match self.role {
            ReaderRole::Follower => self.turns.follower_wait_ms(&self.options) * US_PER_MS,
            ReaderRole::Watcher | ReaderRole::Standby => 0,
        };
        let lease_us = self.freshness.lease_until_us(&self.options) + wait_us;
        self.catch_up.map_or(lease_us, |catch_up| catch_up.platform_at_us)
    }

    /// Queries a peer first, after a start; then reads the platform.
    fn next_of_snapshot(&mut self, reason: CallReason, next_page: Option<String>, now_us: u64) -> ReaderCall {
        let unbegun = self.snapshot.as_ref().is_some_and(SnapshotRead::is_unbegun);
        let starts = reason == CallReason::Start;
        if starts && self.startup.queries_peers(&self.options, !unbegun, now_us, &mut self.rng) {
            return ReaderCall::QueryPeer(self.peer_query(QueryTarget::Any));
        }
        if self.start_queries > 0 && unbegun {
            self.start_queries -= 1;
            return ReaderCall::QueryPeer(self.peer_query(QueryTarget::Any));
        }
        self.call = Some(PlatformCall::Fetching { since_us: now_us });
        ReaderCall::Snapshot {
            reason,
            next_page,
            freshness: reason.freshness(),
            timeout_ms: self.options.timeout_ms,
        }
    }

    fn peer_query(&self, target: QueryTarget) -> PeerQuery {
        let request = StateRequest { known: self.mark };
        let ReaderOptions { start_connect_timeout_ms, start_timeout_ms, peer_timeout_ms, .. } = self.options;
        let (connect_timeout_ms, timeout_ms) = match target {
            QueryTarget::Any if self.startup.is_first() => (start_connect_timeout_ms, start_timeout_ms),
            QueryTarget::Any => (2 * start_connect_timeout_ms, start_timeout_ms),
            QueryTarget::Earlier { .. } | QueryTarget::Broadcaster => (peer_timeout_ms, peer_timeout_ms),
        };
        PeerQuery { target, request, connect_timeout_ms, timeout_ms }
    }

    fn watch(&mut self, reason: CallReason, wait_ms: u64, call: PlatformCall) -> ReaderCall {
        let reason = if self.is_unreachable() { CallReason::Retry } else { reason };
        self.call = Some(call);
        self.watched_after = self.mark.revision;
        let timeout_ms = wait_ms + self.options.timeout_ms;
        let answer_bytes_max = self.answer_bytes_max();
        ReaderCall::Watch { reason, after: self.mark.revision, wait_ms, timeout_ms, answer_bytes_max }
    }

    /// Size beyond which an answer to a watch is not read: that of everything which the platform holds.
    ///
    /// A watch brings each version of an item, a read of everything the newest alone. So what a node reads while it catches up does
    /// not grow with what was published meanwhile. In a burst of ten versions of 550 KB a second at 10 Mbit/s a change was unknown to
    /// a node for 9.4 s without this bound, for less than 2.0 s with it (simulated fleet, 20 seeds,
    /// `a_burst_of_large_configurations_is_followed_though_several_are_published_while_one_is_sent`).
    fn answer_bytes_max(&self) -> usize {
        self.state_bytes.max(self.options.answer_bytes_min)
    }

    /// How long a watcher waits: its next answer must come before the leases that its last one gave are over. While the platform
    /// does not answer it does not wait, so as to notice its return soon.
    fn wait_ms(&mut self, now_us: u64) -> u64 {
        if self.is_unreachable() {
            return POLL_WAIT_MS;
        }
        // Before the first answer there is no lease to renew.
        let age_ms = self.freshness.age_ms(now_us).unwrap_or_default();
        let room_ms = self.options.lease_ms.saturating_sub(age_ms + LEASE_MARGIN_MS);
        let longest_ms = self.options.wait_ms.min(room_ms.max(WAIT_MIN_MS));
        // Spread, so that not all watchers renew their watches at once.
        self.rng.random_range(longest_ms * 3 / 4..=longest_ms)
    }
}
