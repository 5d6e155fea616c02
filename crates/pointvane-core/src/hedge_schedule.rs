//! When a hedge of one request is considered: once at first, and again as long as none was sent, since slack and budget come and go. Of both forms.

/// Factor by which the time since the start grows from one try of a hedge to the next.
const NEXT_TRY_FACTOR: f64 = 2.0;
/// Time of the earliest try: from nothing, no factor leads to a later one.
const FIRST_TRY_MIN_MS: f64 = 1.0;

/// When a hedge of one request is considered, in milliseconds since its first attempt began.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgeSchedule {
    next_ms: f64,
}

impl HedgeSchedule {
    /// A schedule whose first try is due after so many milliseconds.
    pub fn new(first_ms: f64) -> Self {
        Self { next_ms: first_ms.max(FIRST_TRY_MIN_MS) }
    }

    /// When the next try is due.
    pub fn next_ms(&self) -> f64 {
        self.next_ms
    }

    /// Takes note of a try.
    pub fn tried(&mut self) {
        self.next_ms *= NEXT_TRY_FACTOR;
    }
}
