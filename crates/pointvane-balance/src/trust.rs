//! Trust in the load reports of a service's upstreams.
//!
//! A report lags or lies if it counts fewer requests than this entry VM alone has had at the upstream for a
//! while. A truthful report hardly ever does; so when many contradict, own counts are used instead.

use pointvane_core::US_PER_S;

/// Weight of the newest check in the running rate of contradictions. Not measured.
const CHECK_SHARE: f32 = 0.04;
/// Rate of contradictions from which on reports are not used. An answer that is still under way looks like one, and
/// a stall of this VM makes several such, so a few in a row must not do.
const RATE_MAX: f32 = 0.2;
/// Time for which reports are not used at first, in microseconds; it doubles. Not measured at other values.
const DISTRUST_FIRST_US: u64 = 10 * US_PER_S;
/// Doublings of that time at most. Not measured.
const DOUBLINGS_MAX: u32 = 6;

/// Trust in the reports of one service.
#[derive(Clone, Debug, Default)]
pub struct ReportTrust {
    rate: f32,
    until_us: u64,
    doublings: u32,
}

impl ReportTrust {
    /// Takes one check: whether a report contradicted this entry VM's own count.
    pub fn check(&mut self, contradicted: bool, now_us: u64) {
        let value = if contradicted { 1.0 } else { 0.0 };
        self.rate += (value - self.rate) * CHECK_SHARE;
        if self.rate > RATE_MAX && now_us >= self.until_us {
            self.until_us = now_us + (DISTRUST_FIRST_US << self.doublings);
            self.doublings = (self.doublings + 1).min(DOUBLINGS_MAX);
            self.rate = 0.0;
        }
    }

    /// Whether reports are used.
    pub fn holds(&self, now_us: u64) -> bool {
        now_us >= self.until_us
    }
}
