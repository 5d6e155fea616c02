//! Latency estimates of one route at this node, used by hedging, admission and ejection.

use {
    crate::{
        finish_spread::FinishSpread,
        hedge::{HEDGE_QUANTILE, hedge_after_ms},
        latency::{LatencyQuantile, MinimumLatency},
    },
    pointvane_core::RouteRule,
};

/// Quantile of uncontended latencies used as the route's baseline: the median, which few slow requests do not
/// move.
const BASELINE_QUANTILE: f64 = 0.5;
/// Initial estimate of the answer time quantile, as a share of the target latency.
const INITIAL_ANSWER_SHARE: f64 = 0.5;
/// Initial estimate of the baseline, as a share of the target latency.
const INITIAL_BASELINE_SHARE: f64 = 0.25;

/// Share of the recent minimum latency below which no upstream is expected to finish a request; under 1,
/// since the smallest requests take less time.
const FINISH_MINIMUM_SHARE: f64 = 0.5;

/// Latency estimates of one route.
#[derive(Clone, Copy, Debug)]
pub struct RouteLatencies {
    answer_quantile: LatencyQuantile,
    baseline: LatencyQuantile,
    minimum: MinimumLatency,
    finish_spread: FinishSpread,
}

impl RouteLatencies {
    /// Creates the initial estimates from the target latency of the route.
    pub fn new(route: &RouteRule) -> Self {
        let target_ms = route.target_latency_ms as f64;
        Self {
            answer_quantile: LatencyQuantile::new(HEDGE_QUANTILE, target_ms * INITIAL_ANSWER_SHARE),
            baseline: LatencyQuantile::new(BASELINE_QUANTILE, target_ms * INITIAL_BASELINE_SHARE),
            minimum: MinimumLatency::default(),
            finish_spread: FinishSpread::default(),
        }
    }

    /// Median latency at an uncontended upstream, in milliseconds.
    pub fn baseline_ms(&self) -> f64 {
        self.baseline.get_ms()
    }

    /// Whether, by the latencies recorded so far, no upstream can finish a request with `remaining_ms`
    /// milliseconds left; false before the first.
    pub fn cannot_finish_within(&self, remaining_ms: f64) -> bool {
        self.minimum.get_ms().is_some_and(|minimum_ms| remaining_ms < minimum_ms * FINISH_MINIMUM_SHARE)
    }

    /// Time after which a request of the route gets a hedge, in milliseconds; `None` if its requests may not
    /// be repeated.
    pub fn hedge_after_ms(&self, route: &RouteRule) -> Option<f64> {
        hedge_after_ms(route, self.answer_quantile.get_ms())
    }

    /// Factor on the expected latency at an upstream without a free slot that few requests exceed.
    pub fn finish_spread(&self) -> f64 {
        self.finish_spread.factor()
    }

    /// Records the latency of a successful attempt at an upstream that had no free slot, and the latency that
    /// was expected, both in milliseconds.
    pub fn record_queued(&mut self, latency_ms: f64, expected_latency_ms: f64) {
        self.finish_spread.record(latency_ms, expected_latency_ms);
    }

    /// Records the time from a request's arrival to its answer, in milliseconds.
    pub fn record_answer(&mut self, time_ms: f64) {
        self.answer_quantile.record(time_ms);
    }

    /// Records the latency of one successful attempt. `expected_multiple` is its expected latency as a
    /// multiple of the baseline. Returns the slowdown of the upstream: the measured latency as a multiple of
    /// the baseline.
    pub fn record_attempt(&mut self, latency_ms: f64, expected_multiple: f64) -> f32 {
        self.baseline.record(latency_ms / expected_multiple);
        self.minimum.record(latency_ms);
        (latency_ms / self.baseline.get_ms()) as f32
    }
}
