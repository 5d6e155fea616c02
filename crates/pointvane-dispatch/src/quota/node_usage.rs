//! The usage of an account that one node last reported, as it leaves the window.

use super::messages::{AccountUsage, FIFTHS, PER_MILLE};

/// The last report of one node.
#[derive(Clone, Copy, Debug)]
pub struct NodeUsage {
    admitted: [u32; FIFTHS],
    mean_age_per_mille: [u16; FIFTHS],
    /// Rate of offered requests, in requests per 1000 s.
    pub offered_per_1000_s: u32,
    /// Time of receipt, in microseconds of the monotonic clock.
    pub at_us: u64,
}

impl NodeUsage {
    /// Creates the state of a report that arrived at `at_us`.
    pub fn new(usage: &AccountUsage, at_us: u64) -> Self {
        let AccountUsage { admitted, mean_age_per_mille, offered_per_1000_s, .. } = *usage;
        Self { admitted, mean_age_per_mille, offered_per_1000_s, at_us }
    }

    /// Returns the number of requests admitted within the last `time_us`.
    pub fn admitted_within(&self, time_us: u64, window_us: u64, now_us: u64) -> f64 {
        let unreported_us = now_us.saturating_sub(self.at_us);
        let fifths = time_us.saturating_sub(unreported_us) as f64 * FIFTHS as f64 / window_us as f64;
        let within = |(fifth, count): (usize, &u32)| {
            let mean_position = (f64::from(self.mean_age_per_mille[fifth]) / f64::from(PER_MILLE)).min(1.0);
            f64::from(*count) * part_before((fifths - fifth as f64).clamp(0.0, 1.0), mean_position)
        };
        self.admitted.iter().enumerate().map(within).sum()
    }
}

/// Returns the fraction of the requests of a fifth that lie before a position in it, given their mean
/// position. They are taken as even over the widest range with that mean.
fn part_before(position: f64, mean_position: f64) -> f64 {
    let first = (2.0 * mean_position - 1.0).max(0.0);
    let last = (2.0 * mean_position).min(1.0);
    if position >= last && position > 0.0 {
        1.0
    } else {
        ((position - first) / (last - first).max(f64::EPSILON)).clamp(0.0, 1.0)
    }
}
