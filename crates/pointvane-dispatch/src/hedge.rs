//! Hedging: when a slow request gets a second, concurrent attempt.
//!
//! Decided when an attempt of a repeatable request has been in flight for [`hedge_after_ms`], and again at
//! increasing intervals ([`pointvane_core::HedgeSchedule`]) until a hedge was sent. A hedge is sent only if
//! the first attempt is still the only one, the route allows another, the fleet's retry budget has a token,
//! and an uncontended upstream is found; long after the target latency any eligible upstream will do
//! ([`hedge_goal`]). The first good answer is delivered and the other attempt is dropped. Tests:
//! `standins/tests/stalled_upstreams.rs`, `tests/request_attempts.rs`.
//!
//! Hedges guard against requests on reused connections that have gone silent. If all of a node's connections
//! have, one in ten requests right after that ends with 504 at its deadline without hedges
//! (`standins/tests/silent_connections.rs`). Where silent connections are rare, hedges gain nothing.
//!
//! Input: the running 0.9 quantile of the route's answer times, clamped to shares of its target latency, so
//! that neither low load nor overload makes the hedge delay useless. The initial quantile is half the target
//! latency.

use {
    crate::search::{SearchGoal, search_time_ms},
    pointvane_core::{RouteRule, US_PER_MS},
    std::ops::RangeInclusive,
};

/// Quantile of the route's answer times after which a request counts as slow: about one in ten requests does.
pub const HEDGE_QUANTILE: f64 = 0.9;

/// Range of hedge delays, as shares of the target latency: at most 0.55, so that the second attempt can still
/// meet the target.
const HEDGE_DELAY_SHARES: RangeInclusive<f64> = 0.1..=0.55;

/// Time after which a hedge is considered, in milliseconds, given the quantile of answer times; `None` for
/// requests that may not be repeated.
pub fn hedge_after_ms(route: &RouteRule, answer_quantile_ms: f64) -> Option<f64> {
    let target_ms = route.target_latency_ms as f64;
    let after_ms = answer_quantile_ms
        .clamp(target_ms * HEDGE_DELAY_SHARES.start(), target_ms * HEDGE_DELAY_SHARES.end());
    route.kind.is_repeatable().then_some(after_ms)
}

/// Multiple of the target latency from which on a hedge may go to any eligible upstream. Admission refuses
/// requests that are expected to take that long, so the first attempt's upstream is not merely slow.
const HEDGE_ANY_UPSTREAM_SHARE: f64 = 2.0;

/// The upstreams that a hedge may be sent to, `elapsed_ms` after its request arrived. `now_us` is the
/// monotonic clock, in microseconds.
pub fn hedge_goal(route: &RouteRule, elapsed_ms: f64, now_us: u64) -> SearchGoal {
    if elapsed_ms < route.target_latency_ms as f64 * HEDGE_ANY_UPSTREAM_SHARE {
        SearchGoal::UncontendedOnly
    } else {
        SearchGoal::Best { until_us: now_us + (search_time_ms(route) * US_PER_MS as f64) as u64 }
    }
}
