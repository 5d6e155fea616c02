//! The platform reader: decides when a node calls the platform, when it queries a peer instead, and how it
//! processes the responses.
//!
//! A few nodes read on behalf of the fleet. Watchers keep a long poll open and relay each response to all
//! nodes. A relay also renews a lease: while the platform response behind it is younger than `lease_ms`, the
//! receiver does not read for itself. Without a watcher the standbys read; without these, the followers do,
//! one after another (`poll_schedule.rs`). The first of them to get a response acts as a watcher until it
//! receives relays from another reader. Nodes fetch what does not fit in a relay, such as a configuration,
//! from each other in an order that spreads the load (`query_order.rs`), and from the platform if that fails.
//! A node reads a full snapshot when the platform no longer holds the changes it lacks, or when a response
//! cannot be trusted. Startup is described in `startup.rs`.
//!
//! The state machine is given the time and the responses and returns the next call; it does no I/O.
//! `pointvane-node` carries the calls out. Calls to the platform and queries of peers run concurrently:
//! [`PlatformReader::next`] and [`PlatformReader::next_query`]. Outdated inputs: a relay older than the lease
//! is ignored; after a platform outage longer than `outage_ms`, upstreams whose entries may merely have
//! expired get a grace period. Tests: `tests/reader.rs`, `tests/relays.rs`, `tests/state_queries.rs`,
//! `tests/expired_entries.rs`.

mod answers;
mod call;
mod freshness;
mod next_call;
mod options;
mod poll_schedule;
mod queries;
mod relays;
mod snapshot;
mod startup;

pub use {
    call::{CallFailure, CallReason, PeerQuery, QueryTarget, ReaderCall, ReaderQuery, ReaderRole},
    options::ReaderOptions,
};

use {
    crate::replica::{
        read_mark::ReadMark,
        relay::{Relay, RelayLog},
    },
    freshness::Freshness,
    pointvane_core::US_PER_MS,
    poll_schedule::PollSchedule,
    rand::{SeedableRng, rngs::SmallRng},
    snapshot::SnapshotRead,
    startup::Startup,
};

/// The platform is known to hold more than this node: what is missing, and when to fetch it from where.
#[derive(Clone, Copy, Debug)]
struct CatchUp {
    wanted: ReadMark,
    /// When the next query of a peer is due, in microseconds of the monotonic clock.
    query_at_us: u64,
    /// Queries left in this round.
    peer_queries: u32,
    /// When the platform is called unless peers have supplied the data by then, in microseconds of the
    /// monotonic clock.
    platform_at_us: u64,
    /// Whether a peer responded that it knows nothing newer.
    declined: bool,
}

/// A call to the platform in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlatformCall {
    /// A long poll that waits for changes; no part of the response has arrived. The connection may hang.
    Waiting,
    /// A response is arriving or expected at once. The call is not aborted when newer changes are announced:
    /// restarting a large transfer on every announcement would never complete it. Peers are queried in
    /// parallel.
    Fetching {
        /// Start of the fetch, in microseconds of the monotonic clock.
        since_us: u64,
    },
}

impl PlatformCall {
    /// Start of the fetch, in microseconds of the monotonic clock; `None` while the call waits for changes.
    const fn fetching_since_us(self) -> Option<u64> {
        match self {
            Self::Waiting => None,
            Self::Fetching { since_us } => Some(since_us),
        }
    }
}

/// State machine of a node's reads of the platform.
#[derive(Debug)]
pub struct PlatformReader {
    options: ReaderOptions,
    role: ReaderRole,
    mark: ReadMark,
    /// The snapshot read in progress or due.
    snapshot: Option<SnapshotRead>,
    start_queries: u32,
    startup: Startup,
    catch_up: Option<CatchUp>,
    pause_until_us: u64,
    failures: u32,
    freshness: Freshness,
    behind_since_us: Option<u64>,
    /// The call to the platform in progress.
    call: Option<PlatformCall>,
    /// Size of the last snapshot, in bytes.
    state_bytes: usize,
    /// Size of the last response, in bytes.
    answer_bytes: usize,
    /// Revision after which the last watch asked for changes.
    watch_revision: u64,
    /// Whether the watch in progress hangs: a working one would have returned what peers have already read.
    watch_hung: bool,
    /// Whether the last poll was made because no relay renewed the lease.
    lease_expired: bool,
    /// Whether this node acts as a watcher though its role is another: its lease expired and the platform
    /// responded.
    is_acting_watcher: bool,
    /// When the platform last responded to this node itself, in microseconds of the monotonic clock.
    answered_at_us: Option<u64>,
    poll_schedule: PollSchedule,
    relay_log: RelayLog,
    rng: SmallRng,
}

