//! Exponentially decaying sums over load reports.

use super::{Contention, ContentionSample};

/// Time in which the weight of a load report is halved, in microseconds.
const REPORT_HALF_LIFE_US: f64 = 300_000.0;

/// Weight of load reports and their sums, halved every [`REPORT_HALF_LIFE_US`].
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DecayingSums {
    /// Number of reports, older ones weighted less.
    pub(super) weight: f64,
    pub(super) uncontended: f64,
    pub(super) occupancy: f64,
    updated_at_us: u64,
}

impl DecayingSums {
    pub(super) fn record(&mut self, sample: ContentionSample, now_us: u64) {
        let uncontended_share = f64::from(u8::from(sample.is_uncontended));
        self.add(1.0, uncontended_share, f64::from(sample.occupancy), now_us);
    }

    /// Adds reports of a total `weight` with these means.
    pub(super) fn add(&mut self, weight: f64, uncontended_share: f64, occupancy: f64, now_us: u64) {
        *self = self.decayed(now_us);
        self.weight += weight;
        self.uncontended += weight * uncontended_share;
        self.occupancy += weight * occupancy;
    }

    /// Removes reports of a total `weight`, at most all, and keeps the means.
    pub(super) fn remove(&mut self, weight: f64) {
        *self = self.scaled((1.0 - weight / self.weight).max(0.0));
    }

    /// Time of the last addition.
    pub(super) fn updated_at_us(&self) -> u64 {
        self.updated_at_us
    }

    /// The part of its weight that a report retains at an age.
    pub(super) fn retained(age_us: u64) -> f64 {
        (-(age_us as f64) / REPORT_HALF_LIFE_US).exp2()
    }

    pub(super) fn decayed(&self, now_us: u64) -> Self {
        let age_us = now_us.saturating_sub(self.updated_at_us);
        let decayed = self.scaled(Self::retained(age_us));
        Self { updated_at_us: self.updated_at_us.max(now_us), ..decayed }
    }

    /// The sums with the given total weight and the same means.
    pub(super) fn with_weight(&self, weight: f64) -> Self {
        if self.weight > 0.0 { self.scaled(weight / self.weight) } else { *self }
    }

    fn scaled(&self, factor: f64) -> Self {
        Self {
            weight: self.weight * factor,
            uncontended: self.uncontended * factor,
            occupancy: self.occupancy * factor,
            ..*self
        }
    }

    /// Sums over the reports of both.
    pub(super) fn plus(&self, other: &Self) -> Self {
        Self {
            weight: self.weight + other.weight,
            uncontended: self.uncontended + other.uncontended,
            occupancy: self.occupancy + other.occupancy,
            updated_at_us: self.updated_at_us.max(other.updated_at_us),
        }
    }

    /// The means, or `None` without any weight.
    pub(super) fn contention(&self) -> Option<Contention> {
        (self.weight > 0.0).then(|| Contention {
            uncontended_share: (self.uncontended / self.weight) as f32,
            occupancy: (self.occupancy / self.weight) as f32,
            reports: self.weight as f32,
        })
    }
}
