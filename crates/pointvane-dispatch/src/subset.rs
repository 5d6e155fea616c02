//! Subsetting: the part of a large service's upstreams that a node prefers.
//!
//! A node that spread its requests over hundreds of upstreams would use each so rarely that its connection
//! would have been closed and its load report would be old. Each node therefore uses a random subset that
//! stays the same for one incarnation of the process: upstreams of its own data centre, then some of others.
//! For each request a few random upstreams are added, so that better ones can be found. Nodes choose
//! different subsets, so that each upstream is in the subsets of some nodes. Services no larger than the
//! subset are not affected. Tests: `most_requests_to_a_large_service_go_to_few_upstreams_and_some_to_each`,
//! `all_upstreams_of_a_large_service_are_preferred_by_some_nodes_and_none_by_too_many`.

use {
    crate::upstream_key::UpstreamKey,
    rand::{rngs::SmallRng, seq::IndexedRandom},
};

/// Maximum number of upstreams of the node's own data centre in a subset, while there are others.
const NEAR_MAX: usize = 24;
/// Maximum number of upstreams in a subset.
pub(crate) const SUBSET_MAX: usize = 32;
/// Random upstreams added to the subset for each request, half of them from the node's own data centre.
const RANDOM_ADDED: usize = 2;

/// An upstream's position in the node's random order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    draw: u64,
    key: UpstreamKey,
}

/// The upstreams of one service, in this node's random order.
#[derive(Clone, Debug, Default)]
pub struct ServiceUpstreams {
    /// Upstreams of the node's own data centre.
    near: Vec<Position>,
    /// Upstreams of other data centres.
    far: Vec<Position>,
}

impl ServiceUpstreams {
    /// Adds an upstream; the random number `draw` determines its position in the order.
    pub fn add(&mut self, key: UpstreamKey, near: bool, draw: u64) {
        let positions = if near { &mut self.near } else { &mut self.far };
        let position = Position { draw, key };
        let index = positions.partition_point(|other| *other < position);
        positions.insert(index, position);
    }

    /// Removes an upstream.
    pub fn remove(&mut self, key: UpstreamKey) {
        self.near.retain(|position| position.key != key);
        self.far.retain(|position| position.key != key);
    }

    /// Number of upstreams.
    pub fn len(&self) -> usize {
        self.near.len() + self.far.len()
    }

    /// All upstreams, those of the node's own data centre first.
    pub fn keys(&self) -> impl Iterator<Item = UpstreamKey> {
        self.near.iter().chain(&self.far).map(|position| position.key)
    }

    /// The upstreams to rank for one request: the subset of the usable ones, and a few random others.
    pub fn subset(&self, usable: impl Fn(UpstreamKey) -> bool, rng: &mut SmallRng) -> Vec<UpstreamKey> {
        let is_usable = |position: &&Position| usable(position.key);
        let near = self.near.iter().filter(is_usable).take(NEAR_MAX);
        let mut subset: Vec<UpstreamKey> = near.map(|position| position.key).collect();
        let far_max = SUBSET_MAX - subset.len();
        subset.extend(self.far.iter().filter(is_usable).take(far_max).map(|position| position.key));
        let unfilled = SUBSET_MAX.saturating_sub(subset.len());
        let more_near = self.near.iter().filter(is_usable).skip(NEAR_MAX).take(unfilled);
        subset.extend(more_near.map(|position| position.key));
        self.add_random(&mut subset, usable, rng);
        subset
    }

    /// Adds upstreams drawn at random for this request.
    fn add_random(
        &self,
        subset: &mut Vec<UpstreamKey>,
        usable: impl Fn(UpstreamKey) -> bool,
        rng: &mut SmallRng,
    ) {
        if self.near.len() + self.far.len() <= subset.len() {
            return;
        }
        for position in [&self.near, &self.far]
            .into_iter()
            .flat_map(|positions| positions.choose_multiple(rng, RANDOM_ADDED / 2))
        {
            if usable(position.key) && !subset.contains(&position.key) {
                subset.push(position.key);
            }
        }
    }
}
