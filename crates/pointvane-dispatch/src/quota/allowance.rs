//! What a node admits of an account by itself, while it reaches no coordinator: an equal part of the quota in each window.
//!
//! A part that is less than one request is drawn by lot, once a window, so that the nodes together admit what their parts add up to.

use {super::FleetContact, pointvane_core::US_PER_MS};

/// Time after its start for which a node that has heard no other yet admits nothing, in microseconds: others may have used up the quota.
const HEARD_WITHIN_US: u64 = 500 * US_PER_MS;
/// Part of a node that has heard no other for longer and so knows nothing of its fleet, in requests.
const PART_UNKNOWN: f64 = 1.0;

/// A node's part of a quota, in requests in a window; `life_us` is the time since its start.
pub fn own_part(quota: f64, contact: FleetContact, life_us: u64) -> f64 {
    match contact.nodes {
        Some(nodes) => quota / nodes.max(1) as f64,
        None if life_us < HEARD_WITHIN_US => 0.0,
        None => PART_UNKNOWN,
    }
}

/// A number between 0 and 1, drawn once a window.
#[derive(Clone, Copy, Debug)]
struct Lot {
    draw: f32,
    until_us: u64,
}

/// The lot of one account at one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct Allowance {
    lot: Option<Lot>,
}

impl Allowance {
    /// Whether a part of the quota covers one request more than were admitted within the window.
    pub fn covers(&mut self, part: f64, admitted: u32, window_us: u64, now_us: u64, draw: f32) -> bool {
        let lot = match self.lot {
            Some(lot) if now_us < lot.until_us => lot,
            _ => Lot { draw, until_us: now_us + window_us },
        };
        self.lot = Some(lot);
        part - f64::from(admitted) > f64::from(lot.draw)
    }
}
