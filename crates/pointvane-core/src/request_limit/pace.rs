//! Pacing of one process's requests to one upstream by the generic cell rate algorithm (GCRA).

use crate::US_PER_MS;

/// Burst size as a time at the process's rate, in microseconds. A burst is at least one request.
const BURST_US: f64 = 250.0 * US_PER_MS as f64;
/// Fraction of the interval between requests by which each priority level delays a request, so that it is
/// left to more urgent ones.
const DELAY_PER_PRIORITY: f64 = 0.25;
/// Least urgent priority that is distinguished; larger values are treated like it.
const PRIORITY_MAX: u32 = 2;
/// Microseconds per second.
const US_PER_S: f64 = 1e6;

/// GCRA state of one process: when it may send its next request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Pacer {
    /// Requests per second; 0 allows none.
    per_s: f64,
    /// Theoretical arrival time of the next request: when it is due without a burst, in microseconds.
    next_us: u64,
}

/// Interval between requests at a rate, in microseconds.
pub(super) fn interval_us(per_s: f64) -> u64 {
    (US_PER_S / per_s) as u64
}

impl Pacer {
    pub(super) fn per_s(&self) -> f64 {
        self.per_s
    }

    /// Sets the rate. If it was 0 before, the first request waits for the fraction `phase` of an interval.
    /// Otherwise the next request is due after at most one interval, and requests sent as a burst stay
    /// counted.
    pub(super) fn set(&mut self, per_s: f64, phase: f64, now_us: u64) {
        let is_starting = self.per_s == 0.0 && per_s > 0.0;
        self.per_s = per_s;
        if is_starting {
            let wait_us = (interval_us(per_s) as f64 * phase) as u64;
            self.next_us = self.next_us.max(now_us + wait_us);
        }
        if per_s > 0.0 {
            let ahead_max_us = interval_us(per_s).max(BURST_US as u64);
            self.next_us = self.next_us.min(now_us + ahead_max_us);
        }
    }

    /// Allows one request immediately.
    pub(super) fn allow_one(&mut self, now_us: u64) {
        self.next_us = self.next_us.min(now_us);
    }

    fn allowed_from_us(&self) -> u64 {
        let tolerance_us = (BURST_US - interval_us(self.per_s) as f64).max(0.0);
        self.next_us.saturating_sub(tolerance_us as u64)
    }

    pub(super) fn allows(&self, now_us: u64) -> bool {
        self.per_s > 0.0 && now_us >= self.allowed_from_us()
    }

    /// When the next request of `priority` is allowed.
    fn allowed_at_us(&self, priority: u32) -> u64 {
        let share = f64::from(priority.min(PRIORITY_MAX)) * DELAY_PER_PRIORITY;
        self.allowed_from_us() + (interval_us(self.per_s) as f64 * share) as u64
    }

    pub(super) fn is_reserved(&self, priority: u32, now_us: u64) -> bool {
        self.per_s > 0.0 && now_us < self.allowed_at_us(priority)
    }

    /// Time until a request of `priority` is allowed, in microseconds; `None` if the rate is 0.
    pub(super) fn available_in_us(&self, priority: u32, now_us: u64) -> Option<u64> {
        (self.per_s > 0.0).then(|| self.allowed_at_us(priority).saturating_sub(now_us))
    }

    pub(super) fn record_send(&mut self, now_us: u64) {
        if self.per_s > 0.0 {
            self.next_us = self.next_us.max(now_us) + interval_us(self.per_s);
        }
    }
}
