//! When to read the platform, and what to make of its answers and of what other nodes tell of it.
//!
//! Few nodes read: the sentinels of the fleet wait for changes and relay them to all. A relay is also a lease: as long
//! as the platform's word behind it is young, a node need not ask itself. When no sentinel is heard, deputies look, and
//! when none of these is heard either, each node does. What a relay has no room for, such as a configuration, nodes ask
//! of each other, in an order that spreads it like a rumour, and of the platform if that fails. Everything is read anew
//! when the history is gone or an answer cannot be trusted.

mod call;
mod freshness;
mod options;
mod peers;
mod platform;
mod reading;

pub use {
    call::{CallFailure, FeedCall, ReaderRole, Whom},
    options::FeedOptions,
};

use {
    crate::{
        relay::{Relay, RelayLog},
        state::{ReadMark, StateRequest},
    },
    freshness::Freshness,
    pointvane_core::US_PER_MS,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    reading::Reading,
};

/// Wait of a watch that only fetches what is there already, in milliseconds.
const LOOK_WAIT_MS: u64 = 1;
/// Time between a sentinel's answer and the end of the leases before it, in milliseconds.
const LEASE_MARGIN_MS: u64 = 200;
/// Shortest wait of a sentinel's watch, in milliseconds.
const WAIT_MIN_MS: u64 = 200;

/// That the platform is known to hold more than this node.
#[derive(Clone, Copy, Debug)]
struct Lag {
    wanted: ReadMark,
    ask_at_us: u64,
    peer_asks: u32,
}

/// The state of a node's reading.
#[derive(Debug)]
pub struct Feed {
    options: FeedOptions,
    role: ReaderRole,
    mark: ReadMark,
    reading: Option<Reading>,
    start_asks: u32,
    lag: Option<Lag>,
    rest_until_us: u64,
    failures: u32,
    freshness: Freshness,
    /// How long this node waits for a deputy's word after its lease.
    follower_wait_us: u64,
    behind_since_us: Option<u64>,
    /// Whether a watch that waits for changes is under way.
    watching: bool,
    /// Revision that the last watch was made after.
    watched_after: u64,
    /// Whether the call under way is made since no other node was heard.
    alone: bool,
    log: RelayLog,
    rng: SmallRng,
}

impl Feed {
    /// A node that has read nothing.
    pub fn new(options: FeedOptions, seed: u64) -> Self {
        let mut feed = Self {
            options,
            role: ReaderRole::Sentinel,
            mark: ReadMark::default(),
            reading: Some(Reading::default()),
            start_asks: options.start_asks,
            lag: None,
            rest_until_us: 0,
            failures: 0,
            freshness: Freshness::default(),
            follower_wait_us: 0,
            behind_since_us: None,
            watching: false,
            watched_after: 0,
            alone: false,
            log: RelayLog::default(),
            rng: SmallRng::seed_from_u64(seed),
        };
        feed.draw_follower_wait();
        feed
    }

    /// How far the platform is read; zeros before the first read.
    pub fn mark(&self) -> ReadMark {
        self.mark
    }

    /// Until when an upstream whose entry is gone may still come back, in case it lapsed; past if none may.
    pub fn reentry_until_us(&self) -> u64 {
        self.freshness.reentry_until_us()
    }

    /// Whether the last calls to the platform failed.
    pub fn is_lost(&self) -> bool {
        self.failures > 0
    }

    /// Age of the platform's last word, in milliseconds; none before the first.
    pub fn age_ms(&self, now_us: u64) -> Option<u64> {
        self.freshness.age_ms(now_us)
    }

