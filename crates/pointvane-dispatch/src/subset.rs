//! The part of a large service's upstreams that a node turns to first.
//!
//! A node that spread its requests over hundreds of upstreams would meet each so rarely that its connection there had
//! been closed and its word on load was old. So each node prefers some, drawn for its life: near ones, a few others, and
//! for each request some that are drawn anew, by which it notices better ones. Nodes draw differently, so that all
//! upstreams are somebody's.

use {
    crate::pool::UpstreamKey,
    rand::{rngs::SmallRng, seq::IndexedRandom},
};

/// Preferred upstreams in the node's own data centre.
const NEAR_MAX: usize = 24;
/// Preferred upstreams in all.
const PREFERRED_MAX: usize = 32;
/// Upstreams that are drawn anew for each request.
const DRAWN: usize = 2;

/// One upstream's place in a node's order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    draw: u64,
    key: UpstreamKey,
}

/// The upstreams of one service, in the order in which a node prefers them.
#[derive(Clone, Debug, Default)]
pub struct ServiceUpstreams {
    near: Vec<Place>,
    far: Vec<Place>,
}

impl ServiceUpstreams {
    /// Adds an upstream at the place that `draw` gives it.
    pub fn add(&mut self, key: UpstreamKey, near: bool, draw: u64) {
        let places = if near { &mut self.near } else { &mut self.far };
        let place = Place { draw, key };
        let index = places.partition_point(|other| *other < place);
        places.insert(index, place);
    }

    /// Takes an upstream out.
    pub fn remove(&mut self, key: UpstreamKey) {
        self.near.retain(|place| place.key != key);
        self.far.retain(|place| place.key != key);
    }

    /// The upstreams to rank for one request, out of those that are usable.
    pub fn part(&self, usable: impl Fn(UpstreamKey) -> bool, rng: &mut SmallRng) -> Vec<UpstreamKey> {
        let able = |place: &&Place| usable(place.key);
        let near = self.near.iter().filter(able).take(NEAR_MAX);
        let mut part: Vec<UpstreamKey> = near.map(|place| place.key).collect();
        let room = PREFERRED_MAX - part.len();
        part.extend(self.far.iter().filter(able).take(room).map(|place| place.key));
        let rest = PREFERRED_MAX.saturating_sub(part.len());
        let more = self.near.iter().filter(able).skip(NEAR_MAX).take(rest);
        part.extend(more.map(|place| place.key));
        self.draw_others(&mut part, usable, rng);
        part
    }

    /// Adds some that are drawn anew.
    fn draw_others(
        &self,
        part: &mut Vec<UpstreamKey>,
        usable: impl Fn(UpstreamKey) -> bool,
        rng: &mut SmallRng,
    ) {
        if self.near.len() + self.far.len() <= part.len() {
            return;
        }
        for place in
            [&self.near, &self.far].into_iter().flat_map(|places| places.choose_multiple(rng, DRAWN / 2))
        {
            if usable(place.key) && !part.contains(&place.key) {
                part.push(place.key);
            }
        }
    }
}
