//! When to read the platform, and what to make of its answers and of what sentinels relay.
//!
//! A node reads everything once. Then the few sentinels of the fleet wait for changes and relay them to all; a relay is
//! also a lease: as long as one is young, the node need not ask the platform itself. Without a lease it waits for
//! changes like a sentinel. It reads everything anew when the history is gone or an answer cannot be trusted.

use {
    crate::relay::{Relay, RelayLog},
    pointvane_core::{Change, ChangePage, Name, US_PER_MS},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::collections::HashSet,
};

/// Rules of reading.
#[derive(Clone, Copy, Debug)]
pub struct FeedOptions {
    /// Longest wait for a change, in milliseconds.
    ///
    /// A watch that hangs since a silence of the platform is noticed only when its wait is over.
    pub wait_ms: u64,
    /// Longest wait for an answer beyond the wait that was asked for, in milliseconds.
    pub patience_ms: u64,
    /// Rest of a sentinel between an answer that told changes and the next call, so that changes come in batches.
    pub settle_ms: u64,
    /// The same of all other nodes, whose calls add up.
    pub settle_others_ms: u64,
    /// First rest after a failure, in milliseconds; it doubles.
    pub retry_ms: u64,
    /// Longest rest after failures, in milliseconds.
    pub retry_max_ms: u64,
    /// Time after which a peer's later revision makes this node ask the platform, in milliseconds.
    pub behind_ms: u64,
    /// Age of a sentinel's last answer from the platform up to which its relay is trusted, in milliseconds.
    pub lease_ms: u64,
}

impl Default for FeedOptions {
    fn default() -> Self {
        Self {
            wait_ms: 1_200,
            patience_ms: 700,
            settle_ms: 300,
            settle_others_ms: 1_000,
            retry_ms: 100,
            retry_max_ms: 400,
            behind_ms: 500,
            lease_ms: 1_450,
        }
    }
}

/// The next thing to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedCall {
    /// Read everything, from this place on.
    Snapshot {
        /// Where the page begins; none for the first.
        next_page: Option<String>,
        /// Time without an answer after which the call counts as failed.
        patience_ms: u64,
    },
    /// Wait for changes.
    Watch {
        /// The revision that is known.
        after: u64,
        /// The longest wait.
        wait_ms: u64,
        /// Time without an answer after which the call counts as failed.
        patience_ms: u64,
    },
    /// Do nothing until then.
    Rest {
        /// When to ask again what to do.
        until_us: u64,
    },
}

/// Why a call gave nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// No connection, no answer in time, or a refusal.
    Unavailable,
    /// The platform no longer knows what changed since.
    HistoryGone,
    /// The answer cannot be understood.
    Malformed,
}

/// A read of everything that is under way.
#[derive(Clone, Debug, Default)]
struct Reading {
    next_page: Option<String>,
    /// Revision of the first page: pages form no snapshot, so what changed since then is watched again.
    revision: Option<u64>,
    seen: HashSet<Name>,
}

/// Wait of a watch that only fetches what is there already, in milliseconds.
const CATCH_UP_WAIT_MS: u64 = 1;
/// Time between a sentinel's answer and the end of the leases before it, in milliseconds.
const LEASE_MARGIN_MS: u64 = 200;
/// Shortest wait of a watch, in milliseconds.
const WAIT_MIN_MS: u64 = 200;

/// The state of a node's reading.
#[derive(Debug)]
pub struct Feed {
    options: FeedOptions,
    revision: u64,
    reading: Option<Reading>,
    rest_until_us: u64,
    failures: u32,
    sentinel: bool,
    lease_until_us: u64,
    /// Whether the platform is known to hold more than this node.
    catch_up: bool,
    behind_since_us: Option<u64>,
    /// When the platform last answered.
    answered_at_us: Option<u64>,
    watching: bool,
    log: RelayLog,
    rng: SmallRng,
}

