//! What becomes of the platform's answers and failures.

use {
    super::{
        CallFailure, CallReason, PlatformCall, PlatformReader, ReaderOptions, ReaderRole,
        snapshot::{PageRead, SnapshotRead, StateRead},
    },
    crate::replica::relay::ChangesHold,
    pointvane_core::{Change, ChangePage, US_PER_MS},
    rand::Rng,
};

/// Doublings of the pause after a failure that are computed; the longest pause binds long before.
const RETRY_DOUBLINGS_MAX: u32 = 8;

impl PlatformReader {
    /// Takes a page of a read of everything; `known` are the entries that this node knows. Gives what is to be applied.
    pub fn page_read(
        &mut self,
        page: ChangePage,
        known: impl Iterator<Item = Change>,
        now_us: u64,
    ) -> Vec<Change> {
        let began_us = self.call.and_then(PlatformCall::fetching_since_us).unwrap_or(now_us);
        self.call_succeeded(now_us);
        // A page that comes though none is due begins a new read.
        let mut snapshot = self.snapshot.take().unwrap_or_else(|| SnapshotRead::new(CallReason::Start));
        let PageRead { changes, complete } = snapshot.take(page, self.answer_bytes, known);
        self.raise_version(&changes);
        match complete {
            None => self.snapshot = Some(snapshot),
            Some(state) => self.state_read(state, began_us, now_us),
        }
        changes
    }

    /// Everything was read, by a call whose answer began to come at a time.
    fn state_read(&mut self, state: StateRead, began_us: u64, now_us: u64) {
        self.state_bytes = state.size_bytes;
        let first = self.mark.revision == 0;
        if first || state.revision <= self.mark.revision {
            self.restart_at(state.revision);
        } else {
            self.advance_to(state.revision, &state.changes, ChangesHold::Difference);
        }
        if first {
            self.pause_after_start(now_us);
        } else {
            self.pause_between_answers(began_us, now_us);
        }
    }

    /// What is published while an answer comes makes the next one longer: the time that it took counts as pause.
    fn pause_between_answers(&mut self, began_us: u64, now_us: u64) {
        self.pause_until_us = now_us.max(began_us + self.options.settle_ms * US_PER_MS);
    }

    /// By the end of this pause a node that has just started has met its peers, and knows whether it is a watcher.
    pub(super) fn pause_after_start(&mut self, now_us: u64) {
        self.pause_until_us = now_us + 2 * self.options.settle_ms * US_PER_MS;
    }

    /// Takes the changes of a watch. Gives what is to be applied.
    pub fn watch_answered(&mut self, page: ChangePage, now_us: u64) -> Vec<Change> {
        let began_us = self.call.and_then(PlatformCall::fetching_since_us).unwrap_or(now_us);
        self.call_succeeded(now_us);
        if page.revision < self.watched_after {
            // The platform went back: only a read of everything can be trusted.
            self.snapshot = Some(SnapshotRead::new(CallReason::WentBack));
            return Vec::new();
        }
        if page.revision < self.mark.revision {
            // A relay has brought more meanwhile.
            return Vec::new();
        }
        self.raise_version(&page.changes);
        self.advance_to(page.revision, &page.changes, ChangesHold::All);
        if !page.changes.is_empty() && self.watches() {
            self.pause_between_answers(began_us, now_us);
        }
        page.changes
    }

    fn call_succeeded(&mut self, now_us: u64) {
        self.call = None;
        self.failures = 0;
        self.pause_until_us = now_us;
        self.answered_at_us = Some(now_us);
        self.stands_in |= self.no_reader_heard && self.role != ReaderRole::Watcher;
        self.freshness.confirm(now_us, &self.options);
        self.turns.draw(&mut self.rng);
    }

    fn raise_version(&mut self, changes: &[Change]) {
        let versions = changes.iter().filter_map(|change| match change {
            Change::Configuration(configuration) => Some(configuration.version),
            _ => None,
        });
        self.mark.version = versions.fold(self.mark.version, u64::max);
    }

    /// Everything up to a revision is known, by these changes.
    pub(super) fn advance_to(&mut self, revision: u64, changes: &[Change], hold: ChangesHold) {
        if revision > self.mark.revision {
            self.log.add(revision, changes, hold);
        }
        self.set_revision(revision.max(self.mark.revision));
    }

    /// Everything up to a revision is known, but not by which changes.
    pub(super) fn restart_at(&mut self, revision: u64) {
        self.log.restart(revision);
        self.set_revision(revision);
    }

    fn set_revision(&mut self, revision: u64) {
        self.mark.revision = revision;
        self.behind_since_us = None;
        self.catch_up = self.catch_up.filter(|catch_up| !self.mark.covers(catch_up.wanted));
    }

    /// Takes the failure of a call to the platform.
    pub fn call_failed(&mut self, failure: CallFailure, now_us: u64) {
        self.call = None;
        self.stands_in &= failure != CallFailure::Unavailable;
        // A page of a read of everything that is too long is a failure like others: reading it again at once would not end.
        let answered = match failure {
            CallFailure::HistoryGone => true,
            CallFailure::LongerThanState => self.snapshot.is_none(),
            _ => false,
        };
        // After an answer that broke off as well: a read of everything holds each value once, the changes each version of it.
        self.snapshot = self.reason_to_read_everything(failure).map(SnapshotRead::new);
        if failure == CallFailure::HistoryGone && !self.no_reader_heard && !self.watches() {
            // Readers are heard, so a peer has it.
            self.start_queries = self.start_queries.max(1);
        }
        if self.mark.revision == 0 {
            // Peers may have read it meanwhile, or the platform may answer them and not this node.
            self.start_queries = self.start_queries.max(1);
        }
        if answered {
            // The platform lives; everything is read at once.
            self.pause_until_us = now_us;
            return;
        }
        let longest_ms = self.retry_pause_max_ms();
        self.failures = self.failures.saturating_add(1);
        self.pause_until_us = now_us + self.rng.random_range(longest_ms / 2..=longest_ms) * US_PER_MS;
    }

    /// Why everything is read after a failed call, if it is: a read of everything that was under way begins anew.
    fn reason_to_read_everything(&self, failure: CallFailure) -> Option<CallReason> {
        match (failure, &self.snapshot) {
            (_, Some(snapshot)) => Some(snapshot.reason()),
            (CallFailure::Unavailable, None) => None,
            (CallFailure::HistoryGone, None) => Some(CallReason::HistoryGone),
            (CallFailure::BrokenOff | CallFailure::LongerThanState | CallFailure::Malformed, None) => {
                Some(CallReason::BadAnswer)
            }
        }
    }

    /// The first pause is short, but for followers. After that watchers stay quick, and others don't, since their calls add up.
    fn retry_pause_max_ms(&self) -> u64 {
        let ReaderOptions { retry_ms, retry_max_ms, retry_others_max_ms, .. } = self.options;
        match (self.role, self.failures) {
            (ReaderRole::Watcher, failures) => {
                (retry_ms << failures.min(RETRY_DOUBLINGS_MAX)).min(retry_max_ms)
            }
            (ReaderRole::Standby, 0) => retry_ms,
            (ReaderRole::Standby, _) => retry_others_max_ms,
            (ReaderRole::Follower, _) => self.turns.retry_pause_max_ms(&self.options),
        }
    }
}
