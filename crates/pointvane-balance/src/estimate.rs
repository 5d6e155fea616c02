//! An estimate of the requests that other entry VMs hold at an upstream.
//!
//! Source: totals that the upstream reports, seen here or by a peer. Trust in them decays with age towards the
//! service's mean, so an old observation neither attracts nor repels work.

/// Weight of the newest value in a running mean. Not measured.
const MEAN_SHARE: f32 = 0.02;

/// Requests of others at one upstream, as last observed.
#[derive(Clone, Debug, Default)]
pub struct OthersEstimate {
    requests: f32,
    at_us: u64,
}

impl OthersEstimate {
    /// Takes an observation unless a later one is known.
    pub fn observe(&mut self, requests: f32, at_us: u64) {
        if at_us >= self.at_us {
            self.requests = requests;
            self.at_us = at_us;
        }
    }

    /// The estimate at `now_us`, where `mean` is what to expect without any observation.
    pub fn at(&self, now_us: u64, half_life_us: f32, mean: f32) -> f32 {
        let age_us = now_us.saturating_sub(self.at_us) as f32;
        let trust = half_life_us / (half_life_us + age_us);
        mean + (self.requests - mean) * trust
    }
}

/// The running mean, over a service's upstreams, of others' requests per slot.
#[derive(Clone, Debug, Default)]
pub struct ServiceMean {
    per_slot: f32,
}

impl ServiceMean {
    /// Takes one observation into the mean.
    pub fn observe(&mut self, requests: f32, slots: u16) {
        let per_slot = requests / f32::from(slots);
        self.per_slot += (per_slot - self.per_slot) * MEAN_SHARE;
    }

    /// What to expect at an upstream with this many slots.
    pub fn expected(&self, slots: u16) -> f32 {
        self.per_slot * f32::from(slots)
    }
}
