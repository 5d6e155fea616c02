//! How long to wait for the response head of an abandoned attempt, whose headers carry the upstream's
//! `Retry-After`, request limit and shutdown notices.
//!
//! Both forms of pointvane (the node and the entry programs) use this. An attempt is abandoned when its caller
//! disconnects, its deadline passes or another attempt is answered first. Closing its connection cancels it at
//! the upstream, but loses a response that is in transit. An upstream rejects a request either immediately or
//! when the request times out in its queue, so the connection is kept open until such a rejection would have
//! arrived. Inputs: the times of the send, the deadline and the abandonment, on one monotonic clock, and the
//! time that the connection took to open, as the round-trip time. Tests: `tests/late_answer.rs`.

use crate::US_PER_MS;

/// Time that an upstream needs for an immediate rejection, without the network round trip, in microseconds.
///
/// Of 1,099 rejections over paths with round trips of up to 3 ms, 1,086 arrived within 3 ms of the send and
/// all within 11 ms. An abandoned attempt occupies its slot at the upstream for this long.
const REJECTION_TIME_US: u64 = 20 * US_PER_MS;
/// Upper bound of the round-trip time, in microseconds.
///
/// It is up to 110 ms between regions of the target platform. A connection whose first packets were lost
/// takes seconds to open, which does not reflect the round-trip time.
const ROUND_TRIP_MAX_US: u64 = 120 * US_PER_MS;
/// An attempt abandoned within this time before its deadline is treated as timed out, in microseconds.
///
/// Callers close their connections by their own clocks, which on the target platform is 8 to 55 ms (the
/// network delay) before the deadline computed here. The upstream gives the request up at the deadline in any
/// case.
const DEADLINE_MARGIN_US: u64 = 60 * US_PER_MS;

/// A request that was sent to an upstream. Times are microseconds of one monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct SentRequest {
    /// When it was sent.
    pub sent_at_us: u64,
    /// Deadline of the response, as sent to the upstream.
    pub answer_deadline_us: u64,
    /// Time that its connection took to open, in microseconds.
    pub round_trip_us: u64,
}

impl SentRequest {
    /// Time until which the response head of an attempt abandoned at `abandoned_at_us` is awaited.
    pub fn await_head_until_us(&self, abandoned_at_us: u64) -> u64 {
        let is_timed_out = abandoned_at_us.saturating_add(DEADLINE_MARGIN_US) >= self.answer_deadline_us;
        let rejected_at_us =
            if is_timed_out { self.answer_deadline_us.max(self.sent_at_us) } else { self.sent_at_us };
        rejected_at_us + self.round_trip_us.min(ROUND_TRIP_MAX_US) + REJECTION_TIME_US
    }
}