    /// What to do now.
    pub fn next(&mut self, now_us: u64) -> FeedCall {
        if let Some(lag) = self.lag {
            return self.catch_up(lag, now_us);
        }
        if now_us < self.rest_until_us {
            return FeedCall::Rest { until_us: self.rest_until_us };
        }
        if let Some(reading) = &self.reading {
            if self.start_asks > 0 && reading.is_unbegun() {
                self.start_asks -= 1;
                return self.ask_peer(Whom::Anyone);
            }
            let patience_ms = self.options.patience_ms;
            return FeedCall::Snapshot { next_page: reading.next_page(), patience_ms };
        }
        if self.role == ReaderRole::Sentinel {
            let wait_ms = self.wait_ms(now_us);
            self.watching = true;
            return self.watch(wait_ms);
        }
        let wait_us = if self.role == ReaderRole::Follower { self.follower_wait_us } else { 0 };
        let look_at_us = self.freshness.lease_until_us(&self.options) + wait_us;
        if now_us < look_at_us {
            return FeedCall::Rest { until_us: look_at_us };
        }
        self.alone = true;
        self.watch(LOOK_WAIT_MS)
    }

    /// Asks peers, then the platform, for what is known to be there.
    fn catch_up(&mut self, lag: Lag, now_us: u64) -> FeedCall {
        if now_us < lag.ask_at_us {
            return FeedCall::Rest { until_us: lag.ask_at_us };
        }
        if lag.peer_asks == 0 {
            (self.lag, self.alone) = (None, false);
            let rests = now_us < self.rest_until_us;
            return if rests {
                FeedCall::Rest { until_us: self.rest_until_us }
            } else {
                self.watch(LOOK_WAIT_MS)
            };
        }
        self.lag = Some(Lag { peer_asks: lag.peer_asks - 1, ..lag });
        self.ask_peer(if lag.peer_asks == 1 { Whom::Teller } else { Whom::Earlier })
    }

    fn ask_peer(&self, whom: Whom) -> FeedCall {
        let request = StateRequest { known: self.mark };
        let patience_ms = match whom {
            Whom::Anyone => self.options.start_patience_ms,
            Whom::Earlier | Whom::Teller => self.options.peer_patience_ms,
        };
        FeedCall::AskPeer { whom, request, patience_ms }
    }

    fn watch(&mut self, wait_ms: u64) -> FeedCall {
        self.watched_after = self.mark.revision;
        FeedCall::Watch {
            after: self.mark.revision,
            wait_ms,
            patience_ms: wait_ms + self.options.patience_ms,
        }
    }

    /// How long a sentinel waits: its next answer must come before the leases that its last one gave are over.
    fn wait_ms(&mut self, now_us: u64) -> u64 {
        let age_ms = self.freshness.age_ms(now_us).unwrap_or_default();
        let room_ms = self.options.lease_ms.saturating_sub(age_ms + LEASE_MARGIN_MS);
        let most_ms = self.options.wait_ms.min(room_ms.max(WAIT_MIN_MS));
        // Spread, so that not all sentinels renew their watches at once.
        self.rng.random_range(most_ms * 3 / 4..=most_ms)
    }

    fn draw_follower_wait(&mut self) {
        let (least_ms, most_ms) = self.options.follower_wait_ms;
        self.follower_wait_us = self.rng.random_range(least_ms * US_PER_MS..=most_ms * US_PER_MS);
    }

    /// What this node relays to all others now, if the platform's word to it is young and it may speak.
    pub fn relay(&self, now_us: u64) -> Option<Relay> {
        let age_ms = self.current_age_ms(now_us)?;
        Some(self.log.relay(self.mark, age_ms))
    }

    /// Whether this node relays from time to time.
    pub fn is_sentinel(&self) -> bool {
        self.role == ReaderRole::Sentinel
    }

    /// Whether this node relays right after an answer of the platform: nobody else seems to.
    pub fn speaks(&self) -> bool {
        self.is_sentinel() || self.alone
    }

    /// Age of the platform's word, if it counts as current and everything is read.
    fn current_age_ms(&self, now_us: u64) -> Option<u64> {
        let age_ms = self.freshness.age_ms(now_us)?;
        (self.reading.is_none() && age_ms < self.options.lease_ms).then_some(age_ms)
    }

    /// Whether the platform is known to hold more than this node, so that a rest or a hung watch is to end.
    pub fn is_behind(&self) -> bool {
        self.lag.is_some()
    }
}
