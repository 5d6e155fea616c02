//! The clocks of the programs.

use {
    pointvane_core::{Clock, US_PER_S},
    std::time::{Instant, SystemTime, UNIX_EPOCH},
};

/// Where [`MonotonicClock`] starts, so that no time is ever 0, which means "never".
const START_US: u64 = 1_000 * US_PER_S;

/// Time since the process started.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    started: Instant,
}

impl MonotonicClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { started: Instant::now() }
    }

    /// Milliseconds since the start.
    pub fn since_start_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

impl Clock for MonotonicClock {
    fn now_us(&self) -> u64 {
        START_US + self.started.elapsed().as_micros() as u64
    }
}

/// The wall clock, in milliseconds since 1970; 0 if it stands before that.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
