//! Estimates of the usage of a quota that no report covers: what other coordinators sent to nodes, and what may
//! have been used before a coordinator started.

/// Fraction of the quota's rate that a coordinator grants until a whole window has passed since its start. It
/// is below 1 because all of a burst right before the start may still be in the window when that time ends.
const STARTUP_RATE_SHARE: f64 = 0.7;

/// An estimate of the usage of a quota that does not come from counts in reports.
#[derive(Clone, Copy, Debug)]
pub struct UsageEstimate {
    /// Used fraction of the quota.
    pub used_share: f64,
    /// When it was made, in microseconds of the monotonic clock.
    pub at_us: u64,
}

impl UsageEstimate {
    /// Returns the fraction of the quota that is still within the window, assuming that it was used at an
    /// even rate.
    pub fn remaining_share(&self, window_us: u64, now_us: u64) -> f64 {
        self.used_share * window_part_left(window_us, now_us.saturating_sub(self.at_us))
    }
}

/// Returns the fraction of a window that is left after `age_us`.
fn window_part_left(window_us: u64, age_us: u64) -> f64 {
    window_us.saturating_sub(age_us) as f64 / window_us as f64
}

/// Returns the fraction of a quota that may have been used before a coordinator started `uptime_us` ago and
/// still be within the window.
pub fn usage_before_start(window_us: u64, uptime_us: u64) -> f64 {
    if uptime_us < window_us { 1.0 - STARTUP_RATE_SHARE * uptime_us as f64 / window_us as f64 } else { 0.0 }
}
