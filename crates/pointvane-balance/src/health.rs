//! Passive health checks of one upstream: failures, ejection and return.
//!
//! A failing upstream often answers fast and so seems to have little load. Consecutive failures therefore
//! eject it for a time that doubles with each ejection. After that time it gets one request at a time until
//! one succeeds, and then warms up to its full weight.

use {pointvane_config::EjectionOptions, pointvane_core::US_PER_MS};

/// Maximum number of doublings of the ejection time: up to 32 times `base_ms`, as documented in
/// docs/OPERATIONS.md.
const EJECTION_DOUBLINGS_MAX: u32 = 5;
/// Weight of an upstream that is half-open or has just begun to warm up.
const WEIGHT_MIN: f32 = 0.1;
/// Weight of the newest outcome in the moving average of failures.
const FAILURE_EWMA_WEIGHT: f32 = 0.2;

/// Health of one upstream.
#[derive(Clone, Debug)]
pub struct Health {
    consecutive_failures: u8,
    failure_rate: f32,
    ejection_doublings: u32,
    ejected_until_us: u64,
    half_open: bool,
    warm_up_started_us: Option<u64>,
}

impl Health {
    /// Returns the health of an upstream at full weight.
    pub fn warm() -> Self {
        Self {
            consecutive_failures: 0,
            failure_rate: 0.0,
            ejection_doublings: 0,
            ejected_until_us: 0,
            half_open: false,
            warm_up_started_us: None,
        }
    }

    /// Returns the health of an upstream that begins to warm up at `now_us`.
    pub fn cold(now_us: u64) -> Self {
        Self { warm_up_started_us: Some(now_us), ..Self::warm() }
    }

    /// Records a success. It ends the half-open state; once the upstream is warmed up, it also resets the
    /// ejection time.
    pub fn record_success(&mut self, now_us: u64) {
        self.consecutive_failures = 0;
        self.failure_rate *= 1.0 - FAILURE_EWMA_WEIGHT;
        if self.half_open {
            self.half_open = false;
            self.warm_up_started_us = Some(now_us);
        } else if self.warm_up_started_us.is_none() {
            self.ejection_doublings = 0;
        }
    }

    /// Records a failure. Returns whether the upstream should be ejected.
    pub fn record_failure(&mut self, options: &EjectionOptions) -> bool {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.failure_rate += (1.0 - self.failure_rate) * FAILURE_EWMA_WEIGHT;
        self.half_open || self.consecutive_failures >= options.failures
    }

    /// Ejects the upstream and doubles the time of the next ejection.
    pub fn eject(&mut self, now_us: u64, options: &EjectionOptions) {
        let duration_us = (options.base_ms * US_PER_MS) << self.ejection_doublings;
        self.ejection_doublings = (self.ejection_doublings + 1).min(EJECTION_DOUBLINGS_MAX);
        self.ejected_until_us = now_us + duration_us;
        self.consecutive_failures = 0;
        self.half_open = true;
    }

    /// Whether the upstream is ejected.
    pub fn is_ejected(&self, now_us: u64) -> bool {
        now_us < self.ejected_until_us
    }

    /// Whether the upstream has been ejected and has not succeeded since.
    pub fn is_half_open(&self) -> bool {
        self.half_open
    }

    /// Weight for load balancing, from [`WEIGHT_MIN`] to 1. It grows linearly during the warm-up.
    pub fn weight(&self, now_us: u64, options: &EjectionOptions) -> f32 {
        if self.half_open {
            return WEIGHT_MIN;
        }
        let Some(started_us) = self.warm_up_started_us else {
            return 1.0;
        };
        let warm_up_us = (options.warm_up_ms * US_PER_MS).max(1);
        let progress = now_us.saturating_sub(started_us) as f32 / warm_up_us as f32;
        progress.clamp(WEIGHT_MIN, 1.0)
    }

    /// Ends the warm-up once its time is over.
    pub fn end_warm_up_if_complete(&mut self, now_us: u64, options: &EjectionOptions) {
        if !self.half_open && self.weight(now_us, options) >= 1.0 {
            self.warm_up_started_us = None;
        }
    }

    /// Moving average of failures, from 0 to 1; newer outcomes weigh more.
    pub fn failure_rate(&self) -> f32 {
        self.failure_rate
    }
}
