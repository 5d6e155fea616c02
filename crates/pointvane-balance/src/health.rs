//! Health of one upstream as its answers show it: failures, ejection, return.
//!
//! A failing upstream answers fast and so looks idle; therefore failures are counted in a row, the upstream is
//! ejected for a time that doubles, and after it one success must come before its weight grows again.

use {pointvane_config::EjectionOptions, pointvane_core::US_PER_MS};

/// Doublings of the time of ejection: up to 32 times `base_ms`, as docs/OPERATIONS.md says. Not measured.
const DOUBLINGS_MAX: u32 = 5;
/// Weight of an upstream that has just returned. Not measured.
const WEIGHT_MIN: f32 = 0.1;
/// Weight of the newest outcome in the running rate of failures. Not measured.
const FAILURE_SHARE: f32 = 0.2;

/// Health of one upstream.
#[derive(Clone, Debug)]
pub struct Health {
    failures_in_row: u8,
    failure_rate: f32,
    doublings: u32,
    ejected_until_us: u64,
    on_trial: bool,
    warm_from_us: Option<u64>,
}

impl Health {
    /// Health of an upstream at full weight.
    pub fn warm() -> Self {
        Self {
            failures_in_row: 0,
            failure_rate: 0.0,
            doublings: 0,
            ejected_until_us: 0,
            on_trial: false,
            warm_from_us: None,
        }
    }

    /// Health of an upstream that starts cold at `now_us`.
    pub fn cold(now_us: u64) -> Self {
        Self { warm_from_us: Some(now_us), ..Self::warm() }
    }

    /// Takes a success; it ends a trial and, after a while, the memory of earlier ejections.
    pub fn succeeded(&mut self, now_us: u64) {
        self.failures_in_row = 0;
        self.failure_rate *= 1.0 - FAILURE_SHARE;
        if self.on_trial {
            self.on_trial = false;
            self.warm_from_us = Some(now_us);
        } else if self.warm_from_us.is_none() {
            self.doublings = 0;
        }
    }

    /// Takes a failure; true if the upstream should be ejected.
    pub fn failed(&mut self, options: &EjectionOptions) -> bool {
        self.failures_in_row = self.failures_in_row.saturating_add(1);
        self.failure_rate += (1.0 - self.failure_rate) * FAILURE_SHARE;
        self.on_trial || self.failures_in_row >= options.failures
    }

    /// Ejects the upstream.
    pub fn eject(&mut self, now_us: u64, options: &EjectionOptions) {
        let time_us = (options.base_ms * US_PER_MS) << self.doublings;
        self.doublings = (self.doublings + 1).min(DOUBLINGS_MAX);
        self.ejected_until_us = now_us + time_us;
        self.failures_in_row = 0;
        self.on_trial = true;
    }

    /// Whether the upstream is set aside.
    pub fn ejected(&self, now_us: u64) -> bool {
        now_us < self.ejected_until_us
    }

    /// Whether the upstream is back from ejection and has not yet succeeded.
    pub fn on_trial(&self) -> bool {
        self.on_trial
    }

    /// Weight from [`WEIGHT_MIN`] to 1; also ends the warm-up when its time is over.
    pub fn weight(&self, now_us: u64, options: &EjectionOptions) -> f32 {
        if self.on_trial {
            return WEIGHT_MIN;
        }
        let Some(from_us) = self.warm_from_us else {
            return 1.0;
        };
        let warm_up_us = (options.warm_up_ms * US_PER_MS).max(1);
        let share = now_us.saturating_sub(from_us) as f32 / warm_up_us as f32;
        share.clamp(WEIGHT_MIN, 1.0)
    }

    /// Ends the warm-up once its time is over.
    pub fn settle(&mut self, now_us: u64, options: &EjectionOptions) {
        if !self.on_trial && self.weight(now_us, options) >= 1.0 {
            self.warm_from_us = None;
        }
    }

    /// Share of recent answers that were failures, newer ones counting more.
    pub fn failure_rate(&self) -> f32 {
        self.failure_rate
    }
}
