//! Return time: when the caller of a refused request should come back while its service is contended.
//!
//! Inputs: what is left of the target of the request, the latency that is expected of an upstream, the time
//! that the caller will still wait, and a random number, since callers that were refused together would otherwise come back together.
//! While the request can be in time, its caller comes back within that time, in which slots come free as other
//! requests finish. Afterwards it comes back spread over a longer time, when contention is more likely over.
//! Tests: `tests/return_time.rs` and `tests/contended_service.rs`.

use pointvane_core::RouteRule;

/// Time that a caller needs in addition to the return time until its request is back at a node: the way of the
/// refusal, a new connection and the way of the request.
const RETURN_TRIP_MS: f64 = 40.0;
/// Shortest return time, as a share of the target.
const RETURN_SHARE_MIN: f64 = 0.05;
/// Largest return time within the target, as a share of the target.
const RETURN_SHARE_MAX: f64 = 0.35;
/// Range of return times of requests that cannot be in time any more, as shares of the target.
const LATE_RETURN_SHARES: (f64, f64) = (0.5, 1.3);
/// Part of the time that a caller will still wait that a return time may take up.
const REMAINING_TIME_SHARE: f64 = 1.0 / 3.0;

/// What a return time is decided by.
#[derive(Clone, Copy, Debug)]
pub struct ReturnInputs {
    /// Time since the caller first sent the request, in milliseconds.
    pub spent_ms: f64,
    /// Expected latency at an upstream, in milliseconds.
    pub expected_latency_ms: f64,
    /// Time that the caller will still wait, in milliseconds.
    pub remaining_ms: f64,
}

impl ReturnInputs {
    /// The longest return time after which the request can be in time; `None` if there is none.
    pub fn latest_ms(&self, route: &RouteRule) -> Option<f64> {
        let target_ms = route.target_latency_ms as f64;
        let latest_ms = target_ms - self.spent_ms - self.expected_latency_ms - RETURN_TRIP_MS;
        let latest_ms = latest_ms.min(self.remaining_ms * REMAINING_TIME_SHARE);
        (latest_ms >= target_ms * RETURN_SHARE_MIN).then(|| latest_ms.min(target_ms * RETURN_SHARE_MAX))
    }

    /// The return time in milliseconds; `jitter` is a random number between 0 and 1.
    pub fn return_after_ms(&self, route: &RouteRule, jitter: f64) -> u32 {
        let target_ms = route.target_latency_ms as f64;
        let jitter = if jitter.is_finite() { jitter.clamp(0.0, 1.0) } else { 0.0 };
        let shortest_ms = target_ms * RETURN_SHARE_MIN;
        if let Some(latest_ms) = self.latest_ms(route) {
            return to_ms(shortest_ms + (latest_ms - shortest_ms) * jitter);
        }
        let (min_share, max_share) = LATE_RETURN_SHARES;
        let last_ms = (self.remaining_ms * REMAINING_TIME_SHARE).min(target_ms * max_share);
        let first_ms = (target_ms * min_share).min(last_ms * min_share);
        to_ms(first_ms + (last_ms - first_ms) * jitter)
    }
}

/// Rounds a return time down to whole milliseconds, at least one.
fn to_ms(time_ms: f64) -> u32 {
    (time_ms as u32).max(1)
}
