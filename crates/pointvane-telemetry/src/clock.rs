//! The clocks of the programs.

use {
    pointvane_core::{Clock, US_PER_S},
    rustix::time::{ClockId, clock_gettime},
    std::time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Where [`MonotonicClock`] starts, so that no time is ever 0, which means "never".
const START_US: u64 = 1_000 * US_PER_S;

/// A moment of the machine's time since its boot, that for which it was suspended included: `CLOCK_BOOTTIME`.
///
/// `std::time::Instant` stands still while a machine is suspended, and whatever rests on it then believes that leases, load reports, kept connections,
/// pauses of upstreams and times left of requests are as fresh as before.
#[derive(Clone, Copy, Debug)]
pub struct Moment(Duration);

impl Moment {
    /// This moment.
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        // Neither is ever negative on this clock.
        Self(Duration::new(time.tv_sec as u64, time.tv_nsec as u32))
    }

    /// Time since then.
    pub fn elapsed(self) -> Duration {
        Self::now().0.saturating_sub(self.0)
    }
}

/// Time since the process started.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    started: Moment,
}

impl MonotonicClock {
    /// A clock that starts now.
    pub fn start() -> Self {
        Self { started: Moment::now() }
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
