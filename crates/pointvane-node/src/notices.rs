//! Reads notices of upstreams (back off, leaving, request limit) from response heads, and updates the pool,
//! the event log and the metrics.

use {
    crate::{limit_loop, node::Node},
    hyper::{
        StatusCode,
        header::{HeaderMap, HeaderValue, RETRY_AFTER},
    },
    pointvane_core::{LimitChange, LimitNotice, Name, PlatformAdapter, US_PER_MS, retry_after_us},
    pointvane_dispatch::{AttemptOutcome, UpstreamKey},
    pointvane_serve::ResponseFault,
    pointvane_telemetry::EventKind,
};

/// Why an upstream gets no requests that has not asked for a pause.
const MALFORMED_RESPONSES: &str = "malformed-responses";

impl<A: PlatformAdapter> Node<A> {
    /// Whether a response is from the upstream that the request was sent to, and to this request.
    pub fn is_own_answer(&self, status: StatusCode, headers: &HeaderMap, id: Option<&HeaderValue>) -> bool {
        status != StatusCode::MISDIRECTED_REQUEST && headers.get(&self.headers.request_id) == id
    }

    /// Applies the notices in a response head. The response must pass [`Self::is_own_answer`]; `sent_at_us`
    /// is when its request was sent, none for a probe.
    pub fn apply_notices(
        &self,
        key: UpstreamKey,
        status: StatusCode,
        headers: &HeaderMap,
        sent_at_us: Option<u64>,
    ) {
        let retry_after = headers.get_all(RETRY_AFTER).into_iter().map(|value| value.as_bytes());
        if let Some(duration_us) = retry_after_us(status.as_u16(), retry_after) {
            self.apply_back_off(key, duration_us);
        }
        let mut leaving = headers.get_all(&self.headers.leaving).into_iter();
        if leaving.any(|value| self.adapter.is_leaving(value.as_bytes())) {
            self.apply_leaving(key);
        }
        let limits = headers.get_all(&self.headers.request_limit).into_iter().map(|value| value.as_bytes());
        self.apply_limit(key, LimitNotice::parse(limits), sent_at_us);
    }

    fn apply_limit(&self, key: UpstreamKey, notice: LimitNotice, sent_at_us: Option<u64>) {
        let change = self.dispatcher.pool_mut().record_limit(key, notice, sent_at_us, self.now_us());
        if let Some(change) = change {
            self.report_limit_change(key, change);
        }
    }

    /// Reports that an upstream's request limit has changed, and has this node's share of it computed.
    pub fn report_limit_change(&self, key: UpstreamKey, change: LimitChange) {
        // Done at once, since no request is sent to the upstream until the share is known.
        limit_loop::update_limit_rank(self, key);
        self.limits_changed.notify_one();
        self.report.limit_changed();
        let per_1000_s = match change {
            LimitChange::Set(per_1000_s) => Some(per_1000_s),
            LimitChange::Lifted => None,
        };
        if let Some((service, upstream)) = self.service_and_id(key) {
            let kind = EventKind::UpstreamLimitChanged { service, upstream, per_1000_s };
            self.report.record_rate_limited(self.now_us(), kind);
        }
    }

    fn apply_back_off(&self, key: UpstreamKey, duration_us: u64) {
        let now_us = self.now_us();
        let back_off_us = self.dispatcher.pool_mut().record_back_off(key, duration_us, now_us);
        self.report_back_off(key, back_off_us, None);
    }

    /// Records a malformed response, after which its upstream may get no requests for a while.
    pub fn record_malformed(&self, key: UpstreamKey, fault: ResponseFault) {
        if fault.is_of_upstream() {
            let back_off_us = self.dispatcher.pool_mut().record_malformed(key, self.now_us());
            self.report_back_off(key, back_off_us, Some(MALFORMED_RESPONSES));
        }
    }

    /// Reports a back-off of an upstream, in microseconds, if one has begun or was prolonged.
    fn report_back_off(&self, key: UpstreamKey, back_off_us: Option<u64>, reason: Option<&str>) {
        if let (Some(back_off_us), Some((service, upstream))) = (back_off_us, self.service_and_id(key)) {
            self.report.upstream_backed_off();
            let back_off_ms = back_off_us / US_PER_MS;
            let reason = reason.map(Name::from);
            let kind = EventKind::UpstreamBackingOff { service, upstream, back_off_ms, reason };
            self.report.record_rate_limited(self.now_us(), kind);
        }
    }

    fn apply_leaving(&self, key: UpstreamKey) {
        let is_new = self.dispatcher.pool_mut().record_leaving(key);
        if let (true, Some((service, upstream))) = (is_new, self.service_and_id(key)) {
            self.report.upstream_leaving();
            self.report.record_rate_limited(self.now_us(), EventKind::UpstreamLeaving { service, upstream });
        }
    }

    /// Records the end of an attempt: an upstream that had asked for a pause has returned once it runs a
    /// request.
    pub fn record_upstream_return(&self, key: UpstreamKey, outcome: AttemptOutcome) {
        let ran = matches!(outcome, AttemptOutcome::Answered { .. });
        let now_us = self.now_us();
        let is_back = self.dispatcher.pool_mut().record_return(key, ran, now_us);
        if let (true, Some((service, upstream))) = (is_back, self.service_and_id(key)) {
            self.report.record_rate_limited(now_us, EventKind::UpstreamReturned { service, upstream });
        }
    }

    /// Service and identifier of an upstream; none once it was removed from the pool.
    pub fn service_and_id(&self, key: UpstreamKey) -> Option<(Name, Name)> {
        let pool = self.dispatcher.pool();
        let record = &pool.get(key)?.record;
        Some((record.service.clone(), record.id.clone()))
    }
}
