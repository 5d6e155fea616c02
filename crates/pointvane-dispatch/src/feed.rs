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
    /// Longest wait for a change of a node whose peers would tell of it, in milliseconds.
    pub wait_ms: u64,
    /// Longest wait for a change of a sentinel, or of a node that hears no peer, in milliseconds.
    ///
    /// A watch that hangs since a silence of the platform is noticed only when its wait is over.
    pub wait_short_ms: u64,
    /// Longest wait for an answer beyond the wait that was asked for, in milliseconds.
    pub patience_ms: u64,
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
            wait_ms: 30_000,
            wait_short_ms: 1_200,
            patience_ms: 700,
            settle_ms: 1_000,
            retry_ms: 100,
            retry_max_ms: 400,
            behind_ms: 500,
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

/// What a node hears of its peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerView {
    /// The latest revision that a peer has seen.
    pub latest: u64,
    /// Whether any peer is heard.
    pub heard: bool,
    /// Whether this node is one of the few that look at the platform often, for all.
    pub sentinel: bool,
}

/// What follows from the peers for the call under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerVerdict {
    /// It may go on.
    Fine,
    /// It is to be given up and made anew.
    Renew,
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
    /// Whether a hung watch must be noticed by this node itself.
    short_waits: bool,
    wait_ends_us: u64,
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
            short_waits: true,
            wait_ends_us: 0,
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
        let patience_ms = self.options.patience_ms;
        if let Some(reading) = &self.reading {
            return FeedCall::Snapshot { next_page: reading.next_page.clone(), patience_ms };
        }
        let most_ms = if self.short_waits { self.options.wait_short_ms } else { self.options.wait_ms };
        // Spread, so that not all nodes renew their watches at once.
        let wait_ms = self.rng.random_range(most_ms * 3 / 4..=most_ms);
        self.wait_ends_us = now_us + wait_ms * US_PER_MS;
        FeedCall::Watch { after: self.revision, wait_ms, patience_ms: wait_ms + patience_ms }
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

    /// Takes what is heard of the peers while a call is under way.
    pub fn hear_peers(&mut self, view: PeerView, now_us: u64) -> PeerVerdict {
        self.short_waits = view.sentinel || !view.heard;
        if self.reading.is_some() || now_us < self.rest_until_us {
            self.behind_since_us = None;
            return PeerVerdict::Fine;
        }
        if self.is_behind(view.latest, now_us) {
            self.reading = Some(Reading::default());
            return PeerVerdict::Renew;
        }
        let short_us = self.options.wait_short_ms * US_PER_MS;
        if self.short_waits && self.wait_ends_us > now_us + short_us {
            self.wait_ends_us = now_us;
            return PeerVerdict::Renew;
        }
        PeerVerdict::Fine
    }

    /// Whether a peer has known a later revision for so long that the watch under way must hang.
    fn is_behind(&mut self, latest: u64, now_us: u64) -> bool {
        if latest <= self.revision {
            self.behind_since_us = None;
            return false;
        }
        let since_us = *self.behind_since_us.get_or_insert(now_us);
        let behind = now_us.saturating_sub(since_us) >= self.options.behind_ms * US_PER_MS;
        if behind {
            self.behind_since_us = None;
        }
        behind
    }
}

fn upstream_id(change: &Change) -> Option<&Name> {
    match change {
        Change::Upstream(record) => Some(&record.id),
        Change::Configuration(_) | Change::UpstreamGone(_) => None,
    }
}
