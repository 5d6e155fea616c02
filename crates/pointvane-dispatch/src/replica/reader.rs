//! Reading of the platform: when it is called, when another node is queried instead, and what becomes of the answers.
//!
//! A few nodes read for all. Watchers hold a watch open and relay each answer to all nodes. A relay is also a lease: as long
//! as the platform's answer behind it is young, a node need not read for itself. Without a watcher standbys read, and
//! without these the others in turns (`turns.rs`); whoever of them is answered watches for all until a watcher is heard. What
//! a relay has no room for, such as a configuration, nodes query from each other in an order that spreads the load
//! (`query_order.rs`), and from the platform if that fails. Everything is read anew when the platform no longer holds the
//! changes that are missing, or an answer cannot be trusted. How a node starts: `startup.rs`.
//!
//! The state machine takes the time and the answers and returns the next call; `pointvane-node` carries it out. Calls to the
//! platform and queries of peers run beside each other: [`PlatformReader::next`] and [`PlatformReader::next_query`]. Inputs that
//! are old: a relay older than the lease is ignored; an outage of the platform longer than `outage_ms` opens a grace
//! period for entries that may only have expired. Tests: `tests/reader.rs`, `tests/relays.rs`, `tests/states.rs`,
//! `tests/lapses.rs`.

mod answers;
mod call;
mod freshness;
mod next_call;
mod nodes;
mod options;
mod queries;
mod snapshot;
mod startup;
mod turns;

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
    rand::{SeedableRng, rngs::SmallRng},
    snapshot::SnapshotRead,
    startup::Startup,
    turns::Turns,
};

/// The platform is known to hold more than this node: what is missing, and how it is fetched.
#[derive(Clone, Copy, Debug)]
struct CatchUp {
    wanted: ReadMark,
    /// When peers are queried.
    query_at_us: u64,
    /// Queries that are left.
    peer_queries: u32,
    /// When the platform is called, whatever peers do, unless they have brought it.
    platform_at_us: u64,
    /// Whether a peer answered that it knows no more.
    declined: bool,
}

/// A call to the platform that is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PlatformCall {
    /// A watch that waits for changes; nothing of an answer has come. It may hang.
    Waiting,
    /// An answer is on its way, or about to be. It is not given up for news: whoever begins a large answer anew at each piece of
    /// news never gets it. Peers are queried beside it.
    Fetching {
        /// Since when, in microseconds of the steady clock.
        since_us: u64,
    },
}

impl PlatformCall {
    /// Since when an answer is fetched, in microseconds of the steady clock; none while the call waits.
    const fn fetching_since_us(self) -> Option<u64> {
        match self {
            Self::Waiting => None,
            Self::Fetching { since_us } => Some(since_us),
        }
    }
}

/// The state of a node's reading.
#[derive(Debug)]
pub struct PlatformReader {
    options: ReaderOptions,
    role: ReaderRole,
    mark: ReadMark,
    /// A read of everything that is under way or due.
    snapshot: Option<SnapshotRead>,
    start_queries: u32,
    startup: Startup,
    catch_up: Option<CatchUp>,
    pause_until_us: u64,
    failures: u32,
    freshness: Freshness,
    behind_since_us: Option<u64>,
    /// The call to the platform under way.
    call: Option<PlatformCall>,
    /// Size of the last read of everything, in bytes.
    state_bytes: usize,
    /// Size of the answer that came last, in bytes.
    answer_bytes: usize,
    /// Revision that the last watch was made after.
    watched_after: u64,
    /// Whether the watch under way hangs: it would have brought what peers have read.
    hung: bool,
    /// Whether the call under way is made because no other reader was heard.
    no_reader_heard: bool,
    /// Whether this node watches in the watchers' place: no reader was heard, and the platform answered.
    stands_in: bool,
    /// When the platform last answered this node itself, in microseconds of the steady clock.
    answered_at_us: Option<u64>,
    turns: Turns,
    log: RelayLog,
    rng: SmallRng,
}

impl PlatformReader {
    /// A node that has read nothing.
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
            watched_after: 0,
            hung: false,
            no_reader_heard: false,
            stands_in: false,
            answered_at_us: None,
            turns: Turns::new(&mut rng),
            log: RelayLog::default(),
            rng,
        }
    }

    /// How far the platform is read; zeros before the first read.
    pub fn mark(&self) -> ReadMark {
        self.mark
    }

    /// End of the grace period within which an upstream whose entry is gone may come back; past if there is none.
    pub fn grace_until_us(&self) -> u64 {
        self.freshness.grace_until_us()
    }

    /// Whether the last calls to the platform failed.
    pub fn is_unreachable(&self) -> bool {
        self.failures > 0
    }

    /// Age of the platform's last answer, in milliseconds; none before the first.
    pub fn age_ms(&self, now_us: u64) -> Option<u64> {
        self.freshness.age_ms(now_us)
    }

    /// What this node relays to all others now, if the platform's answer behind it is current.
    ///
    /// The age is that of the platform's answer to this node itself: what it knows from other readers, these relay.
    pub fn relay(&self, now_us: u64) -> Option<Relay> {
        let answered_at_us = self.answered_at_us.filter(|_| self.trusts_what_it_knows())?;
        let age_ms = now_us.saturating_sub(answered_at_us) / US_PER_MS;
        (age_ms < self.options.lease_ms).then(|| self.log.relay(self.mark, age_ms))
    }

    /// Whether this node watches the platform for all, by its role or since no reader was heard.
    pub fn watches(&self) -> bool {
        self.role == ReaderRole::Watcher || self.stands_in
    }

    /// Whether this node watches in the watchers' place.
    pub fn stands_in(&self) -> bool {
        self.stands_in
    }

    /// Whether this node relays right after an answer of the platform: it watches, or no other reader was heard.
    pub fn broadcasts(&self) -> bool {
        self.watches() || self.no_reader_heard
    }

    /// Age of the platform's last answer, if that is current and what is known is right up to its revision.
    ///
    /// A reader that reads everything anew still knows what it knew before, so it goes on answering queries.
    fn current_age_ms(&self, now_us: u64) -> Option<u64> {
        let age_ms = self.freshness.age_ms(now_us)?;
        (self.trusts_what_it_knows() && age_ms < self.options.lease_ms).then_some(age_ms)
    }

    /// Whether what is known is right up to the revision that was read.
    fn trusts_what_it_knows(&self) -> bool {
        self.snapshot.as_ref().is_none_or(SnapshotRead::keeps_what_is_known)
    }

    /// Takes note that the platform's answer to the call under way has begun to come.
    pub fn answer_began(&mut self, now_us: u64) {
        if self.call == Some(PlatformCall::Waiting) {
            self.call = Some(PlatformCall::Fetching { since_us: now_us });
        }
    }

    /// Takes the size of the answer that has come, before what it holds.
    pub fn answer_came(&mut self, size_bytes: usize) {
        self.answer_bytes = size_bytes;
    }

    /// Whether the pause or the watch under way is to end early: there is something else to do now, or the watch hangs.
    pub fn is_to_be_interrupted(&self) -> bool {
        self.hung || (self.catch_up.is_some() && self.call.is_none())
    }

    /// Whether the platform is known to hold more than this node, so that peers are to be queried.
    pub fn is_behind(&self) -> bool {
        self.catch_up.is_some()
    }
}
