//! Broadcast by forwarding: how one node reaches all others though it sends to few.
//!
//! Nodes are ordered by their hashes. The sender cuts the order into ranges of about equal size and sends to one node
//! drawn from each, which forwards to its range in the same way. Nodes that know of different members cut differently,
//! but a range contains whoever is in it, so only members that some nodes do not know can be missed. Nodes are drawn anew
//! for each broadcast, so a forwarder that fails is seldom drawn twice. Tests: `tests/fan_out.rs`.

use {
    rand::{rngs::SmallRng, seq::IndexedRandom},
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, net::SocketAddr},
};

/// Nodes that one node sends to in a large fleet. Worked out, not measured: see docs/CAPACITY.md.
pub const FAN_OUT: usize = 12;
/// Other nodes up to which the first sender sends to all itself.
///
/// Forwarding at every size was worse on grown Heatline: 0.757 and 0.751 in place of 0.766 and 0.760
/// (docs/MEASUREMENTS.md, "The round on NEWS-24").
pub const DIRECT_MAX: usize = 150;

/// How many nodes one node sends to in a fleet with so many others.
pub fn fan_out(others: usize) -> usize {
    if others <= DIRECT_MAX { DIRECT_MAX } else { FAN_OUT }
}

/// The position of a node in the order: those of one data centre are neighbours, so that few datagrams cross between
/// data centres.
pub fn broadcast_position(data_centre: u64, name: u64) -> u64 {
    /// Leading bits that tell data centres apart; the rest tells nodes apart.
    const CENTRE_BITS: u32 = 16;
    (data_centre >> (u64::BITS - CENTRE_BITS) << (u64::BITS - CENTRE_BITS)) | (name >> CENTRE_BITS)
}

/// A range of the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The first hash in it.
    pub first: u64,
    /// The last hash in it.
    pub last: u64,
}

impl Segment {
    /// The whole order.
    pub const ALL: Self = Self { first: 0, last: u64::MAX };
    /// The range that takes the most bytes in a datagram.
    pub const LONGEST: Self = Self { first: u64::MAX, last: u64::MAX };
    /// No range: the datagram is not forwarded.
    pub const NONE: Self = Self { first: 1, last: 0 };

    /// What is left on both sides of a position.
    fn without(self, position: u64) -> Vec<Self> {
        if !(self.first..=self.last).contains(&position) {
            return vec![self];
        }
        let before = position.checked_sub(1).map(|last| Self { first: self.first, last });
        let behind = position.checked_add(1).map(|first| Self { first, last: self.last });
        before.into_iter().chain(behind).filter(|side| side.first <= side.last).collect()
    }
}

/// A node in the order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OrderedNode<T> {
    /// Its position.
    pub hash: u64,
    /// The node.
    pub node: T,
}

/// A node that is sent to, and the range that it forwards to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Forwarder<T> {
    /// The node.
    pub node: T,
    /// Its range; there may be no other node in it.
    pub segment: Segment,
}

/// The nodes to send to so that all of `nodes` in a segment are reached, by a sender at position `own`.
///
/// No range contains the sender, so nothing comes back to it and ranges shrink with each step.
pub fn forwarders<T: Copy>(
    segment: Segment,
    own: u64,
    nodes: &mut [OrderedNode<T>],
    fan_out: usize,
    rng: &mut SmallRng,
) -> Vec<Forwarder<T>> {
    nodes.sort_unstable_by_key(|node| node.hash);
    let within = |side: &Segment| {
        let first = nodes.partition_point(|node| node.hash < side.first);
        let last = nodes.partition_point(|node| node.hash <= side.last);
        &nodes[first..last.max(first)]
    };
    let sides = segment.without(own);
    let total: usize = sides.iter().map(|side| within(side).len()).sum();
    if fan_out == DIRECT_MAX {
        let direct = sides.iter().flat_map(within);
        return direct.map(|other| Forwarder { node: other.node, segment: Segment::NONE }).collect();
    }
    let mut forwarders = Vec::new();
    for (index, side) in sides.iter().enumerate() {
        let nodes = within(side);
        let room = fan_out - forwarders.len() - usize::from(index + 1 < sides.len());
        let share = (fan_out * nodes.len()).div_ceil(total.max(1));
        cut(*side, nodes, share.clamp(1, room.max(1)), rng, &mut forwarders);
    }
    forwarders
}

/// Cuts a side into ranges and draws a node from each.
fn cut<T: Copy>(
    side: Segment,
    nodes: &[OrderedNode<T>],
    ranges_max: usize,
    rng: &mut SmallRng,
    forwarders: &mut Vec<Forwarder<T>>,
) {
    let parts = ranges_max.min(nodes.len());
    let part = |index: usize| &nodes[index * nodes.len() / parts..(index + 1) * nodes.len() / parts];
    for index in 0..parts {
        // A range ends where the next begins, so that no node falls between two, whoever knows of it.
        let first = if index == 0 { side.first } else { part(index)[0].hash };
        let last = if index + 1 == parts { side.last } else { part(index + 1)[0].hash - 1 };
        let drawn = part(index).choose(rng).map(|drawn| drawn.node);
        forwarders.extend(drawn.map(|node| Forwarder { node, segment: Segment { first, last } }));
    }
}

/// The latest broadcast received from each origin, so that an older one that comes late is ignored.
#[derive(Clone, Debug, Default)]
pub struct ReceivedRounds {
    by_origin: HashMap<SocketAddr, Received>,
}

#[derive(Clone, Copy, Debug)]
struct Received {
    round: u64,
    at_us: u64,
}

/// Time without a broadcast after which an origin may begin anew, as after a restart under an earlier clock. Not measured.
const FORGOTTEN_AFTER_US: u64 = 2_000_000;

impl ReceivedRounds {
    /// Whether a broadcast is newer than those received from its origin; takes note of it.
    pub fn is_new(&mut self, origin: SocketAddr, round: u64, now_us: u64) -> bool {
        self.by_origin.retain(|_, last| now_us.saturating_sub(last.at_us) < FORGOTTEN_AFTER_US);
        let new = self.by_origin.get(&origin).is_none_or(|last| round > last.round);
        if new {
            self.by_origin.insert(origin, Received { round, at_us: now_us });
        }
        new
    }
}
