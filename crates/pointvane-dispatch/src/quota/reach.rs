//! The fraction of a quota that a coordinator grants while a part of the fleet is unreachable, and afterwards.
//!
//! It falls with the reachable part of the fleet at once. It grows over a window, since nodes that become
//! reachable may have used their part of the quota and lost their counts in a restart. Inputs: the reachable
//! fraction of the fleet, according to the membership.

/// Smallest fraction of the quota from which the granted fraction grows: about the usual demand of an account.
const REACH_MIN: f64 = 0.5;

/// Fraction of the fleet whose part of the quotas is granted.
#[derive(Clone, Copy, Debug)]
pub struct Reach {
    /// The fraction granted, from 0 to 1.
    pub share: f64,
    /// Time of the last update, in microseconds of the monotonic clock.
    pub at_us: u64,
}

impl Reach {
    /// Returns the fraction to grant now, given the reachable fraction.
    pub fn update(self, fleet_share: f64, window_us: u64, now_us: u64) -> Self {
        let elapsed_us = now_us.saturating_sub(self.at_us);
        // After a time without accounts it is unknown when nodes became reachable.
        let counted_us = if elapsed_us < window_us { elapsed_us } else { 0 };
        let elapsed_windows = counted_us as f64 / window_us as f64;
        let grown = self.share + (1.0 - REACH_MIN) * elapsed_windows;
        Self { share: grown.max(REACH_MIN).min(fleet_share), at_us: now_us }
    }
}
