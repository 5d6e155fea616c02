//! The order in which nodes query each other for a new state, so that the load is spread instead of all nodes
//! querying one.
//!
//! Each node has a position between 0 (first) and 1 (last) and delays its query in proportion to it. It
//! queries a node with an earlier position, which most likely has the state by then. The broadcaster of the
//! new state is queried by the first nodes, and by nodes whose query to a peer failed.

use {
    rand::{rngs::SmallRng, seq::IndexedRandom},
    std::net::SocketAddr,
};

/// Minimum difference between the positions of a querying and a queried node. With `spread_ms` it leaves the
/// queried node 60 ms for its own query.
const POSITION_MARGIN: f64 = 0.2;

/// Time since the last relay after which a node is no longer considered the broadcaster, in microseconds.
/// Equal to the lease in [`crate::ReaderOptions`].
const BROADCASTER_AGE_MAX_US: u64 = 1_450_000;

/// The watcher with the highest revision among those whose relays are received.
///
/// Of two watchers, one often lags behind the other. A query to the lagging one returns nothing new, and the
/// platform has to be called instead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Broadcaster {
    /// The address on which it answers queries.
    pub address: SocketAddr,
    /// The platform revision that it has read.
    pub revision: u64,
    /// When its last relay was received, in microseconds of the monotonic clock.
    pub received_at_us: u64,
}

impl Broadcaster {
    /// Returns `self`, whose relay has just been received, unless the previous broadcaster is recent and has
    /// a higher revision.
    pub fn most_advanced(self, previous: Option<Self>) -> Self {
        let is_recent = |previous: &Self| {
            self.received_at_us.saturating_sub(previous.received_at_us) < BROADCASTER_AGE_MAX_US
        };
        let further =
            previous.filter(|previous| previous.address != self.address && previous.revision > self.revision);
        further.filter(is_recent).unwrap_or(self)
    }
}

/// A node that may be queried.
#[derive(Clone, Copy, Debug)]
pub struct QueryCandidate<T> {
    /// The node.
    pub node: T,
    /// Its position in the query order, 0 to 1.
    pub position: f64,
    /// Whether it is in the same data centre.
    pub same_data_centre: bool,
}

/// Selects a random node that queries at least `POSITION_MARGIN` before `position`, preferring the same data
/// centre; none if there is no such node.
pub fn earlier_peer<T: Copy>(
    position: f64,
    peers: impl Iterator<Item = QueryCandidate<T>>,
    rng: &mut SmallRng,
) -> Option<T> {
    let earlier = peers.filter(|peer| peer.position + POSITION_MARGIN <= position);
    let (local, remote): (Vec<_>, Vec<_>) = earlier.partition(|peer| peer.same_data_centre);
    let candidates = if local.is_empty() { remote } else { local };
    candidates.choose(rng).map(|peer| peer.node)
}

/// Maps a uniformly distributed hash of a node to its position in the query order.
pub fn query_position(hash: u64) -> f64 {
    hash as f64 / u64::MAX as f64
}
