//! Processing of platform responses and failed calls.

use {
    super::{
        CallFailure, CallReason, PlatformCall, PlatformReader, ReaderOptions, ReaderRole,
        snapshot::{CompletedSnapshot, PageRead, SnapshotRead},
    },
    crate::replica::relay::ChangeCoverage,
    pointvane_core::{Change, ChangePage, US_PER_MS},
    rand::Rng,
};

/// Bounds the exponent of the retry backoff; the configured maximum pause takes effect long before.
const RETRY_DOUBLINGS_MAX: u32 = 8;

impl PlatformReader {
    /// Processes a page of a snapshot; `known` are the entries this node holds. Returns the changes to apply.
    pub fn receive_page(
        &mut self,
        page: ChangePage,
        known: impl Iterator<Item = Change>,
        now_us: u64,
    ) -> Vec<Change> {
        let began_us = self.call.and_then(PlatformCall::fetching_since_us).unwrap_or(now_us);
        self.call_succeeded(now_us);
        // A page that arrives though no snapshot is due starts a new one.
        let mut snapshot = self.snapshot.take().unwrap_or_else(|| SnapshotRead::new(CallReason::Start));
        let PageRead { changes, complete } = snapshot.add_page(page, self.answer_bytes, known);
        self.raise_version(&changes);
        match complete {
            None => self.snapshot = Some(snapshot),
            Some(state) => self.snapshot_completed(state, began_us, now_us),
        }
        changes
    }

    /// Processes a complete snapshot; `began_us` is when the response to its last call started to arrive.
    fn snapshot_completed(&mut self, state: CompletedSnapshot, began_us: u64, now_us: u64) {
        self.state_bytes = state.size_bytes;
        let first = self.mark.revision == 0;
        if first || state.revision <= self.mark.revision {
            self.reset_to(state.revision);
        } else {
            self.advance_to(state.revision, &state.changes, ChangeCoverage::Difference, now_us);
        }
        if first {
            self.pause_after_first_state(now_us);
        } else {
            self.pause_between_responses(began_us, now_us);
        }
    }

    /// Pauses between two responses, counted from the start of the first. Changes published during a transfer
    /// make the next response longer, so the time of the transfer counts towards the pause.
    fn pause_between_responses(&mut self, began_us: u64, now_us: u64) {
        self.pause_until_us = now_us.max(began_us + self.options.settle_ms * US_PER_MS);
    }

    /// Pauses after the first state. By its end a node that has just started has met its peers and knows its
    /// role.
    pub(super) fn pause_after_first_state(&mut self, now_us: u64) {
        self.pause_until_us = now_us + 2 * self.options.settle_ms * US_PER_MS;
    }

    /// Processes the response to a watch. Returns the changes to apply.
    pub fn receive_watch_response(&mut self, page: ChangePage, now_us: u64) -> Vec<Change> {
        let began_us = self.call.and_then(PlatformCall::fetching_since_us).unwrap_or(now_us);
        self.call_succeeded(now_us);
        if page.revision < self.watch_revision {
            // The platform returned an older revision than before: only a snapshot can be trusted.
            self.snapshot = Some(SnapshotRead::new(CallReason::WentBack));
            return Vec::new();
        }
        if page.revision < self.mark.revision {
            // A relay has already delivered a newer revision.
            return Vec::new();
        }
        self.raise_version(&page.changes);
        self.advance_to(page.revision, &page.changes, ChangeCoverage::All, now_us);
        if !page.changes.is_empty() && self.watches() {
            self.pause_between_responses(began_us, now_us);
        }
        page.changes
    }

    fn call_succeeded(&mut self, now_us: u64) {
        self.call = None;
        self.failures = 0;
        self.pause_until_us = now_us;
        self.answered_at_us = Some(now_us);
        self.is_acting_watcher |= self.lease_expired && self.role != ReaderRole::Watcher;
        self.freshness.confirm(now_us, &self.options);
        self.poll_schedule.draw(&mut self.rng);
    }

