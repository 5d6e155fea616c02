//! In which order nodes ask each other for a new state, so that it spreads from node to node and nobody is asked by
//! all.
//!
//! Each node has a place in the order, from 0 for the first to 1, and asks after a time that grows with it. It asks a
//! node whose place is earlier, and which has therefore most likely been told by then. The node that spoke of the new
//! state is asked by the first ones only, and by those that had no luck.

use rand::{rngs::SmallRng, seq::IndexedRandom};

/// How much earlier the place of a node must be that is asked.
const MARGIN: f64 = 0.2;

/// A node that may be asked.
#[derive(Clone, Copy, Debug)]
pub struct SpreadPeer<T> {
    /// The node.
    pub node: T,
    /// Its place in the order.
    pub order: f64,
    /// Whether it stands in the same data centre.
    pub near: bool,
}

/// A node that asks well before the one at `order`, a near one if there is any; none for the first ones.
pub fn earlier_peer<T: Copy>(
    order: f64,
    peers: impl Iterator<Item = SpreadPeer<T>>,
    rng: &mut SmallRng,
) -> Option<T> {
    let earlier = peers.filter(|peer| peer.order + MARGIN <= order);
    let (near, far): (Vec<_>, Vec<_>) = earlier.partition(|peer| peer.near);
    let usable = if near.is_empty() { far } else { near };
    usable.choose(rng).map(|peer| peer.node)
}

/// The place of a node whose hash is evenly spread.
pub fn spread_order(hash: u64) -> f64 {
    hash as f64 / u64::MAX as f64
}
