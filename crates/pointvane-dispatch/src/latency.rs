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

/// Follows the least of the latest latencies.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastLatency {
    least_ms: Option<f64>,
}

/// Share by which the least latency rises with each larger one, so that it forgets upstreams that are gone. Not measured: about
/// the last hundred count.
const LEAST_RISE_SHARE: f64 = 0.01;

impl LeastLatency {
    /// Records one latency.
    pub fn record(&mut self, time_ms: f64) {
        let risen_ms = self.least_ms.map_or(time_ms, |least_ms| least_ms * (1.0 + LEAST_RISE_SHARE));
        self.least_ms = Some(time_ms.min(risen_ms));
    }

    /// The least latency, in milliseconds; none before the first.
    pub fn get_ms(&self) -> Option<f64> {
        self.least_ms
    }
}
