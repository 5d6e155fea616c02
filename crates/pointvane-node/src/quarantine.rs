//! Checks requests against [`pointvane_dispatch::Quarantine`] before each attempt, and records there whether
//! the upstream crashed.

use {
    crate::{node::Node, request::CallerRequest},
    pointvane_core::PlatformAdapter,
    pointvane_dispatch::{AttemptOutcome, QuarantineChange},
    pointvane_telemetry::EventKind,
};

impl<A: PlatformAdapter> Node<A> {
    /// Whether a request is withheld because upstreams have crashed while processing it.
    pub fn is_quarantined(&self, request: &CallerRequest) -> bool {
        if !self.may_have_record(request) {
            return false;
        }
        let trial_position = self.fleet.trial_position(request.head_fingerprint());
        let (quarantine, now_us) = (self.dispatcher.quarantine(), self.now_us());
        let fingerprints = request.fingerprints().all();
        fingerprints.iter().any(|fingerprint| quarantine.refuses(fingerprint, &trial_position, now_us))
    }

    /// Records that a request is about to be sent. Returns false, and records nothing, if it is quarantined.
    pub fn try_begin_send(&self, request: &CallerRequest, now_us: u64) -> bool {
        if !self.may_have_record(request) {
            return true;
        }
        if self.is_quarantined(request) {
            return false;
        }
        let mut quarantine = self.dispatcher.quarantine();
        request
            .fingerprints()
            .all()
            .iter()
            .for_each(|fingerprint| quarantine.begin_send(fingerprint, now_us));
        true
    }

    /// Records what the outcome of an attempt indicates about its request: a crash, or survival.
    ///
    /// Times are in microseconds of the monotonic clock.
    pub fn record_attempt_outcome(
        &self,
        request: &CallerRequest,
        outcome: AttemptOutcome,
        began_at_us: u64,
        ended_at_us: u64,
    ) {
        let changes = match outcome {
            AttemptOutcome::Crashed => {
                let mut quarantine = self.dispatcher.quarantine();
                let fingerprints = request.fingerprints().all();
                fingerprints.map(|fingerprint| quarantine.record_crash(fingerprint, began_at_us, ended_at_us))
            }
            AttemptOutcome::Answered { failed: false } if self.may_have_record(request) => {
                let mut quarantine = self.dispatcher.quarantine();
                request
                    .fingerprints()
                    .all()
                    .map(|fingerprint| quarantine.record_success(fingerprint, ended_at_us))
            }
            _ => return,
        };
        self.note_quarantine(changes.into_iter().flatten());
        self.quarantine_updates.notify_one();
    }

    /// Reports requests that entered or left quarantine.
    pub fn note_quarantine(&self, changes: impl IntoIterator<Item = QuarantineChange>) {
        for change in changes {
            let kind = match change {
                QuarantineChange::Began { request, crashes, hold_ms } => EventKind::RequestQuarantined {
                    fingerprint: request.to_string(),
                    crashes: crashes as u64,
                    hold_ms,
                },
                QuarantineChange::Lifted { request } => {
                    EventKind::QuarantineLifted { fingerprint: request.to_string() }
                }
            };
            self.report.quarantine_changed(&change);
            self.report.record_rate_limited(self.now_us(), kind);
        }
    }

    /// Whether the quarantine may hold a record of a request. Inexpensive while no upstream crashes: the
    /// fingerprint is then not computed.
    fn may_have_record(&self, request: &CallerRequest) -> bool {
        self.dispatcher.quarantine().tracks_head(|| request.head_fingerprint())
    }
}
