//! Answers that nobody waits for any more: until when their heads are read all the same, for what the upstream says of itself there.
//!
//! Of both forms. An attempt is abandoned when its caller left, its deadline passed or another attempt was answered first; its connection is then closed,
//! which cancels it at its upstream, and an answer that is on its way is lost. An upstream that turns a request away does so either at once or when the
//! request's time is over in its queue, so the connection is kept until such an answer would have come. Inputs: the moments of the send, of the deadline and
//! of the abandonment, on one steady clock; the time that a path to the upstream takes there and back, as its connection was opened. Nothing can be missing.
//! Tests: `tests/late_answer.rs`.

use crate::US_PER_MS;

/// Time within which an upstream turns a request away that it turns away at once, the path not included, in microseconds.
///
/// Lines of a recorded day, on which paths took up to 3 ms there and back: of 1,099 requests that upstreams turned away 1,086 were answered within 3 ms of the
/// send, all within 11 ms. Not measured at other values. An attempt that is abandoned holds its upstream's slot for as long.
const TURNED_AWAY_WITHIN_US: u64 = 20 * US_PER_MS;
/// Longest path there and back that is waited for, in microseconds: between regions of the users' platform it takes up to 110 ms.
///
/// A connection whose first packets were lost took seconds to open, which says nothing of the path.
const ROUND_TRIP_MAX_US: u64 = 120 * US_PER_MS;
/// Time before the deadline from which on an attempt counts as abandoned for it, in microseconds.
///
/// Callers close by their own clocks, a path's time before the deadline that is known here: 8 to 55 ms on the users' platform. Its upstream gives it up at the
/// deadline in any case.
const BEFORE_DEADLINE_US: u64 = 60 * US_PER_MS;

/// A request that was sent to an upstream. Moments are microseconds of one steady clock.
#[derive(Clone, Copy, Debug)]
pub struct SentRequest {
    /// When it was sent.
    pub sent_at_us: u64,
    /// When its answer is due, as the upstream was told.
    pub answer_by_us: u64,
    /// How long its connection took to open.
    pub round_trip_us: u64,
}

impl SentRequest {
    /// Until when the head of its answer is read though it was abandoned.
    pub fn heeded_until_us(&self, abandoned_at_us: u64) -> u64 {
        let is_due = abandoned_at_us.saturating_add(BEFORE_DEADLINE_US) >= self.answer_by_us;
        let turned_away_at_us = if is_due { self.answer_by_us.max(self.sent_at_us) } else { self.sent_at_us };
        turned_away_at_us + self.round_trip_us.min(ROUND_TRIP_MAX_US) + TURNED_AWAY_WITHIN_US
    }
}
