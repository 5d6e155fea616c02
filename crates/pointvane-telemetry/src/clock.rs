//! Monotonic and wall clocks.

use {
    pointvane_core::{Clock, US_PER_S},
    rustix::time::{ClockId, clock_gettime},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

/// First reading of [`MonotonicClock`] in microseconds. It is above 0, which means "never" in stored times.
const INITIAL_TIME_US: u64 = 1_000 * US_PER_S;

/// A point in time read from `CLOCK_BOOTTIME`, which includes time that the machine was suspended.
///
/// `std::time::Instant` does not advance while a machine is suspended. Leases, load reports, idle connections,
/// upstream back-offs and request deadlines based on it would look as fresh after a resume as before.
#[derive(Clone, Copy, Debug)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// The current time.
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        // Neither field is ever negative on this clock, so the casts are lossless.
        Self(Duration::new(time.tv_sec as u64, time.tv_nsec as u32))
    }

    /// Time elapsed since this point; zero if it lies in the future.
    pub fn elapsed(self) -> Duration {
        Self::now().0.saturating_sub(self.0)
    }
}

/// Clock that counts from the time it was started, including time that the machine was suspended.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    started: BootInstant,
}

impl MonotonicClock {
    /// Starts a clock.
    pub fn start() -> Self {
        Self { started: BootInstant::now() }
    }

    /// Milliseconds since the start.
    pub fn since_start_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

impl Clock for MonotonicClock {
    fn now_us(&self) -> u64 {
        INITIAL_TIME_US + self.started.elapsed().as_micros() as u64
    }
}

/// Wall-clock time in milliseconds since the Unix epoch; 0 if the clock is set to an earlier time.
pub fn unix_time_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}
