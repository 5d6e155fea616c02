//! The order in which nodes query each other for a new state, so that it spreads from node to node and no node is queried
//! by all.
//!
//! Each node has a position in the order, from 0 for the first to 1, and queries after a time that grows with it. It queries
//! a node with an earlier position, which has most likely got the state by then. The broadcaster of the new state is
//! queried by the first nodes, and by those whose query failed.

use {
    rand::{rngs::SmallRng, seq::IndexedRandom},
    std::net::SocketAddr,
};

/// How much earlier the position of a node must be that is queried. Not measured: with `spread_ms` it gives that node
/// 60 ms for its own query.
const MARGIN: f64 = 0.2;

/// Time after which a node whose relays are not received any more is no longer the broadcaster, in microseconds. Not measured: as
/// long as a lease ([`crate::ReaderOptions`]).
const BROADCASTER_AGE_MAX_US: u64 = 1_450_000;

/// The node that has read furthest of those whose relays are received.
///
/// Of two watchers one has often read less: a query to it is in vain, and the platform is called in its place
/// (docs/incidents/2026-12-02-late-configurations.md).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Broadcaster {
    /// Where it answers queries.
    pub address: SocketAddr,
    /// How far it has read.
    pub revision: u64,
    /// When its last relay was received, in microseconds of the steady clock.
    pub received_at_us: u64,
}

impl Broadcaster {
    /// This one, whose relay has just been received, unless the one held is still heard and has read further.
    pub fn or_better(self, held: Option<Self>) -> Self {
        let current =
            |held: &Self| self.received_at_us.saturating_sub(held.received_at_us) < BROADCASTER_AGE_MAX_US;
        let better = held.filter(|held| held.address != self.address && held.revision > self.revision);
        better.filter(current).unwrap_or(self)
    }
}

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
