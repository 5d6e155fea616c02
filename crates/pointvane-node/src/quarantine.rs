//! Requests under which upstreams crash: asks and tells [`pointvane_dispatch::Quarantine`] on behalf of the attempts of requests.

use {
    crate::{node::Node, request::CallerRequest},
    pointvane_core::PlatformAdapter,
    pointvane_dispatch::{AttemptOutcome, QuarantineChange},
    pointvane_telemetry::EventKind,
};

impl<A: PlatformAdapter> Node<A> {
    /// Whether a request may not be sent now, since upstreams crash under it.
    pub fn is_quarantined(&self, request: &CallerRequest) -> bool {
        if !self.may_know(request) {
            return false;
        }
        let turn = self.fleet.trial_turn(request.head_fingerprint());
        let (quarantine, now_us) = (self.dispatcher.quarantine(), self.now_us());
        let fingerprints = request.fingerprints().all();
        fingerprints.iter().any(|fingerprint| quarantine.refuses(fingerprint, &turn, now_us))
    }

    /// Takes note that a request is sent now; false if it may not be.
    pub fn may_send(&self, request: &CallerRequest, now_us: u64) -> bool {
        if !self.may_know(request) {
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

    /// Takes note of what the end of an attempt says of its request.
    pub fn record_evidence(
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
                fingerprints.map(|fingerprint| quarantine.crashed(fingerprint, began_at_us, ended_at_us))
            }
            AttemptOutcome::Answered { failed: false } if self.may_know(request) => {
                let mut quarantine = self.dispatcher.quarantine();
                request.fingerprints().all().map(|fingerprint| quarantine.survived(fingerprint, ended_at_us))
            }
            _ => return,
        };
        self.note_quarantine(changes.into_iter().flatten());
        self.quarantine_news.notify_one();
    }

    /// Notes what changed for requests under which upstreams crash.
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
            self.report.note_bounded(self.now_us(), kind);
        }
    }

    /// Whether anything may be known of a request; costs next to nothing while no upstream crashes.
    fn may_know(&self, request: &CallerRequest) -> bool {
        self.dispatcher.quarantine().may_know(|| request.head_fingerprint())
    }
}
