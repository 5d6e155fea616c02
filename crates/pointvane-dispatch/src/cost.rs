//! The cost of sending a request to an upstream now.
//!
//! The cost is the expected latency as a multiple of the latency of uncontended work (1 for an idle upstream
//! at its usual speed), times a factor for recent failures. Inputs: the upstream's last load report and its
//! age, this node's requests in flight there, the slots and warm-up time listed by the platform, and the
//! failures seen by this node. Without a report, this node's own counts and latencies are used; a report
//! loses weight as it ages.

use crate::{
    load_when_sent::LoadWhenSent,
    service_state::ServiceState,
    upstream::{LoadSample, UpstreamState},
};

/// Half-life of the weight of a reported slowdown, in microseconds.
const SLOWDOWN_HALF_LIFE_US: f64 = 250_000.0;
/// Age from which reported running and waiting requests are ignored, in microseconds.
///
/// Up to that age they count in full: decaying them with a half-life of 150 ms gave worse results.
const QUEUE_AGE_MAX_US: u64 = 1_000_000;
/// Factor on the cost while an upstream is warming up.
const COLD_FACTOR: f32 = 2.0;
/// Maximum age of a load report, in microseconds, for the load curve to apply to it and to learn by it.
///
/// With an older report the occupancy is not known, since other nodes have sent requests in the meantime.
const CURRENT_REPORT_AGE_MAX_US: u64 = 30_000;
/// Half-life of the weight of this node's mean latency where upstreams report no load, in microseconds.
///
/// Requests that started while co-located workloads slowed the upstream keep their slots afterwards, so the
/// mean must not be forgotten as soon as the noise ends.
const LATENCY_HALF_LIFE_US: f64 = 2_500_000.0;
/// Unit of reported slowdowns.
const PERCENT: f32 = 100.0;

impl UpstreamState {
    /// Cost of a request sent now: its expected latency, raised for recent failures.
    pub(crate) fn cost(&self, service: &ServiceState, now_us: u64) -> f32 {
        self.expected_latency(service, now_us) * self.failures.cost_factor()
    }

    /// Expected latency of a request sent now, as a multiple of uncontended work. Failures do not count,
    /// since a failed request does not take longer.
    pub(crate) fn expected_latency(&self, service: &ServiceState, now_us: u64) -> f32 {
        let occupancy = self.occupancy(now_us);
        let queue_factor = occupancy.max(1.0);
        let load_factor = service.curve.factor(occupancy);
        let cold_factor = if self.is_cold(now_us) { COLD_FACTOR } else { 1.0 };
        self.slowdown(service.mean_slowdown, now_us) * queue_factor * load_factor * cold_factor
    }

    /// Share of the slots that would be in use with one more request, by the last report and this node's own
    /// count; above 1 if that request would be queued.
    pub(crate) fn occupancy(&self, now_us: u64) -> f32 {
        (self.outstanding_requests(now_us) + 1.0) / self.record.slots.max(1) as f32
    }

    /// Snapshot of the known load, taken when a request is sent.
    pub(crate) fn load_when_sent(&self, service: &ServiceState, now_us: u64) -> LoadWhenSent {
        LoadWhenSent {
            occupancy: self.occupancy(now_us),
            expected_latency: self.expected_latency(service, now_us),
            slowdown: self.slowdown(service.mean_slowdown, now_us),
            is_current: self.has_current_report(now_us),
        }
    }

    /// Whether the occupancy is known by a current load report.
    pub(crate) fn has_current_report(&self, now_us: u64) -> bool {
        let is_current =
            |report: LoadSample| now_us.saturating_sub(report.received_at_us) <= CURRENT_REPORT_AGE_MAX_US;
        self.report.is_some_and(is_current)
    }

    /// Requests running or queued at the upstream, by its last report and this node's own count.
    fn outstanding_requests(&self, now_us: u64) -> f32 {
        let own = self.in_flight as f32;
        match self.report {
            Some(report) if now_us.saturating_sub(report.received_at_us) < QUEUE_AGE_MAX_US => {
                let reported = report.load.running + report.load.waiting + self.sent_since_report;
                (reported as f32).max(own)
            }
            _ => own,
        }
    }

    /// Slowdown of work at the upstream, as a multiple of its usual speed: the reported value, moving to the
    /// mean of the service as the report ages.
    fn slowdown(&self, mean_slowdown: f32, now_us: u64) -> f32 {
        let Some(report) = self.report else {
            return self.slowdown_by_latency(mean_slowdown, now_us);
        };
        let weight = decay_weight(now_us.saturating_sub(report.received_at_us), SLOWDOWN_HALF_LIFE_US);
        let reported = report.load.slowdown_percent as f32 / PERCENT;
        reported * weight + mean_slowdown * (1.0 - weight)
    }

    /// Slowdown of an upstream that reports no load, estimated from the latencies of this node's own
    /// requests.
    fn slowdown_by_latency(&self, mean_slowdown: f32, now_us: u64) -> f32 {
        let weight = decay_weight(now_us.saturating_sub(self.latency_at_us), LATENCY_HALF_LIFE_US);
        mean_slowdown * (self.latency * weight + 1.0 - weight)
    }
}

/// Exponential decay: 1 at age 0, halved after each half-life.
fn decay_weight(age_us: u64, half_life_us: f64) -> f32 {
    (-(age_us as f64) / half_life_us).exp2() as f32
}
