//! What a feed makes of the platform's answers.

use {
    super::{
        CallFailure, Feed, FeedOptions, ReaderRole,
        reading::{PageRead, Reading},
    },
    pointvane_core::{Change, ChangePage, Name, US_PER_MS},
    rand::Rng,
};

impl Feed {
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
        let PageRead { changes, whole_at } = reading.take(page, known);
        self.note_version(&changes);
        let Some(revision) = whole_at else {
            self.reading = Some(reading);
            return changes;
        };
        self.restart(revision);
        self.rest_after_start(now_us);
        changes
    }

    /// By the end of this rest a node that has just started has met its peers, and knows whether it is a sentinel.
    pub(super) fn rest_after_start(&mut self, now_us: u64) {
        self.rest_until_us = now_us + 2 * self.options.settle_ms * US_PER_MS;
    }

    /// Takes the changes that a watch told.
    pub fn watched(&mut self, page: ChangePage, now_us: u64) -> Vec<Change> {
        self.answered(now_us);
        if page.revision < self.watched_after {
            // The platform went back: trust nothing but a read of everything.
            self.reading = Some(Reading::default());
            return Vec::new();
        }
        if page.revision < self.mark.revision {
            // Another node has told more meanwhile.
            return Vec::new();
        }
        self.note_version(&page.changes);
        self.advance(page.revision, &page.changes);
        if !page.changes.is_empty() && self.role == ReaderRole::Sentinel {
            self.rest_until_us = now_us + self.options.settle_ms * US_PER_MS;
        }
        page.changes
    }

    fn answered(&mut self, now_us: u64) {
        self.watching = false;
        self.failures = 0;
        self.rest_until_us = now_us;
        self.freshness.confirm(now_us, &self.options);
        self.draw_follower_wait();
    }

    fn note_version(&mut self, changes: &[Change]) {
        let versions = changes.iter().filter_map(|change| match change {
            Change::Configuration(configuration) => Some(configuration.version),
            _ => None,
        });
        self.mark.version = versions.fold(self.mark.version, u64::max);
    }

    pub(super) fn advance(&mut self, revision: u64, changes: &[Change]) {
        if revision > self.mark.revision {
            self.log.add(revision, changes);
        }
        self.reached(revision.max(self.mark.revision));
    }

    pub(super) fn restart(&mut self, revision: u64) {
        self.log.restart(revision);
        self.reached(revision);
    }

    fn reached(&mut self, revision: u64) {
        self.mark.revision = revision;
        self.behind_since_us = None;
        self.lag = self.lag.filter(|lag| !self.mark.covers(lag.wanted));
    }

    /// Takes the failure of a call to the platform.
    pub fn failed(&mut self, failure: CallFailure, now_us: u64) {
        self.watching = false;
        if failure != CallFailure::Unavailable || self.reading.is_some() {
            self.reading = Some(Reading::default());
        }
        if failure == CallFailure::HistoryGone {
            self.rest_until_us = now_us;
            return;
        }
        let most_ms = self.retry_most_ms();
        self.failures = self.failures.saturating_add(1);
        self.rest_until_us = now_us + self.rng.random_range(most_ms / 2..=most_ms) * US_PER_MS;
    }

    /// The first rest is short; then sentinels stay quick, and others, whose calls add up, do not.
    fn retry_most_ms(&self) -> u64 {
        let FeedOptions { retry_ms, retry_max_ms, retry_others_max_ms, .. } = self.options;
        match (self.role, self.failures) {
            (ReaderRole::Sentinel, failures) => (retry_ms << failures.min(8)).min(retry_max_ms),
            (_, 0) => retry_ms,
            _ => retry_others_max_ms,
        }
    }
}
