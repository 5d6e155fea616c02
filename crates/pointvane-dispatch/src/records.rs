//! Recording of load reports and attempt results in the pool, per upstream and per service.

use {
    crate::{
        contention::ContentionSample, load_when_sent::LoadWhenSent, pool::Pool, service_state::ServiceState,
        upstream_key::UpstreamKey,
    },
    pointvane_core::{Name, UpstreamLoad},
};

/// Divisor that converts reported slowdowns from percent to factors.
const PERCENT: f32 = 100.0;
/// Largest occupancy that one report counts with in the contention of its service.
const OCCUPANCY_MAX: f32 = 4.0;

impl Pool {
    /// Records an upstream's load report.
    pub fn record_load(&mut self, key: UpstreamKey, load: UpstreamLoad, now_us: u64) {
        let Some(state) = self.upstreams.get_mut(&key) else {
            return;
        };
        let Some(service) = self.services.get_mut(&state.record.service) else {
            return;
        };
        let uncontended_cost = self.options.uncontended_cost;
        state.record_load(load, now_us);
        service.record_report(load.slowdown_percent as f32 / PERCENT);
        let is_uncontended = state.cost(service, now_us) <= uncontended_cost;
        let slots = state.record.slots.max(1) as f32;
        let outstanding = load.running.saturating_add(load.waiting) as f32;
        let sample = ContentionSample { is_uncontended, occupancy: (outstanding / slots).min(OCCUPANCY_MAX) };
        self.contention.record(&state.record.service, &state.record.data_centre, sample, now_us);
    }

    /// Records the remaining warm-up time that an upstream reports, in milliseconds.
    pub fn record_warm_up(&mut self, key: UpstreamKey, left_ms: u64, now_us: u64) {
        if let Some(state) = self.upstreams.get_mut(&key) {
            state.set_warm_up(left_ms, now_us);
        }
    }

    /// Records the response time of a successful probe, in milliseconds, of an upstream that reports no load.
    /// An upstream that is slowed by noisy neighbours answers probes late, and its slots stay occupied by
    /// slow requests for a while.
    pub fn record_probe_time(&mut self, key: UpstreamKey, time_ms: f64, now_us: u64) {
        let Some(state) = self.upstreams.get_mut(&key) else {
            return;
        };
        if let Some(service) = self.services.get_mut(&state.record.service) {
            let slowdown = service.record_probe_time(time_ms);
            state.record_latency(slowdown, now_us);
        }
    }

    /// Records an upstream's answer without a load report.
    pub fn record_no_load(&mut self, key: UpstreamKey) {
        let Some(state) = self.upstreams.get(&key) else {
            return;
        };
        if let Some(service) = self.services.get_mut(&state.record.service) {
            service.record_no_report();
        }
    }

    /// Whether the upstreams of a service report their load, true until shown otherwise. If they do not,
    /// probes are useless.
    pub fn reports_load(&self, service: &Name) -> bool {
        self.services.get(service).is_none_or(ServiceState::reports)
    }

    /// Records the latency of a successful attempt, as a multiple of the route's baseline, for the upstream
    /// and, if its load report was current when the attempt was sent, for the load curve of its service.
    pub fn record_latency(&mut self, key: UpstreamKey, slowdown: f32, sent: &LoadWhenSent, now_us: u64) {
        let Some(state) = self.upstreams.get_mut(&key) else {
            return;
        };
        state.record_latency(slowdown, now_us);
        if let (true, Some(service)) = (sent.is_current, self.services.get_mut(&state.record.service)) {
            service.curve.record(sent.occupancy, slowdown / sent.slowdown, now_us);
        }
    }
}
