//! What is known of the times of a route's requests.

use {pointvane_core::RouteRule, pointvane_dispatch::LatencyQuantile};

/// The quantile of answer times after which a second attempt is considered.
const HEDGE_QUANTILE: f64 = 0.9;
const MEDIAN: f64 = 0.5;

/// Times of a route's requests.
#[derive(Clone, Copy, Debug)]
pub struct RouteTimes {
    /// Time from arrival to answer, at the quantile after which a second attempt is considered.
    pub answer: LatencyQuantile,
    /// Median time of an upstream that works at once and at the usual pace.
    pub usual: LatencyQuantile,
}

impl RouteTimes {
    /// Nothing but the route's target is known.
    pub fn new(route: &RouteRule) -> Self {
        let target_ms = route.target_latency_ms as f64;
        Self {
            answer: LatencyQuantile::new(HEDGE_QUANTILE, target_ms / 2.0),
            usual: LatencyQuantile::new(MEDIAN, target_ms / 4.0),
        }
    }
}
