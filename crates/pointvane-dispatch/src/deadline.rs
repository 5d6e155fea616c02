//! Deadline: until when a request may be held before its caller gets a final answer.
//!
//! Decided once, when the head of a request has been read. Inputs: the time that the caller says it will wait (from the
//! deadline header) and the time-out of the route. A caller that names no time, or one that cannot be parsed, gets
//! [`DEADLINE_DEFAULT_MS`]: the request is still worth an answer. The answer never comes later than either bound.

use pointvane_core::{RouteRule, US_PER_MS};

/// Deadline of a request whose caller names none, in milliseconds.
///
/// Not measured: a customary value; the route's time-out applies as well.
const DEADLINE_DEFAULT_MS: u64 = 10_000;
/// Longest deadline that is accepted from a caller, in milliseconds: a day.
///
/// Not measured: it only keeps the sum with the clock from overflowing; the route's time-out binds long before.
const DEADLINE_MAX_MS: u64 = 86_400_000;

/// When a request that arrived at `arrived_at_us` has to be answered, in microseconds of the steady clock.
pub fn answer_by_us(route: &RouteRule, caller_waits_ms: Option<u64>, arrived_at_us: u64) -> u64 {
    let deadline_ms = caller_waits_ms.unwrap_or(DEADLINE_DEFAULT_MS).min(DEADLINE_MAX_MS);
    arrived_at_us + deadline_ms.min(route.timeout_ms) * US_PER_MS
}
