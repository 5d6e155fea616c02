//! What upstreams report and how attempts went, as it is recorded in the pool: of each upstream, and of its service together.

use {
    crate::{
        load_when_sent::LoadWhenSent, pool::Pool, service_state::ServiceState, upstream_key::UpstreamKey,
    },
    pointvane_core::{Name, UpstreamLoad},
};

/// Unit of reported slowdowns.
const PERCENT: f32 = 100.0;

impl Pool {
    /// Records an upstream's load report.
    pub fn record_load(&mut self, key: UpstreamKey, load: UpstreamLoad, now_us: u64) {
        let Some(state) = self.upstreams.get_mut(&key) else {
            return;
        };
        state.record_load(load, now_us);
        if let Some(service) = self.services.get_mut(&state.record.service) {
            service.record_report(load.slowdown_percent as f32 / PERCENT);
        }
    }

    /// Records what an upstream says of its warm-up, in milliseconds that are left.
    pub fn record_warm_up(&mut self, key: UpstreamKey, left_ms: u64, now_us: u64) {
        if let Some(state) = self.upstreams.get_mut(&key) {
            state.set_warm_up(left_ms, now_us);
        }
    }

    /// Records the time that a healthy answer to a probe took, at an upstream that reports no load: whoever is slowed by its neighbours
    /// answers late, and its slots stay taken by slow work for a while.
    pub fn record_probe_time(&mut self, key: UpstreamKey, time_ms: f64, now_us: u64) {
        let Some(state) = self.upstreams.get_mut(&key) else {
            return;
        };
        if let Some(service) = self.services.get_mut(&state.record.service) {
            let slowdown = service.record_probe_time(time_ms);
            state.record_latency(slowdown, now_us);
        }
    }

    /// Records an answer of an upstream that carried no load report.
    pub fn record_no_load(&mut self, key: UpstreamKey) {
        let Some(state) = self.upstreams.get(&key) else {
            return;
        };
        if let Some(service) = self.services.get_mut(&state.record.service) {
            service.record_no_report();
        }
    }

    /// Whether the upstreams of a service report their load, as far as is known: if not, probes are useless.
    pub fn reports_load(&self, service: &Name) -> bool {
        self.services.get(service).is_none_or(ServiceState::reports)
    }

    /// Records what a successful attempt says of an upstream and its service: its latency as a multiple of the route's baseline, and
    /// what was known of the upstream when it was sent.
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