    fn raise_version(&mut self, changes: &[Change]) {
        let versions = changes.iter().filter_map(|change| match change {
            Change::Configuration(configuration) => Some(configuration.version),
            _ => None,
        });
        self.mark.version = versions.fold(self.mark.version, u64::max);
    }

    /// Moves the state forward to a revision by the given changes.
    pub(super) fn advance_to(
        &mut self,
        revision: u64,
        changes: &[Change],
        coverage: ChangeCoverage,
        now_us: u64,
    ) {
        if revision > self.mark.revision {
            self.relay_log.add(revision, changes, coverage, now_us);
        }
        self.set_revision(revision.max(self.mark.revision));
    }

    /// Sets the revision when the individual changes that led to it are not known.
    pub(super) fn reset_to(&mut self, revision: u64) {
        self.relay_log.restart(revision);
        self.set_revision(revision);
    }

    fn set_revision(&mut self, revision: u64) {
        self.mark.revision = revision;
        self.behind_since_us = None;
        self.catch_up = self.catch_up.filter(|catch_up| !self.mark.covers(catch_up.wanted));
    }

    /// Processes a failed call to the platform.
    pub fn call_failed(&mut self, failure: CallFailure, now_us: u64) {
        self.call = None;
        self.is_acting_watcher &= failure != CallFailure::Unavailable;
        // An oversized snapshot page counts as an ordinary failure: reading it again at once would loop
        // forever.
        let platform_responded = match failure {
            CallFailure::HistoryGone => true,
            CallFailure::ExceedsSnapshotSize => self.snapshot.is_none(),
            _ => false,
        };
        // Also after a truncated response: a snapshot contains each value once, the change history every
        // version of it.
        self.snapshot = self.snapshot_reason_after(failure).map(SnapshotRead::new);
        if failure == CallFailure::HistoryGone && !self.lease_expired && !self.watches() {
            // Relays still arrive, so a peer has the state.
            self.start_queries = self.start_queries.max(1);
        }
        if self.mark.revision == 0 {
            // Peers may have read it meanwhile, or the platform may respond to them and not to this node.
            self.start_queries = self.start_queries.max(1);
        }
        if platform_responded {
            // The platform is reachable: read the snapshot at once.
            self.pause_until_us = now_us;
            return;
        }
        let pause_max_ms = self.retry_pause_max_ms();
        self.failures = self.failures.saturating_add(1);
        self.pause_until_us = now_us + self.rng.random_range(pause_max_ms / 2..=pause_max_ms) * US_PER_MS;
    }

    /// Reason for the snapshot to read after a failed call, if any; a snapshot in progress starts again.
    fn snapshot_reason_after(&self, failure: CallFailure) -> Option<CallReason> {
        match (failure, &self.snapshot) {
            (_, Some(snapshot)) => Some(snapshot.reason()),
            (CallFailure::Unavailable, None) => None,
            (CallFailure::HistoryGone, None) => Some(CallReason::HistoryGone),
            (CallFailure::Truncated | CallFailure::ExceedsSnapshotSize | CallFailure::Malformed, None) => {
                Some(CallReason::BadAnswer)
            }
        }
    }

    /// Longest pause before the next call after a failure, in milliseconds. The first pause is short except
    /// for followers. Later ones stay short for watchers only: the calls of the many other nodes add up.
    fn retry_pause_max_ms(&self) -> u64 {
        let ReaderOptions { retry_ms, retry_max_ms, retry_others_max_ms, .. } = self.options;
        match (self.role, self.failures) {
            (ReaderRole::Watcher, failures) => {
                (retry_ms << failures.min(RETRY_DOUBLINGS_MAX)).min(retry_max_ms)
            }
            (ReaderRole::Standby, 0) => retry_ms,
            (ReaderRole::Standby, _) => retry_others_max_ms,
            (ReaderRole::Follower, _) => self.poll_schedule.retry_pause_max_ms(&self.options),
        }
    }
}
