//! The part of an account's quota that a node admits per window while it reaches no coordinator.
//!
//! Every node gets an equal part. Fractions of a request are rounded at random, once per window, so that the
//! nodes together admit the sum of their parts on average.

use {super::FleetView, pointvane_core::US_PER_MS};

/// Time after its start during which a node that has received no message of another node admits nothing, in
/// microseconds: the other nodes may have used up the quota.
const DISCOVERY_TIMEOUT_US: u64 = 500 * US_PER_MS;
/// Part of the quota after that time if the number of nodes is still unknown, in requests per window.
const PART_IF_FLEET_UNKNOWN: f64 = 1.0;

/// Returns a node's part of a quota; `quota` and the part are in requests per window. `uptime_us` is the time
/// since the node started.
pub fn equal_part(quota: f64, fleet_view: FleetView, uptime_us: u64) -> f64 {
    match fleet_view.nodes {
        Some(nodes) => quota / nodes.max(1) as f64,
        None if uptime_us < DISCOVERY_TIMEOUT_US => 0.0,
        None => PART_IF_FLEET_UNKNOWN,
    }
}

/// A random number from 0 to 1 that is used for the whole of one window.
#[derive(Clone, Copy, Debug)]
struct WindowDraw {
    draw: f32,
    until_us: u64,
}

/// Random rounding of one account's part at one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct Allowance {
    window_draw: Option<WindowDraw>,
}

impl Allowance {
    /// Whether the rest of a part of the quota, in requests, covers one more request.
    pub fn covers(&mut self, rest: f64, window_us: u64, now_us: u64, draw: f32) -> bool {
        let window_draw = match self.window_draw {
            Some(window_draw) if now_us < window_draw.until_us => window_draw,
            _ => WindowDraw { draw, until_us: now_us + window_us },
        };
        self.window_draw = Some(window_draw);
        rest > f64::from(window_draw.draw)
    }
}
