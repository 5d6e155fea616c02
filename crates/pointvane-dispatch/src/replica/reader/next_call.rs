//! Selection of the next call to the platform and the next query of a peer.

use {
    super::{
        CallReason, PeerQuery, PlatformCall, PlatformReader, QueryTarget, ReaderCall, ReaderOptions,
        ReaderQuery, ReaderRole, snapshot::SnapshotRead,
    },
    crate::replica::state_query::StateRequest,
    pointvane_core::US_PER_MS,
    rand::Rng,
};

/// Wait of a watch that only fetches changes already published, in milliseconds.
const POLL_WAIT_MS: u64 = 1;
/// Margin between a watcher's response and the expiry of the leases it renews, in milliseconds. Leaves time
/// for one lost relay.
const LEASE_MARGIN_MS: u64 = 200;
/// Shortest wait of a watcher's watch, in milliseconds; bounds the rate of calls to the platform.
const WAIT_MIN_MS: u64 = 200;

impl PlatformReader {
    /// Returns the next call, made concurrently with queries of peers. Any previous call has ended.
    pub fn next(&mut self, now_us: u64) -> ReaderCall {
        (self.call, self.watch_hung) = (None, false);
        self.freshness.tick(now_us);
        if now_us < self.pause_until_us {
            return ReaderCall::Wait { until_us: self.pause_until_us };
        }
        if let Some(snapshot) = &self.snapshot {
            let (reason, next_page) = (snapshot.reason(), snapshot.next_page());
            return self.next_snapshot_call(reason, next_page, now_us);
        }
        if self.watches() {
            // The watch replaces the call for what peers did not supply; the next relay starts a new round of
            // queries.
            self.catch_up = self.catch_up.filter(|catch_up| now_us < catch_up.platform_at_us);
            let wait_ms = self.wait_ms(now_us);
            return self.watch(CallReason::Watching, wait_ms, PlatformCall::Waiting);
        }
        let poll_at_us = self.poll_at_us();
        if now_us < poll_at_us {
            return ReaderCall::Wait { until_us: poll_at_us };
        }
        // A call for what peers did not supply does not mean that relays have stopped.
        self.lease_expired = self.catch_up.take().is_none();
        let reason = if self.lease_expired { CallReason::LeaseOver } else { CallReason::CatchUp };
        self.watch(reason, POLL_WAIT_MS, PlatformCall::Fetching { since_us: now_us })
    }

    /// Returns the next query of a peer for what this node is known to lack; runs concurrently with calls to
    /// the platform.
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

    /// When a node that does not watch calls the platform, in microseconds of the monotonic clock: once peers
    /// have not supplied what it lacks, or its lease has expired without a relay.
    fn poll_at_us(&self) -> u64 {
        let wait_us = match self.role {
            ReaderRole::Follower => self.poll_schedule.follower_wait_ms(&self.options) * US_PER_MS,
            ReaderRole::Watcher | ReaderRole::Standby => 0,
        };
        let lease_us = self.freshness.lease_until_us(&self.options) + wait_us;
        self.catch_up.map_or(lease_us, |catch_up| catch_up.platform_at_us)
    }

    /// The next call while a snapshot is due: after a start, peers are queried before the platform is read.
    fn next_snapshot_call(
        &mut self,
        reason: CallReason,
        next_page: Option<String>,
        now_us: u64,
    ) -> ReaderCall {
        let no_page_read = self.snapshot.as_ref().is_some_and(SnapshotRead::has_no_pages);
        let is_start = reason == CallReason::Start;
        if is_start && self.startup.should_query_peers(&self.options, !no_page_read, now_us, &mut self.rng) {
            return ReaderCall::QueryPeer(self.peer_query(QueryTarget::Any));
        }
        if self.start_queries > 0 && no_page_read {
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
            QueryTarget::Any if self.startup.is_first_query() => (start_connect_timeout_ms, start_timeout_ms),
            QueryTarget::Any => (2 * start_connect_timeout_ms, start_timeout_ms),
            QueryTarget::Earlier { .. } | QueryTarget::Broadcaster => (peer_timeout_ms, peer_timeout_ms),
        };
        PeerQuery { target, request, connect_timeout_ms, timeout_ms }
    }

    fn watch(&mut self, reason: CallReason, wait_ms: u64, call: PlatformCall) -> ReaderCall {
        let reason = if self.is_unreachable() { CallReason::Retry } else { reason };
        self.call = Some(call);
        self.watch_revision = self.mark.revision;
        let timeout_ms = wait_ms + self.options.timeout_ms;
        let answer_bytes_max = self.answer_bytes_max();
        ReaderCall::Watch { reason, after: self.mark.revision, wait_ms, timeout_ms, answer_bytes_max }
    }

    /// Largest response to a watch that is read, in bytes: the size of the last snapshot.
    ///
    /// A watch returns every version of an item, a snapshot only the newest, so the bound keeps the size of a
    /// catch-up independent of how much was published meanwhile. In a burst of ten 550 KB versions a second
    /// at 10 Mbit/s, a change took up to 9.4 s to reach a node without this bound and less than 2.0 s with it
    /// (simulated fleet, 20 seeds,
    /// `a_burst_of_large_configurations_is_followed_when_several_are_published_during_a_transfer`).
    fn answer_bytes_max(&self) -> usize {
        self.state_bytes.max(self.options.answer_bytes_min)
    }

    /// How long a watcher waits for changes, in milliseconds: its next response has to arrive before the
    /// leases renewed by the last one expire. While the platform is unreachable it does not wait, so as to
    /// notice its recovery soon.
    fn wait_ms(&mut self, now_us: u64) -> u64 {
        if self.is_unreachable() {
            return POLL_WAIT_MS;
        }
        // Before the first response there is no lease to renew.
        let age_ms = self.freshness.age_ms(now_us).unwrap_or_default();
        let lease_left_ms = self.options.lease_ms.saturating_sub(age_ms + LEASE_MARGIN_MS);
        let wait_max_ms = self.options.wait_ms.min(lease_left_ms.max(WAIT_MIN_MS));
        // Jitter keeps the watchers from renewing their watches simultaneously.
        self.rng.random_range(wait_max_ms * 3 / 4..=wait_max_ms)
    }
}
