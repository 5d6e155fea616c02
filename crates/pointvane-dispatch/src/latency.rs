//! A running estimate of one quantile of latencies, in constant space.

/// Follows a quantile by steps: up after a larger time, down after a smaller one, in the quantile's ratio.
#[derive(Clone, Copy, Debug)]
pub struct LatencyQuantile {
    quantile: f64,
    estimate_ms: f64,
}

/// Size of a step, as a share of the estimate.
///
/// Not measured at other values.
const STEP_SHARE: f64 = 0.05;

impl LatencyQuantile {
    /// An estimate that starts at `initial_ms`.
    pub fn new(quantile: f64, initial_ms: f64) -> Self {
        Self { quantile, estimate_ms: initial_ms.max(1.0) }
    }

    /// Records one latency.
    pub fn record(&mut self, time_ms: f64) {
        let step = self.estimate_ms * STEP_SHARE;
        if time_ms > self.estimate_ms {
            self.estimate_ms += step * self.quantile;
        } else {
            self.estimate_ms -= step * (1.0 - self.quantile);
        }
        self.estimate_ms = self.estimate_ms.max(1.0);
    }

    /// The estimate, in milliseconds.
    pub fn get_ms(&self) -> f64 {
        self.estimate_ms
    }
}
