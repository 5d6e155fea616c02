//! Reads what upstreams say of themselves in the heads of their answers, and tells the pool, the time line and the metrics.

use {
    crate::{limit_loop, node::Node},
    hyper::{
        StatusCode,
        header::{HeaderMap, HeaderValue, RETRY_AFTER},
    },
    pointvane_core::{LimitChange, LimitNotice, Name, PlatformAdapter, US_PER_MS, retry_after_us},
    pointvane_dispatch::{AttemptOutcome, UpstreamKey},
    pointvane_telemetry::EventKind,
};

impl<A: PlatformAdapter> Node<A> {
    /// Whether an answer is that of the upstream that the request was sent to, and to this request.
    pub fn is_own_answer(&self, status: StatusCode, headers: &HeaderMap, id: Option<&HeaderValue>) -> bool {
        status != StatusCode::MISDIRECTED_REQUEST && headers.get(&self.headers.request_id) == id
    }

    /// Heeds the notices in an answer's head. The answer must be the upstream's own; `sent_at_us` is when its request was sent, none for a probe.
    pub fn heed_notices(
        &self,
        key: UpstreamKey,
        status: StatusCode,
        headers: &HeaderMap,
        sent_at_us: Option<u64>,
    ) {
        let retry_after = headers.get_all(RETRY_AFTER).into_iter().map(|value| value.as_bytes());
        if let Some(for_us) = retry_after_us(status.as_u16(), retry_after) {
            self.back_off(key, for_us);
        }
        let mut leaving = headers.get_all(&self.headers.leaving).into_iter();
        if leaving.any(|value| self.adapter.is_leaving(value.as_bytes())) {
            self.leaving(key);
        }
        let limits = headers.get_all(&self.headers.request_limit).into_iter().map(|value| value.as_bytes());
        self.limit(key, LimitNotice::read(limits), sent_at_us);
    }

    fn limit(&self, key: UpstreamKey, notice: LimitNotice, sent_at_us: Option<u64>) {
        let change = self.dispatcher.pool_mut().record_limit(key, notice, sent_at_us, self.now_us());
        if let Some(change) = change {
            self.note_limit(key, change);
        }
    }

    /// Notes that an upstream's limit has changed; this node's part of it is worked out next.
    pub fn note_limit(&self, key: UpstreamKey, change: LimitChange) {
        // At once: until its part is worked out nothing is sent.
        limit_loop::place_limit(self, key);
        self.limits_changed.notify_one();
        self.report.limit_changed();
        let per_1000_s = match change {
            LimitChange::Set(per_1000_s) => Some(per_1000_s),
            LimitChange::Lifted => None,
        };
        if let Some((service, upstream)) = self.named(key) {
            let kind = EventKind::UpstreamLimitChanged { service, upstream, per_1000_s };
            self.report.note_bounded(self.now_us(), kind);
        }
    }

    fn back_off(&self, key: UpstreamKey, for_us: u64) {
        let now_us = self.now_us();
        let whole_us = self.dispatcher.pool_mut().record_back_off(key, for_us, now_us);
        if let (Some(whole_us), Some((service, upstream))) = (whole_us, self.named(key)) {
            self.report.backed_off();
            let back_off_ms = whole_us / US_PER_MS;
            let kind = EventKind::UpstreamBackingOff { service, upstream, back_off_ms };
            self.report.note_bounded(now_us, kind);
        }
    }

    fn leaving(&self, key: UpstreamKey) {
        let is_new = self.dispatcher.pool_mut().record_leaving(key);
        if let (true, Some((service, upstream))) = (is_new, self.named(key)) {
            self.report.left();
            self.report.note_bounded(self.now_us(), EventKind::UpstreamLeaving { service, upstream });
        }
    }

    /// Takes the end of an attempt: an upstream that wanted no requests for a time may have run one again.
    pub fn note_return(&self, key: UpstreamKey, outcome: AttemptOutcome) {
        let ran = matches!(outcome, AttemptOutcome::Answered { .. });
        let now_us = self.now_us();
        let is_back = self.dispatcher.pool_mut().record_return(key, ran, now_us);
        if let (true, Some((service, upstream))) = (is_back, self.named(key)) {
            self.report.note_bounded(now_us, EventKind::UpstreamReturned { service, upstream });
        }
    }

    /// Service and identity of an upstream; none once it is forgotten.
    fn named(&self, key: UpstreamKey) -> Option<(Name, Name)> {
        let pool = self.dispatcher.pool();
        let record = &pool.get(key)?.record;
        Some((record.service.clone(), record.id.clone()))
    }
}
