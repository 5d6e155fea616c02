//! When to read the platform, and what to make of its answers.
//!
//! A node reads everything once, then waits for changes. It reads everything anew when the history is gone, when an
//! answer cannot be trusted, or when a peer has seen a later revision for a while.

use {
    pointvane_core::{Change, ChangePage, Name, US_PER_MS},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::collections::HashSet,
};

/// Rules of reading.
#[derive(Clone, Copy, Debug)]
pub struct FeedOptions {
    /// Longest wait for a change when peers would tell of it too, in milliseconds.
    pub wait_ms: u64,
    /// Longest wait for a change when no peer is heard, in milliseconds.
    pub wait_alone_ms: u64,
    /// Rest between an answer that told changes and the next call, so that changes come in batches.
    pub settle_ms: u64,
    /// First rest after a failure, in milliseconds; it doubles.
    pub retry_ms: u64,
    /// Longest rest after failures, in milliseconds.
    pub retry_max_ms: u64,
    /// Time after which a peer's later revision makes this node read everything anew, in milliseconds.
    pub behind_ms: u64,
}

impl Default for FeedOptions {
    fn default() -> Self {
        Self {
            wait_ms: 12_000,
            wait_alone_ms: 2_000,
            settle_ms: 400,
            retry_ms: 100,
            retry_max_ms: 600,
            behind_ms: 600,
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
    },
    /// Wait for changes.
    Watch {
        /// The revision that is known.
        after: u64,
        /// The longest wait.
        wait_ms: u64,
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

/// The state of a node's reading.
#[derive(Debug)]
pub struct Feed {
    options: FeedOptions,
    revision: u64,
    reading: Option<Reading>,
    rest_until_us: u64,
    failures: u32,
    peers_heard: bool,
    behind_since_us: Option<u64>,
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
            peers_heard: false,
            behind_since_us: None,
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
        if let Some(reading) = &self.reading {
            return FeedCall::Snapshot { next_page: reading.next_page.clone() };
        }
        let most_ms = if self.peers_heard { self.options.wait_ms } else { self.options.wait_alone_ms };
        // Spread, so that not all nodes renew their watches at once.
        let wait_ms = self.rng.random_range(most_ms * 3 / 4..=most_ms);
        FeedCall::Watch { after: self.revision, wait_ms }
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
        self.failures = 0;
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
        self.revision = revision;
        self.behind_since_us = None;
        self.rest_until_us = now_us;
        changes
    }

    /// Takes the changes that a watch told.
    pub fn watched(&mut self, page: ChangePage, now_us: u64) -> Vec<Change> {
        self.failures = 0;
        if page.revision < self.revision {
            // The platform went back: trust nothing but a read of everything.
            self.reading = Some(Reading::default());
            return Vec::new();
        }
        self.revision = page.revision;
        if !page.changes.is_empty() {
            self.rest_until_us = now_us + self.options.settle_ms * US_PER_MS;
        }
        page.changes
    }

    /// Takes the failure of a call.
    pub fn failed(&mut self, failure: CallFailure, now_us: u64) {
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

    /// Takes the latest revision that a peer has seen, and whether any peer is heard.
    ///
    /// True when this node has been behind for so long that its call under way must be dead.
    pub fn hear_peers(&mut self, latest: u64, heard: bool, now_us: u64) -> bool {
        self.peers_heard = heard;
        if latest <= self.revision || self.reading.is_some() {
            self.behind_since_us = None;
            return false;
        }
        let since_us = *self.behind_since_us.get_or_insert(now_us);
        let overdue = now_us.saturating_sub(since_us) >= self.options.behind_ms * US_PER_MS;
        if overdue {
            self.behind_since_us = None;
            self.reading = Some(Reading::default());
        }
        overdue
    }
}

fn upstream_id(change: &Change) -> Option<&Name> {
    match change {
        Change::Upstream(record) => Some(&record.id),
        Change::Configuration(_) | Change::UpstreamGone(_) => None,
    }
}
