//! Detection of unreliable load reports.
//!
//! A report contradicts this entry VM if it counts fewer requests than the VM alone has had in flight at the
//! upstream for some time. Accurate reports rarely do. If many reports of a service contradict, they are
//! ignored for a time and only the VM's own requests are counted.

use pointvane_core::US_PER_S;

/// Weight of the newest check in the moving average of contradictions.
const CHECK_EWMA_WEIGHT: f32 = 0.04;
/// Rate of contradictions above which reports are ignored. A response that is still in transit looks like a
/// contradiction and a stall of this VM causes several at once, so a few in a row must stay below this rate.
const CONTRADICTION_RATE_MAX: f32 = 0.2;
/// Time for which reports are ignored at first, in microseconds; it doubles each time.
const DISTRUST_INITIAL_US: u64 = 10 * US_PER_S;
/// Maximum number of doublings of that time.
const DISTRUST_DOUBLINGS_MAX: u32 = 6;

/// Whether the load reports of one service are trusted.
#[derive(Clone, Debug, Default)]
pub struct ReportTrust {
    contradiction_rate: f32,
    distrusted_until_us: u64,
    distrust_doublings: u32,
}

impl ReportTrust {
    /// Records whether a report contradicted this entry VM's own count of requests in flight.
    pub fn record_check(&mut self, contradicted: bool, now_us: u64) {
        let sample = if contradicted { 1.0 } else { 0.0 };
        self.contradiction_rate += (sample - self.contradiction_rate) * CHECK_EWMA_WEIGHT;
        if self.contradiction_rate > CONTRADICTION_RATE_MAX && now_us >= self.distrusted_until_us {
            self.distrusted_until_us = now_us + (DISTRUST_INITIAL_US << self.distrust_doublings);
            self.distrust_doublings = (self.distrust_doublings + 1).min(DISTRUST_DOUBLINGS_MAX);
            self.contradiction_rate = 0.0;
        }
    }

    /// Whether reports are used.
    pub fn is_trusted(&self, now_us: u64) -> bool {
        now_us >= self.distrusted_until_us
    }
}
