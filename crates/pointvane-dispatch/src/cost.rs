//! The cost of a request sent to an upstream now.
//!
//! The cost is the expected latency as a multiple of the latency of uncontended work, 1 for an idle upstream at its usual
//! speed, times a factor for failures. Inputs: the upstream's last load report with its age, this node's own requests there, the slots and
//! warm-up time that the platform lists, and the failures seen here. A missing report is replaced by this node's own
//! counts and latencies; an old one counts less and less.

use crate::{
    load_when_sent::LoadWhenSent,
    service_state::ServiceState,
    upstream::{LoadSample, UpstreamState},
};

/// Age at which a reported slowdown counts half. Not measured at other values.
const SLOWDOWN_HALF_LIFE_US: f64 = 250_000.0;
/// Age beyond which reported running and waiting requests are ignored.
///
/// Not measured at other values. Letting them fade with a half life of 150 ms was worse (docs/MEASUREMENTS.md, "The
/// round on NEWS-24": 0.601 against 0.614).
const QUEUE_AGE_MAX_US: u64 = 1_000_000;
/// Factor on the cost while an upstream is warming up. Not measured.
const COLD_FACTOR: f32 = 2.0;
/// Longest age of a report by which an answer counts for the load curve, in microseconds. Not measured: other nodes send requests
/// meanwhile.
const CURRENT_AGE_MAX_US: u64 = 30_000;
/// Age at which the running mean of latencies counts half, where upstreams report no load: slots stay taken by work that began while neighbours slowed it.
///
/// With 1 s the shifted work's scale-1 without load reports had 0.271, with 2.5 s 0.284.
const LATENCY_HALF_LIFE_US: f64 = 2_500_000.0;
/// Unit of reported slowdowns.
const PERCENT: f32 = 100.0;

impl UpstreamState {
    /// Cost of a request sent now: its expected latency, more for an upstream that has failed lately.
    pub(crate) fn cost(&self, service: &ServiceState, now_us: u64) -> f32 {
        self.expected_latency(service, now_us) * self.failures.cost_factor()
    }

    /// Expected latency of a request sent now, as a multiple of uncontended work. Failures are left out: they do not take longer.
    pub(crate) fn expected_latency(&self, service: &ServiceState, now_us: u64) -> f32 {
        let occupancy = self.occupancy(now_us);
        let turns = occupancy.max(1.0);
        let filled = service.curve.factor(occupancy);
        let cold = if self.is_cold(now_us) { COLD_FACTOR } else { 1.0 };
        self.slowdown(service.mean_slowdown, now_us) * turns * filled * cold
    }

    /// Share of its slots that are taken with another request, by its last report and this node's own count; over 1 if that waits.
    pub(crate) fn occupancy(&self, now_us: u64) -> f32 {
        (self.requests(now_us) + 1.0) / self.record.slots.max(1) as f32
    }

    /// What is known of its load when a request is sent there.
    pub(crate) fn load_when_sent(&self, service: &ServiceState, now_us: u64) -> LoadWhenSent {
        let is_current =
            |report: LoadSample| now_us.saturating_sub(report.received_at_us) <= CURRENT_AGE_MAX_US;
        LoadWhenSent {
            occupancy: self.occupancy(now_us),
            expected_latency: self.expected_latency(service, now_us),
            slowdown: self.slowdown(service.mean_slowdown, now_us),
            is_current: self.report.is_some_and(is_current),
        }
    }

    /// Requests that it holds, by its last report and this node's own count.
    fn requests(&self, now_us: u64) -> f32 {
        let own = self.in_flight as f32;
        match self.report {
            Some(report) if now_us.saturating_sub(report.received_at_us) < QUEUE_AGE_MAX_US => {
                let reported = report.load.running + report.load.waiting + self.sent_since_report;
                (reported as f32).max(own)
            }
            _ => own,
        }
    }

    /// Latency of work there, as a multiple of uncontended work.
    fn slowdown(&self, mean_slowdown: f32, now_us: u64) -> f32 {
        let Some(report) = self.report else {
            return self.slowdown_by_latency(mean_slowdown, now_us);
        };
        let trust = fading(now_us.saturating_sub(report.received_at_us), SLOWDOWN_HALF_LIFE_US);
        let reported = report.load.slowdown_percent as f32 / PERCENT;
        reported * trust + mean_slowdown * (1.0 - trust)
    }

    /// The same for an upstream that reports no load: by the latencies of this node's own requests.
    fn slowdown_by_latency(&self, mean_slowdown: f32, now_us: u64) -> f32 {
        let trust = fading(now_us.saturating_sub(self.latency_at_us), LATENCY_HALF_LIFE_US);
        mean_slowdown * (self.latency * trust + 1.0 - trust)
    }
}

/// Weight of a figure of some age: 1 for a new one, half after each half life.
fn fading(age_us: u64, half_life_us: f64) -> f32 {
    (-(age_us as f64) / half_life_us).exp2() as f32
}
