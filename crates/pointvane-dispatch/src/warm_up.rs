//! Warm-up: limits the requests that all nodes together send to a cold upstream, without coordination.
//!
//! A cold upstream can take only a few requests per second and fails above that rate. A node's share of such
//! a rate, one of hundreds, is less than one request in many seconds, so it can be neither rounded nor
//! accumulated. Time is divided into intervals instead: in each, a node draws whether it may send one request
//! to a cold upstream, with the probability at which all nodes together send as many as the upstream can
//! take. An unused draw expires with its interval, so that the fleet sends no more than the draws of the
//! interval, however many requests arrive at once. Inputs: the rate configured for the service, the
//! deployment's bound on it, the largest number of nodes ever seen at once, and the end of the warm-up by the
//! upstream's entry and its responses to probes. Without a rate, cold upstreams are only ranked lower
//! (`cost.rs`). Tests: `tests/warm_up.rs`.

use {
    crate::{upstream::UpstreamState, upstream_key::UpstreamKey},
    pointvane_core::{Name, US_PER_S},
    std::collections::HashMap,
};

/// Length of a draw interval, in microseconds.
///
/// Draws that are unused when a burst begins add to those of the following second, so within a second the
/// fleet may use the draws of that much more time. The shorter the interval, the more draws of a node with
/// few requests expire unused.
const DRAW_INTERVAL_US: u64 = 250_000;
/// Margin between the mean number of draws in a second and the bound, in standard deviations.
///
/// The number of draws of independent nodes is Poisson distributed; it exceeds its mean by 5 standard
/// deviations in less than one second in ten thousand.
const MARGIN_DEVIATIONS: f64 = 5.0;
/// Time after its start during which a node sends no requests to cold upstreams, in microseconds.
///
/// Its share follows from the number of nodes; after this time it knows the others.
const SETTLE_US: u64 = 1_500_000;

/// A deployment's bound on the requests that the whole fleet sends to a cold upstream in any second:
/// `rate * overshoot + slack`, where the rate is that configured for the service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpBound {
    /// Multiple of the configured rate.
    pub overshoot: f64,
    /// Requests per second in addition.
    pub slack: f64,
}

/// A node's share of the requests to cold upstreams.
#[derive(Debug)]
pub(crate) struct WarmUpShares {
    bound: WarmUpBound,
    nodes: usize,
    /// Requests per second that a cold upstream of a service can take.
    rates_per_s: HashMap<Name, f64>,
    seed: u64,
    started_at_us: Option<u64>,
}

impl WarmUpShares {
    pub(crate) fn new(seed: u64) -> Self {
        let bound = WarmUpBound { overshoot: 1.0, slack: 0.0 };
        Self { bound, nodes: 1, rates_per_s: HashMap::new(), seed, started_at_us: None }
    }

    /// The probability that a node may send a request to a cold upstream in one draw interval; none if the
    /// service has no rate configured.
    fn probability(&self, service: &Name) -> Option<f64> {
        let rate_per_s = *self.rates_per_s.get(service)?;
        let interval_s = DRAW_INTERVAL_US as f64 / US_PER_S as f64;
        Some(draw_rate_per_s(rate_per_s, &self.bound) * interval_s / self.nodes.max(1) as f64)
    }

    fn interval(&self, now_us: u64) -> u64 {
        // Offset by the seed, so that the intervals of all nodes do not begin at the same time.
        (now_us + self.seed % DRAW_INTERVAL_US) / DRAW_INTERVAL_US
    }

    fn is_settled(&self, now_us: u64) -> bool {
        self.started_at_us.is_some_and(|started_us| now_us.saturating_sub(started_us) >= SETTLE_US)
    }

    fn has_draw(&self, key: UpstreamKey, probability: f64, now_us: u64) -> bool {
        unit_interval(splitmix64(splitmix64(self.seed ^ splitmix64(key.0)) ^ self.interval(now_us)))
            < probability
    }

    /// The largest number of nodes ever seen at once.
    pub(crate) fn nodes(&self) -> usize {
        self.nodes
    }

    /// Sets the deployment's bound and the largest number of nodes ever seen at once. The first call marks
    /// the node's start.
    pub(crate) fn set_bound(&mut self, bound: WarmUpBound, nodes: usize, now_us: u64) {
        self.bound = bound;
        self.nodes = nodes;
        self.started_at_us.get_or_insert(now_us);
    }

    /// Sets the requests per second that a cold upstream of each service can take.
    pub(crate) fn set_rates(&mut self, rates_per_s: HashMap<Name, f64>) {
        self.rates_per_s = rates_per_s;
    }

    /// Whether an upstream is cold and this node has no unused draw for it in the current interval.
    pub(crate) fn withholds(&self, key: UpstreamKey, state: &UpstreamState, now_us: u64) -> bool {
        if !state.is_cold(now_us) {
            return false;
        }
        let Some(probability) = self.probability(&state.record.service) else {
            return false;
        };
        let is_used = state.last_cold_send_interval == Some(self.interval(now_us));
        is_used || !self.is_settled(now_us) || !self.has_draw(key, probability, now_us)
    }

    /// Uses the current interval's draw for an upstream, if the upstream is cold.
    pub(crate) fn use_draw(&self, state: &mut UpstreamState, now_us: u64) {
        if state.is_cold(now_us) {
            state.last_cold_send_interval = Some(self.interval(now_us));
        }
    }
}

/// Rate of successful draws of the whole fleet for one cold upstream, in requests per second: at most the
/// configured rate, and low enough to keep the bound in a second to which unused draws of the previous
/// interval are added.
fn draw_rate_per_s(rate_per_s: f64, bound: &WarmUpBound) -> f64 {
    let max_per_s = rate_per_s * bound.overshoot + bound.slack;
    // `root * root` is the mean m of a Poisson distribution with m + MARGIN_DEVIATIONS * sqrt(m) = max_per_s.
    let root =
        (MARGIN_DEVIATIONS.mul_add(MARGIN_DEVIATIONS, 4.0 * max_per_s).sqrt() - MARGIN_DEVIATIONS) / 2.0;
    let window_s = 1.0 + DRAW_INTERVAL_US as f64 / US_PER_S as f64;
    (root * root / window_s).min(rate_per_s)
}

/// The next output of a SplitMix64 generator with this state, used as a hash.
fn splitmix64(number: u64) -> u64 {
    let number = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

/// Maps a hash to a number in [0, 1).
fn unit_interval(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
