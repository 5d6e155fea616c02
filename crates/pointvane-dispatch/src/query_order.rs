//! The order in which nodes query each other for a new state, so that it spreads from node to node and no node is queried
//! by all.
//!
//! Each node has a position in the order, from 0 for the first to 1, and queries after a time that grows with it. It queries
//! a node with an earlier position, which has most likely got the state by then. The broadcaster of the new state is
//! queried by the first nodes, and by those whose query failed.

use rand::{rngs::SmallRng, seq::IndexedRandom};

/// How much earlier the position of a node must be that is queried. Not measured: with `spread_ms` it gives that node
/// 60 ms for its own query.
const MARGIN: f64 = 0.2;

/// A node that may be queried.
#[derive(Clone, Copy, Debug)]
pub struct QueryCandidate<T> {
    /// The node.
    pub node: T,
    /// Its position in the order.
    pub position: f64,
    /// Whether it is in the same data centre.
    pub near: bool,
}

/// A node that queries well before the one at `position`, in the same data centre if there is any; none for the first.
pub fn earlier_peer<T: Copy>(
    position: f64,
    peers: impl Iterator<Item = QueryCandidate<T>>,
    rng: &mut SmallRng,
) -> Option<T> {
    let earlier = peers.filter(|peer| peer.position + MARGIN <= position);
    let (near, far): (Vec<_>, Vec<_>) = earlier.partition(|peer| peer.near);
    let usable = if near.is_empty() { far } else { near };
    usable.choose(rng).map(|peer| peer.node)
}

/// The position of a node whose hash is evenly distributed.
pub fn query_position(hash: u64) -> f64 {
    hash as f64 / u64::MAX as f64
}
