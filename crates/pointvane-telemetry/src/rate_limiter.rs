//! Rate limit for log lines: a sample of successes, a bounded rate of failures and of state changes, and a
//! count of the lines suppressed.

use pointvane_core::US_PER_S;

/// Limits on log lines. Bounded logging costs a node less than a line for every request and state change.
#[derive(Clone, Copy, Debug)]
pub struct LogRateLimits {
    /// One in this many lines on successes is written.
    pub successes_every: u64,
    /// Maximum lines on failures per second.
    pub failures_per_s: u64,
    /// Maximum lines on state changes of upstreams and other nodes per second.
    pub changes_per_s: u64,
}

impl Default for LogRateLimits {
    fn default() -> Self {
        Self { successes_every: 64, failures_per_s: 40, changes_per_s: 60 }
    }
}

/// Whether a line may be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineDecision {
    /// Whether the line may be written.
    pub written: bool,
    /// Lines suppressed in the last second with a failure or state change, if any; the caller logs this count
    /// now.
    pub suppressed: Option<u64>,
}

/// Rate limiter for the log lines of one process. Failures and state changes are limited separately, each per
/// second of the clock that the caller passes in.
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    options: LogRateLimits,
    successes: u64,
    second: u64,
    failures_written: u64,
    changes_written: u64,
    suppressed: u64,
}

impl LogRateLimiter {
    /// Creates a limiter with empty counts.
    pub fn new(options: LogRateLimits) -> Self {
        Self { options, ..Self::default() }
    }

    /// Whether a line on a success may be written.
    pub fn success(&mut self) -> bool {
        self.successes += 1;
        self.successes.is_multiple_of(self.options.successes_every.max(1))
    }

    /// Whether a line on a failure may be written at `now_us`.
    pub fn failure(&mut self, now_us: u64) -> LineDecision {
        let suppressed = self.roll_over(now_us);
        let written = self.failures_written < self.options.failures_per_s;
        self.failures_written += u64::from(written);
        self.suppressed += u64::from(!written);
        LineDecision { written, suppressed }
    }

    /// Whether a line on a state change of an upstream or another node may be written at `now_us`.
    pub fn change(&mut self, now_us: u64) -> LineDecision {
        let suppressed = self.roll_over(now_us);
        let written = self.changes_written < self.options.changes_per_s;
        self.changes_written += u64::from(written);
        self.suppressed += u64::from(!written);
        LineDecision { written, suppressed }
    }

    /// Resets the per-second counts when `now_us` lies in another second, and returns the lines suppressed
    /// before, if any.
    fn roll_over(&mut self, now_us: u64) -> Option<u64> {
        if now_us / US_PER_S == self.second {
            return None;
        }
        let suppressed = self.suppressed;
        *self = Self {
            options: self.options,
            successes: self.successes,
            second: now_us / US_PER_S,
            ..Self::default()
        };
        Some(suppressed).filter(|count| *count > 0)
    }
}
