//! Responses to queries from other nodes, and processing of their responses to this node.

use {
    super::{CallReason, PlatformCall, PlatformReader, snapshot::SnapshotRead},
    crate::replica::{
        relay::ChangeCoverage,
        state_query::{ConfigurationUpdate, KnownState, StateReply, StateRequest},
    },
    pointvane_core::{Change, US_PER_MS},
    std::mem,
};

impl PlatformReader {
    /// Age of the local state, in milliseconds; `None` if it is not newer than the requested one, or not
    /// current.
    pub fn newer_age_ms(&self, request: &StateRequest, now_us: u64) -> Option<u64> {
        let known = request.known;
        let is_newer = self.mark.revision >= known.revision && self.mark != known;
        self.current_age_ms(now_us).filter(|_| is_newer)
    }

    /// Answers a query from another node; `None` if the local state is not newer, or not current.
    pub fn answer(
        &self,
        request: &StateRequest,
        local_state: &impl KnownState,
        now_us: u64,
    ) -> Option<StateReply> {
        let age_ms = self.newer_age_ms(request, now_us)?;
        let known = request.known;
        let recent_changes =
            if known.revision == 0 { None } else { self.relay_log.changes_since(known.revision) };
        let is_full = recent_changes.is_none();
        let changes = recent_changes.unwrap_or_else(|| local_state.entries());
        let is_outdated = known.version < self.mark.version;
        let configuration = is_outdated.then(|| ConfigurationUpdate::new(known.version, local_state));
        Some(StateReply::new(self.mark, age_ms, is_full, changes, configuration))
    }

    /// Whether the response to a query would contain all entries.
    pub fn answers_with_full_state(&self, request: &StateRequest) -> bool {
        request.known.revision == 0 || !self.relay_log.has_changes_since(request.known.revision)
    }

    /// Whether this node has no state yet but is reading it from the platform.
    pub fn is_reading(&self) -> bool {
        let has_pages = self.snapshot.as_ref().is_some_and(|snapshot| !snapshot.has_no_pages());
        self.mark.revision == 0 && (has_pages || matches!(self.call, Some(PlatformCall::Fetching { .. })))
    }

    /// Processes another node's response; `known` are the entries this node holds. Returns the changes to
    /// apply.
    pub fn receive_state(
        &mut self,
        reply: StateReply,
        known: impl Iterator<Item = Change>,
        now_us: u64,
    ) -> Vec<Change> {
        let excluded_by_snapshot = self.snapshot.as_ref().is_some_and(SnapshotRead::excludes_peer_states);
        let is_usable = reply.age_ms < self.options.lease_ms && reply.applies_to(self.mark);
        if excluded_by_snapshot || !is_usable || (self.mark.revision == 0 && !reply.is_full) {
            self.query_failed(now_us);
            return Vec::new();
        }
        let StateReply { mark, is_full, .. } = reply;
        self.freshness.confirm(now_us.saturating_sub(reply.age_ms * US_PER_MS), &self.options);
        let changes = reply.into_changes(known);
        self.mark.version = self.mark.version.max(mark.version);
        if self.snapshot.take().is_some() {
            self.pause_after_first_state(now_us);
        }
        match is_full {
            true => self.reset_to(mark.revision),
            false => self.advance_to(mark.revision, &changes, ChangeCoverage::Difference, now_us),
        }
        self.begin_query_round(now_us);
        changes
    }

    /// Records that a configuration delta could not be applied, so the version in force is older than the one
    /// read. A snapshot is read.
    pub fn configuration_missing(&mut self, version_in_force: u64) {
        self.mark.version = version_in_force;
        self.snapshot = Some(SnapshotRead::new(CallReason::ConfigurationMissing));
    }

    /// Records that a peer responded but knows nothing newer, or is overloaded. After the last query of a
    /// round the platform is not called at once: another round begins, and the platform is called when the
    /// turn of this node comes.
    pub fn query_declined(&mut self, now_us: u64) {
        let Some(catch_up) = self.catch_up.as_mut().filter(|catch_up| catch_up.peer_queries == 0) else {
            self.startup.record_peer_response();
            return self.pause_between_start_queries(now_us);
        };
        if !mem::replace(&mut catch_up.declined, true) {
            catch_up.platform_at_us += self.poll_schedule.declined_wait_ms(&self.options) * US_PER_MS;
        }
        self.begin_query_round(now_us);
    }

    /// Records that a peer responded that it is reading the platform; this node waits for its state.
    pub fn query_found_reading_peer(&mut self, now_us: u64) {
        self.startup.record_peer_reading(now_us);
        self.query_declined(now_us);
    }

    /// Begins another round of queries, if the last round is over and the data is still missing.
    fn begin_query_round(&mut self, now_us: u64) {
        if let Some(catch_up) = self.catch_up.as_mut().filter(|catch_up| catch_up.peer_queries == 0) {
            catch_up.peer_queries = self.options.peer_queries;
            catch_up.query_at_us = now_us + self.options.declined_pause_ms * US_PER_MS;
        }
    }

    /// Records a failed query. After a start the next query follows after a pause; after the last query of a
    /// round the platform is called.
    pub fn query_failed(&mut self, now_us: u64) {
        if let Some(catch_up) = self.catch_up.as_mut().filter(|catch_up| catch_up.peer_queries == 0) {
            catch_up.platform_at_us = now_us;
        }
        if !self.poll_schedule.has_reachable_peers() {
            self.startup.record_unreached_round();
        }
        self.pause_between_start_queries(now_us);
    }

    /// Pauses between two queries after a start. Does not shorten pauses after failed calls.
    fn pause_between_start_queries(&mut self, now_us: u64) {
        if self.mark.revision == 0 {
            self.pause_until_us = now_us + self.options.start_pause_ms * US_PER_MS;
        }
    }
}