impl Feed {
    /// A node that has read nothing.
    pub fn new(options: FeedOptions, seed: u64) -> Self {
        Self {
            options,
            revision: 0,
            reading: Some(Reading::default()),
            rest_until_us: 0,
            failures: 0,
            sentinel: false,
            lease_until_us: 0,
            catch_up: false,
            behind_since_us: None,
            answered_at_us: None,
            watching: false,
            log: RelayLog::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// The revision up to which everything is known; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether the last calls failed.
    pub fn is_lost(&self) -> bool {
        self.failures > 0
    }

    /// What to do now.
    pub fn next(&mut self, now_us: u64) -> FeedCall {
        if now_us < self.rest_until_us {
            return FeedCall::Rest { until_us: self.rest_until_us };
        }
        let patience_ms = self.options.patience_ms;
        if let Some(reading) = &self.reading {
            return FeedCall::Snapshot { next_page: reading.next_page.clone(), patience_ms };
        }
        if self.is_leased(now_us) {
            return FeedCall::Rest { until_us: self.lease_until_us };
        }
        let wait_ms = match std::mem::take(&mut self.catch_up) {
            true => CATCH_UP_WAIT_MS,
            false => self.wait_ms(now_us),
        };
        self.watching = true;
        FeedCall::Watch { after: self.revision, wait_ms, patience_ms: wait_ms + patience_ms }
    }

    /// How long a watch waits: a sentinel's next answer must come before the leases that its last one gave are over.
    fn wait_ms(&mut self, now_us: u64) -> u64 {
        let age_ms = self.answered_at_us.map_or(0, |at_us| now_us.saturating_sub(at_us) / US_PER_MS);
        let room_ms = self.options.lease_ms.saturating_sub(age_ms + LEASE_MARGIN_MS);
        let most_ms = self.options.wait_ms.min(room_ms.max(WAIT_MIN_MS));
        // Spread, so that not all nodes renew their watches at once.
        self.rng.random_range(most_ms * 3 / 4..=most_ms)
    }

    /// Whether sentinels look at the platform for this node.
    fn is_leased(&self, now_us: u64) -> bool {
        !self.sentinel && !self.catch_up && now_us < self.lease_until_us
    }

    /// Takes a page of everything; `known` are the upstreams this node knows.
    ///
    /// Gives what is to be applied.
    pub fn read<'n>(
        &mut self,
        page: ChangePage,
        known: impl Iterator<Item = &'n Name>,
        now_us: u64,
    ) -> Vec<Change> {
        self.answered(now_us);
        let mut reading = self.reading.take().unwrap_or_default();
        let revision = *reading.revision.get_or_insert(page.revision);
        let mut changes = page.changes;
        reading.seen.extend(changes.iter().filter_map(upstream_id).cloned());
        if page.next_page.is_some() {
            reading.next_page = page.next_page;
            self.reading = Some(reading);
            return changes;
        }
        let gone = known.filter(|id| !reading.seen.contains(*id));
        changes.extend(gone.cloned().map(Change::UpstreamGone));
        self.advance(revision);
        self.log.restart(revision);
        // By then a sentinel's relay has come, if there is one.
        self.rest_until_us = now_us + 2 * self.options.settle_ms * US_PER_MS;
        changes
    }

    /// Takes the changes that a watch told.
    pub fn watched(&mut self, page: ChangePage, now_us: u64) -> Vec<Change> {
        self.answered(now_us);
        if page.revision < self.revision {
            // The platform went back: trust nothing but a read of everything.
            self.reading = Some(Reading::default());
            return Vec::new();
        }
        self.log.add(self.revision, page.revision, &page.changes);
        self.advance(page.revision);
        if !page.changes.is_empty() {
            let FeedOptions { settle_ms, settle_others_ms, .. } = self.options;
            let rest_ms = if self.sentinel { settle_ms } else { settle_others_ms };
            self.rest_until_us = now_us + rest_ms * US_PER_MS;
        }
        page.changes
    }

    fn answered(&mut self, now_us: u64) {
        self.watching = false;
        self.failures = 0;
        self.answered_at_us = Some(now_us);
        self.rest_until_us = now_us;
    }

    fn advance(&mut self, revision: u64) {
        self.revision = revision;
        self.behind_since_us = None;
    }

    /// Takes the failure of a call.
    pub fn failed(&mut self, failure: CallFailure, now_us: u64) {
        self.watching = false;
        if failure != CallFailure::Unavailable || self.reading.is_some() {
            self.reading = Some(Reading::default());
        }
        if failure == CallFailure::HistoryGone {
            self.rest_until_us = now_us;
            return;
        }
        let most_ms = self.options.retry_ms << self.failures.min(8);
        let most_ms = most_ms.min(self.options.retry_max_ms);
        self.failures = self.failures.saturating_add(1);
        self.rest_until_us = now_us + self.rng.random_range(most_ms / 2..=most_ms) * US_PER_MS;
    }

    /// What this node relays to all others now, if it is a sentinel that the platform has answered of late.
    pub fn relay(&self, now_us: u64) -> Option<Relay> {
        let age_ms = now_us.saturating_sub(self.answered_at_us?) / US_PER_MS;
        let relays = self.sentinel && self.reading.is_none() && age_ms < self.options.lease_ms;
        relays.then(|| self.log.relay(self.revision, age_ms))
    }

    /// Takes what a sentinel relays; gives what is to be applied.
    pub fn hear_relay(&mut self, relay: Relay, now_us: u64) -> Vec<Change> {
        if self.reading.is_some() || relay.revision < self.revision || relay.age_ms >= self.options.lease_ms {
            return Vec::new();
        }
        if relay.revision > self.revision && relay.since > self.revision {
            // Something between was lost, or is too large to be relayed; a watch under way will tell it.
            self.catch_up = !self.watching;
            return Vec::new();
        }
        let lease_us = (self.options.lease_ms - relay.age_ms) * US_PER_MS;
        self.lease_until_us = self.lease_until_us.max(now_us + lease_us);
        if relay.revision == self.revision {
            return Vec::new();
        }
        self.advance(relay.revision);
        self.log.restart(relay.revision);
        relay.changes
    }

    /// Whether the platform is known to hold more than this node, so that it should ask at once.
    pub fn is_behind(&self) -> bool {
        self.catch_up
    }

    /// Takes whether this node is a sentinel, and the latest revision that any peer has seen.
    pub fn hear_peers(&mut self, sentinel: bool, latest: u64, now_us: u64) {
        self.sentinel = sentinel;
        if latest <= self.revision || self.reading.is_some() || now_us < self.rest_until_us || self.catch_up {
            self.behind_since_us = None;
            return;
        }
        let since_us = *self.behind_since_us.get_or_insert(now_us);
        if now_us.saturating_sub(since_us) >= self.options.behind_ms * US_PER_MS {
            self.behind_since_us = None;
            self.catch_up = true;
        }
    }
}

fn upstream_id(change: &Change) -> Option<&Name> {
    match change {
        Change::Upstream(record) => Some(&record.id),
        Change::Configuration(_) | Change::UpstreamGone(_) => None,
    }
}
