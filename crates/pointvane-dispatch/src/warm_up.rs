//! Warm-up: how many requests a cold upstream gets of the whole fleet, without agreement.
//!
//! A cold upstream bears few requests a second, and fails above that. A share of such a rate is less than one request in many seconds
//! for each of hundreds of nodes, so it is neither rounded nor saved up: in each slot of time a node draws whether it may send
//! one request to a cold upstream, with the probability by which all nodes together send as many as it bears. A draw that is not used is lost, so
//! however many requests come at once, the fleet sends no more than the slot's draws. Inputs: the rate that the service's configuration
//! names, the deployment's bound on it, the most nodes ever seen at once, the end of the cold time by the upstream's entry and its
//! answers to probes. Without a rate cold upstreams are only ranked lower (`upstream.rs`). Tests: `tests/warm_up.rs`.

use {
    crate::{upstream::UpstreamState, upstream_key::UpstreamKey},
    pointvane_core::{Name, US_PER_S},
    std::collections::HashMap,
};

/// Length of a slot, in microseconds.
///
/// Not measured. Draws that wait unused when a burst begins come on top of those of the next second, so the fleet may send this part
/// of a second more; the shorter it is, the more draws of a small node are lost.
const SLOT_US: u64 = 250_000;
/// Standard deviations of the number of draws in a second that the bound leaves room for.
///
/// Worked out: draws of independent nodes are Poisson distributed; 5 deviations are passed in less than one second of ten thousand.
const DEVIATIONS: f64 = 5.0;
/// Time after its start for which a node sends cold upstreams nothing, in microseconds.
///
/// Not measured: by then it has met the other nodes, whose count its share follows from.
const SETTLE_US: u64 = 1_500_000;

/// What a deployment allows a cold upstream beyond the rate that its service names, over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpBound {
    /// Multiple of the rate.
    pub overshoot: f64,
    /// Requests in a second besides.
    pub slack: f64,
}

/// What a node needs to know its share of cold upstreams.
#[derive(Debug)]
pub(crate) struct WarmUpShares {
    bound: WarmUpBound,
    nodes: usize,
    /// Requests a second that a cold upstream of a service bears.
    rates_per_s: HashMap<Name, f64>,
    seed: u64,
    started_at_us: Option<u64>,
}

impl WarmUpShares {
    pub(crate) fn new(seed: u64) -> Self {
        let bound = WarmUpBound { overshoot: 1.0, slack: 0.0 };
        Self { bound, nodes: 1, rates_per_s: HashMap::new(), seed, started_at_us: None }
    }

    /// The probability with which a node may send a cold upstream a request in a slot; none if the service names no rate.
    fn probability(&self, service: &Name) -> Option<f64> {
        let rate_per_s = *self.rates_per_s.get(service)?;
        let slot_s = SLOT_US as f64 / US_PER_S as f64;
        Some(used_per_s(rate_per_s, &self.bound) * slot_s / self.nodes.max(1) as f64)
    }

    fn slot(&self, now_us: u64) -> u64 {
        // Nodes have slots of their own, so that they do not begin at the same time.
        (now_us + self.seed % SLOT_US) / SLOT_US
    }

    fn is_settled(&self, now_us: u64) -> bool {
        self.started_at_us.is_some_and(|started_us| now_us.saturating_sub(started_us) >= SETTLE_US)
    }

    fn is_drawn(&self, key: UpstreamKey, probability: f64, now_us: u64) -> bool {
        unit(mixed(mixed(self.seed ^ mixed(key.0)) ^ self.slot(now_us))) < probability
    }

    /// The most nodes that were ever seen at once.
    pub(crate) fn nodes(&self) -> usize {
        self.nodes
    }

    /// Sets the deployment's bound and the most nodes that were ever seen at once.
    pub(crate) fn share(&mut self, bound: WarmUpBound, nodes: usize, now_us: u64) {
        self.bound = bound;
        self.nodes = nodes;
        self.started_at_us.get_or_insert(now_us);
    }

    /// Sets the requests a second that a cold upstream of each service bears.
    pub(crate) fn set_rates(&mut self, rates_per_s: HashMap<Name, f64>) {
        self.rates_per_s = rates_per_s;
    }

    /// Whether an upstream is cold and this node has no draw for it that is left.
    pub(crate) fn withholds(&self, key: UpstreamKey, state: &UpstreamState, now_us: u64) -> bool {
        if !state.is_cold(now_us) {
            return false;
        }
        let Some(probability) = self.probability(&state.record.service) else {
            return false;
        };
        let spent = state.cold_slot_spent == Some(self.slot(now_us));
        spent || !self.is_settled(now_us) || !self.is_drawn(key, probability, now_us)
    }

    /// Uses up this slot's draw for an upstream, if that is cold.
    pub(crate) fn spend(&self, state: &mut UpstreamState, now_us: u64) {
        if state.is_cold(now_us) {
            state.cold_slot_spent = Some(self.slot(now_us));
        }
    }
}

/// The rate of draws of the whole fleet for one cold upstream, in requests a second: no more than it bears, and so few that the bound
/// holds though a slot's draws wait for a burst.
fn used_per_s(rate_per_s: f64, bound: &WarmUpBound) -> f64 {
    let most = rate_per_s * bound.overshoot + bound.slack;
    // The mean m of a Poisson distribution with m + deviations * sqrt(m) = most.
    let root = (DEVIATIONS.mul_add(DEVIATIONS, 4.0 * most).sqrt() - DEVIATIONS) / 2.0;
    let seconds = 1.0 + SLOT_US as f64 / US_PER_S as f64;
    (root * root / seconds).min(rate_per_s)
}

/// A hash of a number: the finalizer of SplitMix64.
fn mixed(number: u64) -> u64 {
    let number = number.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let number = (number ^ (number >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let number = (number ^ (number >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    number ^ (number >> 31)
}

/// A hash as a number from 0 to 1.
fn unit(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}
