//! Estimate of the requests that other entry VMs have in flight at an upstream.
//!
//! Based on the in-flight totals that the upstream reports, received directly or from a peer. With increasing
//! age of an observation the estimate approaches the service's mean, so that an old observation neither
//! attracts nor repels requests.

/// Weight of the newest sample in the moving average.
const MEAN_EWMA_WEIGHT: f32 = 0.02;

/// Last observed number of requests of other entry VMs at one upstream.
#[derive(Clone, Debug, Default)]
pub struct OthersEstimate {
    requests: f32,
    observed_at_us: u64,
}

impl OthersEstimate {
    /// Records an observation unless a newer one is known.
    pub fn observe(&mut self, requests: f32, observed_at_us: u64) {
        if observed_at_us >= self.observed_at_us {
            self.requests = requests;
            self.observed_at_us = observed_at_us;
        }
    }

    /// The estimate at `now_us`. `mean` is the value expected without any observation; an observation of age
    /// `half_life_us` has half its weight.
    pub fn estimate_at(&self, now_us: u64, half_life_us: f32, mean: f32) -> f32 {
        let age_us = now_us.saturating_sub(self.observed_at_us) as f32;
        let confidence = half_life_us / (half_life_us + age_us);
        mean + (self.requests - mean) * confidence
    }
}

/// Moving average, over all upstreams of a service, of the requests of other entry VMs per slot.
#[derive(Clone, Debug, Default)]
pub struct ServiceMean {
    requests_per_slot: f32,
}

impl ServiceMean {
    /// Adds the observation of one upstream to the average.
    pub fn observe(&mut self, requests: f32, slots: u16) {
        let sample = requests / f32::from(slots);
        self.requests_per_slot += (sample - self.requests_per_slot) * MEAN_EWMA_WEIGHT;
    }

    /// Expected number of requests of other entry VMs at an upstream with this many slots.
    pub fn expected(&self, slots: u16) -> f32 {
        self.requests_per_slot * f32::from(slots)
    }
}
