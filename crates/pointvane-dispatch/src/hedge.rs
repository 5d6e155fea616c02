//! Hedging: when a slow request gets a second attempt beside the first.
//!
//! Decided when an attempt of repeatable work has been under way for [`hedge_after_ms`], and again at longer and longer intervals ([`pointvane_core::HedgeSchedule`])
//! as long as no hedge was sent. The hedge is made only if the first attempt is still the only one, the route allows another, the fleet's retry budget has
//! a token, and an uncontended upstream is found, or long after the target latency any that may get work ([`hedge_goal`]).
//! The first good answer wins; the other attempt is dropped. Tests: `standins/tests/stalled_upstreams.rs`, `tests/request_attempts.rs`.
//!
//! What it guards against: a repeatable request on a kept connection that has gone silent. Without hedges one of ten ends with 504 at its
//! deadline right after all have (`requests_are_served_though_all_kept_connections_to_upstreams_are_silent`). On the users' days, on
//! which that is rare, they gain nothing: without them Roteiro Vivo, Skiphub and their grown fleets had 0.002 to 0.003 more, Heatline 0.011.
//!
//! Input: the running 0.9 quantile of the route's answer times, bounded by shares of its target latency, so that
//! neither a quiet nor an overloaded hour moves the moment out of reach. Before any answer the quantile is half the target.

use {
    crate::search::{SearchGoal, search_time_ms},
    pointvane_core::{RouteRule, US_PER_MS},
    std::ops::RangeInclusive,
};

/// Quantile of the route's answer times after which a request counts as slow.
///
/// Not measured at other values. By its meaning about one request in ten is considered.
pub const HEDGE_QUANTILE: f64 = 0.9;

/// Shares of the target latency between which a hedge may start.
///
/// Not measured apart: at most 0.55, so that the second attempt can still meet the target.
const HEDGE_SHARES: RangeInclusive<f64> = 0.1..=0.55;

/// Time after which a second attempt is considered, in milliseconds, given the quantile of answer times; none for work
/// that may not be repeated.
pub fn hedge_after_ms(route: &RouteRule, answer_quantile_ms: f64) -> Option<f64> {
    let target_ms = route.target_latency_ms as f64;
    let after_ms = answer_quantile_ms.clamp(target_ms * HEDGE_SHARES.start(), target_ms * HEDGE_SHARES.end());
    route.kind.repeatable().then_some(after_ms)
}

/// Multiple of the target latency from which on a hedge goes to any upstream that may get work: admission lets no request pass that is expected to take so long, so
/// the first attempt's upstream is not merely slow.
const ANY_UPSTREAM_SHARE: f64 = 2.0;

/// What a hedge may be sent to, so long after its request arrived.
pub fn hedge_goal(route: &RouteRule, elapsed_ms: f64, now_us: u64) -> SearchGoal {
    if elapsed_ms < route.target_latency_ms as f64 * ANY_UPSTREAM_SHARE {
        SearchGoal::UncontendedOnly
    } else {
        SearchGoal::Best { until_us: now_us + (search_time_ms(route) * US_PER_MS as f64) as u64 }
    }
}