impl PlatformReader {
    /// Creates a reader that has read nothing; `seed` seeds its jitter.
    pub fn new(options: ReaderOptions, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        Self {
            options,
            role: ReaderRole::Watcher,
            mark: ReadMark::default(),
            snapshot: Some(SnapshotRead::new(CallReason::Start)),
            start_queries: options.start_queries,
            startup: Startup::default(),
            catch_up: None,
            pause_until_us: 0,
            failures: 0,
            freshness: Freshness::default(),
            behind_since_us: None,
            call: None,
            state_bytes: 0,
            answer_bytes: 0,
            watch_revision: 0,
            watch_hung: false,
            lease_expired: false,
            is_acting_watcher: false,
            answered_at_us: None,
            poll_schedule: PollSchedule::new(&mut rng),
            relay_log: RelayLog::default(),
            rng,
        }
    }

    /// The revision and configuration version read so far; zeros before the first read.
    pub fn mark(&self) -> ReadMark {
        self.mark
    }

    /// End of the grace period for upstreams whose entries were removed, in microseconds of the monotonic
    /// clock; in the past if there is none.
    pub fn grace_until_us(&self) -> u64 {
        self.freshness.grace_until_us()
    }

    /// Whether the last call to the platform failed.
    pub fn is_unreachable(&self) -> bool {
        self.failures > 0
    }

    /// Age of the platform's last confirmation, received directly or by a relay, in milliseconds; `None`
    /// before the first.
    pub fn age_ms(&self, now_us: u64) -> Option<u64> {
        self.freshness.age_ms(now_us)
    }

    /// The relay to send to all other nodes; `None` unless the platform response behind it is younger than
    /// the lease.
    ///
    /// The age is that of the last platform response to this node itself: other readers relay their own.
    pub fn relay(&self, now_us: u64) -> Option<Relay> {
        let answered_at_us = self.answered_at_us.filter(|_| self.is_state_valid())?;
        let age_ms = now_us.saturating_sub(answered_at_us) / US_PER_MS;
        (age_ms < self.options.lease_ms).then(|| self.relay_log.relay(self.mark, age_ms, now_us))
    }

    /// Whether this node watches the platform for the fleet, by its role or as an acting watcher.
    pub fn watches(&self) -> bool {
        self.role == ReaderRole::Watcher || self.is_acting_watcher
    }

    /// Whether this node acts as a watcher though its role is another.
    pub fn is_acting_watcher(&self) -> bool {
        self.is_acting_watcher
    }

    /// Whether this node relays each platform response at once: it watches, or its lease expired.
    pub fn broadcasts(&self) -> bool {
        self.watches() || self.lease_expired
    }

    /// Age of the local state in milliseconds; `None` if it is older than the lease or not correct up to its
    /// revision.
    ///
    /// A node that is reading a new snapshot usually still has a correct older state, so it keeps answering
    /// queries.
    fn current_age_ms(&self, now_us: u64) -> Option<u64> {
        let age_ms = self.freshness.age_ms(now_us)?;
        (self.is_state_valid() && age_ms < self.options.lease_ms).then_some(age_ms)
    }

    /// Whether the local state is correct up to the revision that was read.
    fn is_state_valid(&self) -> bool {
        self.snapshot.as_ref().is_none_or(SnapshotRead::keeps_state_valid)
    }

    /// Records the first byte of the platform's response to the call in progress.
    pub fn response_started(&mut self, now_us: u64) {
        if self.call == Some(PlatformCall::Waiting) {
            self.call = Some(PlatformCall::Fetching { since_us: now_us });
        }
    }

    /// Records the size of a received response; called before the response is processed.
    pub fn response_received(&mut self, size_bytes: usize) {
        self.answer_bytes = size_bytes;
    }

    /// Whether to end the current pause or watch early, because a catch-up is due or the watch hangs.
    pub fn should_interrupt(&self) -> bool {
        self.watch_hung || (self.catch_up.is_some() && self.call.is_none())
    }

    /// Whether the platform is known to hold more than this node, so that peers have to be queried.
    pub fn is_behind(&self) -> bool {
        self.catch_up.is_some()
    }
}
