//! Exponential schedule of the times at which a hedge of one request is considered. Both forms of pointvane
//! (the node and the entry programs) use it.
//!
//! As long as no hedge has been sent, it is considered again, because spare capacity and the hedge budget
//! vary over time.

/// Growth factor of the time since the first attempt from one check to the next.
const CHECK_TIME_FACTOR: f64 = 2.0;
/// Earliest time of the first check, in milliseconds: a time of 0 would not grow.
const FIRST_CHECK_MIN_MS: f64 = 1.0;

/// Times at which a hedge of one request is considered, in milliseconds since its first attempt began.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgeSchedule {
    next_ms: f64,
}

impl HedgeSchedule {
    /// Creates a schedule whose first check is due after `first_ms` milliseconds.
    pub fn new(first_ms: f64) -> Self {
        Self { next_ms: first_ms.max(FIRST_CHECK_MIN_MS) }
    }

    /// Time of the next check, in milliseconds since the first attempt began.
    pub fn next_ms(&self) -> f64 {
        self.next_ms
    }

    /// Advances the schedule after a check that sent no hedge.
    pub fn record_attempt(&mut self) {
        self.next_ms *= CHECK_TIME_FACTOR;
    }
}
