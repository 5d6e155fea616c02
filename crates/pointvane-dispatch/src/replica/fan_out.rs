//! Tree broadcast: a node reaches all others through forwarders, with a bounded number of sends per node.
//!
//! Nodes are sorted by a hash. The sender divides the hash space into ranges of about equally many nodes and
//! sends to one randomly selected node of each, which forwards to the rest of its range in the same way.
//! Nodes with different membership views divide the space differently, but ranges are intervals of hashes, so
//! only members that some forwarder does not know can be missed. Forwarders are selected anew for each
//! broadcast, so a failed one rarely blocks the same nodes twice. Tests: `tests/fan_out.rs`.

use {
    rand::{rngs::SmallRng, seq::IndexedRandom},
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, net::SocketAddr},
};

/// Number of nodes that each node sends to when broadcasts are forwarded.
pub const FAN_OUT: usize = 12;
/// Largest number of other nodes to which the origin sends directly, without forwarders.
///
/// Forwarding in fleets of every size gave worse dispatch results than sending directly in small ones.
pub const DIRECT_SEND_MAX: usize = 150;

/// The fan-out in a fleet with the given number of other nodes; [`DIRECT_SEND_MAX`] stands for sending to all
/// of them directly.
pub fn fan_out(others: usize) -> usize {
    if others <= DIRECT_SEND_MAX { DIRECT_SEND_MAX } else { FAN_OUT }
}

/// The position of a node in the broadcast order, from the hashes of its data centre and its name.
///
/// Nodes of one data centre are adjacent, so that few datagrams cross between data centres.
pub fn broadcast_position(data_centre: u64, name: u64) -> u64 {
    /// Leading bits taken from the data centre's hash; the remaining bits come from the node's hash.
    const DATA_CENTRE_BITS: u32 = 16;
    (data_centre >> (u64::BITS - DATA_CENTRE_BITS) << (u64::BITS - DATA_CENTRE_BITS))
        | (name >> DATA_CENTRE_BITS)
}

/// An inclusive range of positions in the broadcast order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The first position in the range.
    pub first: u64,
    /// The last position in the range.
    pub last: u64,
}

impl Segment {
    /// All positions.
    pub const ALL: Self = Self { first: 0, last: u64::MAX };
    /// The range with the longest encoding in a datagram.
    pub const LONGEST: Self = Self { first: u64::MAX, last: u64::MAX };
    /// The empty range: the datagram is not forwarded.
    pub const NONE: Self = Self { first: 1, last: 0 };

    /// The non-empty ranges left and right of a position; the whole range if it does not contain the
    /// position.
    fn excluding(self, position: u64) -> Vec<Self> {
        if !(self.first..=self.last).contains(&position) {
            return vec![self];
        }
        let before = position.checked_sub(1).map(|last| Self { first: self.first, last });
        let after = position.checked_add(1).map(|first| Self { first, last: self.last });
        before.into_iter().chain(after).filter(|subrange| subrange.first <= subrange.last).collect()
    }
}

/// A node and its position in the broadcast order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderedNode<T> {
    /// The position, see [`broadcast_position`].
    pub position: u64,
    /// The node.
    pub node: T,
}

/// A node to send to, and the range that it forwards to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Forwarder<T> {
    /// The node.
    pub node: T,
    /// The range, which may contain no other node.
    pub segment: Segment,
}

/// Selects the nodes that a sender at position `own` sends to, so that all of `nodes` in `segment` are
/// reached.
///
/// The returned ranges exclude the sender, so datagrams never loop back to it and ranges shrink with each
/// hop.
pub fn forwarders<T: Copy>(
    segment: Segment,
    own: u64,
    nodes: &mut [OrderedNode<T>],
    fan_out: usize,
    rng: &mut SmallRng,
) -> Vec<Forwarder<T>> {
    nodes.sort_unstable_by_key(|node| node.position);
    let nodes_in = |subrange: &Segment| {
        let first = nodes.partition_point(|node| node.position < subrange.first);
        let last = nodes.partition_point(|node| node.position <= subrange.last);
        &nodes[first..last.max(first)]
    };
    let subranges = segment.excluding(own);
    let total: usize = subranges.iter().map(|subrange| nodes_in(subrange).len()).sum();
    if fan_out == DIRECT_SEND_MAX {
        let direct = subranges.iter().flat_map(nodes_in);
        return direct.map(|other| Forwarder { node: other.node, segment: Segment::NONE }).collect();
    }
    let mut forwarders = Vec::new();
    for (index, subrange) in subranges.iter().enumerate() {
        let nodes = nodes_in(subrange);
        let remaining = fan_out - forwarders.len() - usize::from(index + 1 < subranges.len());
        let proportional = (fan_out * nodes.len()).div_ceil(total.max(1));
        split_range(*subrange, nodes, proportional.clamp(1, remaining.max(1)), rng, &mut forwarders);
    }
    forwarders
}

/// Splits a subrange into at most `parts_max` parts and selects a random forwarder from each.
fn split_range<T: Copy>(
    subrange: Segment,
    nodes: &[OrderedNode<T>],
    parts_max: usize,
    rng: &mut SmallRng,
    forwarders: &mut Vec<Forwarder<T>>,
) {
    let parts = parts_max.min(nodes.len());
    let part = |index: usize| &nodes[index * nodes.len() / parts..(index + 1) * nodes.len() / parts];
    for index in 0..parts {
        // Ranges are contiguous, so that a node unknown to this sender still falls into one of them.
        let first = if index == 0 { subrange.first } else { part(index)[0].position };
        let last = if index + 1 == parts { subrange.last } else { part(index + 1)[0].position - 1 };
        let chosen = part(index).choose(rng).map(|chosen| chosen.node);
        forwarders.extend(chosen.map(|node| Forwarder { node, segment: Segment { first, last } }));
    }
}

/// The latest broadcast round received from each origin; duplicates and older rounds are ignored.
#[derive(Clone, Debug, Default)]
pub struct ReceivedRounds {
    by_origin: HashMap<SocketAddr, Received>,
}

#[derive(Clone, Copy, Debug)]
struct Received {
    round: u64,
    received_at_us: u64,
}

/// Time without a broadcast after which an origin's round is forgotten, in microseconds. An origin that
/// restarts with a clock set back sends lower round numbers and is accepted again after this time.
const ORIGIN_EXPIRY_US: u64 = 2_000_000;

impl ReceivedRounds {
    /// Whether a round is newer than those received from its origin; if so, records it.
    pub fn is_new(&mut self, origin: SocketAddr, round: u64, now_us: u64) -> bool {
        self.by_origin.retain(|_, last| now_us.saturating_sub(last.received_at_us) < ORIGIN_EXPIRY_US);
        let is_new = self.by_origin.get(&origin).is_none_or(|last| round > last.round);
        if is_new {
            self.by_origin.insert(origin, Received { round, received_at_us: now_us });
        }
        is_new
    }
}
