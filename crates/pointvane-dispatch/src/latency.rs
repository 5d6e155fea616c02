//! Running estimates of latencies in constant space: one quantile, and the recent minimum.

/// Estimates a quantile by steps: up after a larger latency, down after a smaller one, with step sizes in the
/// ratio of the quantile to its complement.
#[derive(Clone, Copy, Debug)]
pub struct LatencyQuantile {
    quantile: f64,
    estimate_ms: f64,
}

/// Step size, as a share of the estimate.
const STEP_SHARE: f64 = 0.05;

impl LatencyQuantile {
    /// Creates an estimate that starts at `initial_ms`, at least 1 ms.
    pub fn new(quantile: f64, initial_ms: f64) -> Self {
        Self { quantile, estimate_ms: initial_ms.max(1.0) }
    }

    /// Records one latency, in milliseconds.
    pub fn record(&mut self, latency_ms: f64) {
        let step = self.estimate_ms * STEP_SHARE;
        if latency_ms > self.estimate_ms {
            self.estimate_ms += step * self.quantile;
        } else {
            self.estimate_ms -= step * (1.0 - self.quantile);
        }
        self.estimate_ms = self.estimate_ms.max(1.0);
    }

    /// The current estimate, in milliseconds.
    pub fn get_ms(&self) -> f64 {
        self.estimate_ms
    }
}

/// Tracks the minimum of the recent latencies.
#[derive(Clone, Copy, Debug, Default)]
pub struct MinimumLatency {
    minimum_ms: Option<f64>,
}

/// Share by which the minimum rises with each larger latency, so that it forgets upstreams that are gone:
/// about the last hundred latencies count.
const MINIMUM_RISE_SHARE: f64 = 0.01;

impl MinimumLatency {
    /// Records one latency, in milliseconds.
    pub fn record(&mut self, latency_ms: f64) {
        let raised_ms =
            self.minimum_ms.map_or(latency_ms, |minimum_ms| minimum_ms * (1.0 + MINIMUM_RISE_SHARE));
        self.minimum_ms = Some(latency_ms.min(raised_ms));
    }

    /// The recent minimum, in milliseconds; `None` before the first latency.
    pub fn get_ms(&self) -> Option<f64> {
        self.minimum_ms
    }
}
