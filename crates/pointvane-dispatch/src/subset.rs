//! Subsetting: the part of a large service's upstreams that a node uses first.
//!
//! A node that spread its requests over hundreds of upstreams would use each so rarely that its connection there had
//! been closed and its load report was old. So each node has a subset, drawn at random for its life: upstreams of its own
//! data centre, then some of others, and for each request a few that are drawn anew, which lets it find better ones.
//! Nodes draw differently, so that each upstream is in the subsets of some nodes. Services no larger than the subset are
//! not affected. Tests: `a_node_turns_to_few_upstreams_of_a_large_service_and_to_each_once_in_a_while`,
//! `all_upstreams_of_a_large_service_are_preferred_by_some_nodes_and_none_by_too_many`.

use {
    crate::upstream_key::UpstreamKey,
    rand::{rngs::SmallRng, seq::IndexedRandom},
};

/// Upstreams of the node's own data centre in a subset. Not measured apart from [`SUBSET_MAX`].
const NEAR_MAX: usize = 24;
/// Upstreams in a subset.
///
/// 16 scored slightly less on grown Heatline: 0.764 against 0.766 (quiet-1) and 0.846 against 0.849 (scale-1)
/// (docs/MEASUREMENTS.md, "The round on NEWS-24").
pub(crate) const SUBSET_MAX: usize = 32;
/// Upstreams beside the subset that are drawn anew for each request.
///
/// 8 scored less on grown Heatline: 0.759 and 0.841 (docs/MEASUREMENTS.md, as above).
const DRAWN: usize = 2;

/// An upstream's position in the node's random order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    draw: u64,
    key: UpstreamKey,
}

/// The upstreams of one service, in this node's random order.
#[derive(Clone, Debug, Default)]
pub struct ServiceUpstreams {
    near: Vec<Position>,
    far: Vec<Position>,
}

impl ServiceUpstreams {
    /// Adds an upstream at the position that `draw` gives it.
    pub fn add(&mut self, key: UpstreamKey, near: bool, draw: u64) {
        let places = if near { &mut self.near } else { &mut self.far };
        let place = Position { draw, key };
        let index = places.partition_point(|other| *other < place);
        places.insert(index, place);
    }

    /// Takes an upstream out.
    pub fn remove(&mut self, key: UpstreamKey) {
        self.near.retain(|place| place.key != key);
        self.far.retain(|place| place.key != key);
    }

    /// Number of upstreams.
    pub fn len(&self) -> usize {
        self.near.len() + self.far.len()
    }

    /// All upstreams, those near first.
    pub fn keys(&self) -> impl Iterator<Item = UpstreamKey> {
        self.near.iter().chain(&self.far).map(|place| place.key)
    }

    /// The upstreams to rank for one request, out of those that are usable.
    pub fn subset(&self, usable: impl Fn(UpstreamKey) -> bool, rng: &mut SmallRng) -> Vec<UpstreamKey> {
        let usable_place = |place: &&Position| usable(place.key);
        let near = self.near.iter().filter(usable_place).take(NEAR_MAX);
        let mut subset: Vec<UpstreamKey> = near.map(|place| place.key).collect();
        let room = SUBSET_MAX - subset.len();
        subset.extend(self.far.iter().filter(usable_place).take(room).map(|place| place.key));
        let rest = SUBSET_MAX.saturating_sub(subset.len());
        let more = self.near.iter().filter(usable_place).skip(NEAR_MAX).take(rest);
        subset.extend(more.map(|place| place.key));
        self.draw_others(&mut subset, usable, rng);
        subset
    }

    /// Adds some that are drawn anew.
    fn draw_others(
        &self,
        subset: &mut Vec<UpstreamKey>,
        usable: impl Fn(UpstreamKey) -> bool,
        rng: &mut SmallRng,
    ) {
        if self.near.len() + self.far.len() <= subset.len() {
            return;
        }
        for place in
            [&self.near, &self.far].into_iter().flat_map(|places| places.choose_multiple(rng, DRAWN / 2))
        {
            if usable(place.key) && !subset.contains(&place.key) {
                subset.push(place.key);
            }
        }
    }
}
