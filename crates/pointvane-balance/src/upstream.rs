//! What one entry VM knows about one upstream, and the score for load balancing.

use {
    crate::{
        estimate::{OthersEstimate, ServiceMean},
        evidence::Evidence,
        health::Health,
    },
    pointvane_config::{EjectionOptions, Upstream},
    pointvane_core::{Backoff, MalformedStreak, RequestLimit, US_PER_MS},
};

/// Weight of the newest latency in the moving average.
const LATENCY_EWMA_WEIGHT: f32 = 0.1;
/// Age at which the slowness of an upstream counts half.
const SLOWNESS_HALF_LIFE_US: f32 = (300 * US_PER_MS) as f32;
/// Relative slowness below this counts as none. Without load, the smallest difference decides, and an
/// upstream that gets no requests is never measured again: of three idle upstreams, one that was slow once
/// got none of the next 200 requests. A twentieth is less than the random variation of latencies.
const SLOWNESS_MIN: f32 = 0.05;
/// Maximum ratio of an upstream's latency to the service's mean.
const SLOWNESS_MAX: f32 = 8.0;
/// A failure rate of 1 adds this to the factor on the score, so that failures weigh as much as load.
const FAILURE_WEIGHT: f32 = 10.0;
/// Factor on an upstream's concurrency limit when it sheds a request.
const SHED_DECREASE_FACTOR: f32 = 0.7;
/// Increase of the concurrency share with each response, up to 1.
const SHED_RECOVERY_STEP: f32 = 0.02;

/// What one entry VM knows about one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamState {
    /// Configuration of the upstream.
    pub upstream: Upstream,
    /// This entry VM's own requests in flight at the upstream.
    pub own_in_flight: u16,
    /// Estimate of other entry VMs' requests, from the totals that the upstream reports.
    pub others: OthersEstimate,
    /// Whether the upstream is leaving.
    pub evidence: Evidence,
    /// Failures and ejection.
    pub health: Health,
    /// Whether the upstream has asked for no requests for a time.
    pub backoff: Backoff,
    /// Malformed responses in a row.
    pub malformed: MalformedStreak,
    /// Rate limit that the upstream advertises, and this entry VM's part of it.
    pub limit: RequestLimit,
    mean_latency_us: f32,
    latency_updated_us: u64,
    concurrency_share: f32,
}

/// Inputs of the score besides the state of the upstream.
#[derive(Clone, Copy, Debug)]
pub struct ScoreContext<'a> {
    /// Current time.
    pub now_us: u64,
    /// Age at which an observation of other entry VMs' requests has half its weight.
    pub half_life_us: f32,
    /// Service-wide mean of other entry VMs' requests per slot.
    pub others_mean: &'a ServiceMean,
    /// Moving average of the service's latency; 0 before the first response.
    pub mean_latency_us: f32,
    /// Options for ejection and warm-up.
    pub ejection: &'a EjectionOptions,
}

impl UpstreamState {
    /// Creates the state of an upstream without any observations.
    pub fn new(upstream: Upstream, health: Health) -> Self {
        Self {
            upstream,
            own_in_flight: 0,
            others: OthersEstimate::default(),
            evidence: Evidence::default(),
            health,
            backoff: Backoff::default(),
            malformed: MalformedStreak::default(),
            limit: RequestLimit::default(),
            mean_latency_us: 0.0,
            latency_updated_us: 0,
            concurrency_share: 1.0,
        }
    }

    /// Whether the upstream accepts no requests, or none of this priority from this entry VM. Priority 0 is
    /// the most urgent.
    pub fn is_withheld(&self, priority: u32, now_us: u64) -> bool {
        self.backoff.blocks_sends(now_us)
            || self.limit.blocks_sends(now_us)
            || self.limit.is_reserved(priority, now_us)
    }

    /// Estimated requests of all entry VMs in flight at this upstream.
    pub fn total(&self, context: &ScoreContext<'_>) -> f32 {
        let mean = context.others_mean.expected(self.upstream.slots);
        f32::from(self.own_in_flight)
            + self.others.estimate_at(context.now_us, context.half_life_us, mean).max(0.0)
    }

    /// Expected wait of one more request, relative to the time of one request in all slots; lower is better.
    pub fn score(&self, context: &ScoreContext<'_>) -> f32 {
        let queue = (self.total(context) + 1.0) / f32::from(self.upstream.slots);
        let failure_factor = 1.0 + FAILURE_WEIGHT * self.health.failure_rate();
        queue * failure_factor * self.slowness_factor(context)
            / self.health.weight(context.now_us, context.ejection)
    }

    /// Whether one more request stays within the slots and the queue. The limit is lower while the upstream
    /// sheds requests or warms up; a half-open upstream gets one request at a time.
    pub fn has_room(&self, context: &ScoreContext<'_>, queue_share: f32) -> bool {
        if self.health.is_half_open() && self.own_in_flight > 0 {
            return false;
        }
        let weight = self.health.weight(context.now_us, context.ejection);
        let limit = f32::from(self.upstream.slots) * (1.0 + queue_share) * self.concurrency_share * weight;
        self.total(context) + 1.0 <= limit.max(1.0)
    }

    /// Records the latency of a complete response.
    pub fn record_response(&mut self, latency_us: f32, now_us: u64) {
        // The weight of the average decays with time: after a long pause the newest response says more than
        // older ones.
        let confidence_lost = 1.0 - self.latency_confidence(now_us);
        let share = if self.mean_latency_us == 0.0 { 1.0 } else { LATENCY_EWMA_WEIGHT.max(confidence_lost) };
        self.mean_latency_us += (latency_us - self.mean_latency_us) * share;
        self.latency_updated_us = now_us;
        self.concurrency_share = (self.concurrency_share + SHED_RECOVERY_STEP).min(1.0);
    }

    /// Records that the upstream refused a request because of overload.
    pub fn record_shed(&mut self) {
        self.concurrency_share =
            (self.concurrency_share * SHED_DECREASE_FACTOR).max(1.0 / f32::from(self.upstream.slots));
    }

    /// Confidence in the average latency, from 1 right after a response towards 0.
    fn latency_confidence(&self, now_us: u64) -> f32 {
        let age_us = now_us.saturating_sub(self.latency_updated_us) as f32;
        (-age_us / SLOWNESS_HALF_LIFE_US).exp2()
    }

    fn slowness_factor(&self, context: &ScoreContext<'_>) -> f32 {
        if self.mean_latency_us == 0.0 || context.mean_latency_us == 0.0 {
            return 1.0;
        }
        let ratio = (self.mean_latency_us / context.mean_latency_us).clamp(1.0, SLOWNESS_MAX);
        let excess = (ratio - 1.0) * self.latency_confidence(context.now_us);
        if excess < SLOWNESS_MIN { 1.0 } else { 1.0 + excess }
    }
}
