//! Deadline: until when a request may be held before its caller gets a final answer.
//!
//! Decided once, when the head of a request has been read. Inputs: the time that the caller will wait, from
//! its deadline header, and the route's timeout. Without the header, or with one that cannot be parsed,
//! [`DEADLINE_DEFAULT_MS`] applies instead of an error. The answer never comes later than either bound.

use pointvane_core::{RouteRule, US_PER_MS};

/// Deadline of a request whose caller states none, in milliseconds; the route's timeout applies as well.
const DEADLINE_DEFAULT_MS: u64 = 10_000;
/// Longest deadline accepted from a caller, in milliseconds: one day.
///
/// It keeps the sum with the clock from overflowing; the route's timeout is far shorter.
const DEADLINE_MAX_MS: u64 = 86_400_000;

/// Time by which a request that arrived at `arrived_at_us` has to be answered, in microseconds of the
/// monotonic clock.
pub fn answer_deadline_us(route: &RouteRule, caller_timeout_ms: Option<u64>, arrived_at_us: u64) -> u64 {
    let deadline_ms = caller_timeout_ms.unwrap_or(DEADLINE_DEFAULT_MS).min(DEADLINE_MAX_MS);
    arrived_at_us + deadline_ms.min(route.timeout_ms) * US_PER_MS
}
