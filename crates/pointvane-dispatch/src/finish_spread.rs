//! Spread of finish times: by how much requests of a route take longer than expected at upstreams without a
//! free slot.
//!
//! Input: the ratio of measured to expected latency of each such request. The estimate is the ratio that
//! [`QUANTILE`] of them stay below, and follows a change within some tens of requests from any start. Tests:
//! `tests/finish_spread.rs`.

/// Share of the requests that finish within the estimate.
const QUANTILE: f64 = 0.8;
/// Estimate before the first request.
const INITIAL_RATIO: f64 = 1.4;
/// Change of the estimate with one request, as a share of it.
const STEP_SHARE: f64 = 0.06;
/// Bounds of the estimate.
const RATIO_MIN: f64 = 1.0;
const RATIO_MAX: f64 = 4.0;

/// Estimate of the ratio of measured to expected latency.
#[derive(Clone, Copy, Debug)]
pub struct FinishSpread {
    ratio: f64,
}

impl Default for FinishSpread {
    fn default() -> Self {
        Self { ratio: INITIAL_RATIO }
    }
}

impl FinishSpread {
    /// Records a measured and an expected latency; ignored unless both are positive and finite.
    pub fn record(&mut self, latency_ms: f64, expected_latency_ms: f64) {
        let ratio = latency_ms / expected_latency_ms;
        if !ratio.is_finite() || ratio <= 0.0 {
            return;
        }
        let step = if ratio > self.ratio { QUANTILE } else { QUANTILE - 1.0 };
        self.ratio = (self.ratio * STEP_SHARE.mul_add(step, 1.0)).clamp(RATIO_MIN, RATIO_MAX);
    }

    /// Factor on an expected latency that few requests exceed.
    pub fn factor(&self) -> f64 {
        self.ratio
    }
}
