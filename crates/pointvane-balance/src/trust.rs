//! Trust in the load reports of a service's upstreams.
//!
//! A report lags or lies if it counts fewer requests than this entry VM alone has had at the upstream for a
//! while. A truthful report never does; so a few such contradictions are enough to fall back on own counts.

use pointvane_core::US_PER_S;

/// Share of each new check in the running rate of contradictions.
const CHECK_SHARE: f32 = 0.05;
/// Rate of contradictions from which on reports are not used.
const RATE_MAX: f32 = 0.1;
const DISTRUST_FIRST_US: u64 = 10 * US_PER_S;
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
