//! How one node reaches all others though it sends to few: each that it tells passes the word on in a part of its own.
//!
//! Nodes stand on a line by their hashes. The teller cuts the line into some parts of about equal size and tells one node
//! drawn from each, which does the same with its part. Two nodes that know of different members cut differently, but each
//! part holds whoever stands there, so that only the members in doubt can be missed; a node that fails while it
//! should pass a word on is drawn less likely next time.

use {
    rand::{rngs::SmallRng, seq::IndexedRandom},
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, net::SocketAddr},
};

/// Nodes that one node tells at most in a large fleet.
pub const FAN_OUT: usize = 12;
/// Other nodes up to which a fleet is small: the teller tells all itself, which costs the fewest datagrams on the way.
pub const DIRECT_MAX: usize = 150;

/// How many nodes one node tells in a fleet with so many others.
pub fn fan_out(others: usize) -> usize {
    if others <= DIRECT_MAX { DIRECT_MAX } else { FAN_OUT }
}

/// The place of a node on the line: those of one data centre stand together, so that few words cross between them.
pub fn line_place(data_centre: u64, name: u64) -> u64 {
    const CENTRE_BITS: u32 = 16;
    (data_centre >> (u64::BITS - CENTRE_BITS) << (u64::BITS - CENTRE_BITS)) | (name >> CENTRE_BITS)
}

/// A part of the line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The first hash in it.
    pub first: u64,
    /// The last hash in it.
    pub last: u64,
}

impl Segment {
    /// The whole line.
    pub const ALL: Self = Self { first: 0, last: u64::MAX };
    /// The part whose bytes are the most in a datagram.
    pub const LONGEST: Self = Self { first: u64::MAX, last: u64::MAX };
    /// No part: the word is not passed on.
    pub const NONE: Self = Self { first: 1, last: 0 };

    /// What is left on both sides of a place.
    fn without(self, place: u64) -> Vec<Self> {
        if !(self.first..=self.last).contains(&place) {
            return vec![self];
        }
        let before = place.checked_sub(1).map(|last| Self { first: self.first, last });
        let behind = place.checked_add(1).map(|first| Self { first, last: self.last });
        before.into_iter().chain(behind).filter(|side| side.first <= side.last).collect()
    }
}

/// A node on the line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineNode<T> {
    /// Its place.
    pub hash: u64,
    /// The node.
    pub node: T,
}

/// A node that is told, and the part in which it passes the word on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delegate<T> {
    /// The node.
    pub node: T,
    /// Its part; there may be nobody else in it.
    pub segment: Segment,
}

/// Whom to tell so that all of `nodes` in a segment hear, by a teller that stands at `own` on the line.
///
/// No part holds the teller, so that the word does not come back to it and parts shrink with each hop.
pub fn delegates<T: Copy>(
    segment: Segment,
    own: u64,
    nodes: &mut [LineNode<T>],
    fan_out: usize,
    rng: &mut SmallRng,
) -> Vec<Delegate<T>> {
    nodes.sort_unstable_by_key(|node| node.hash);
    let within = |side: &Segment| {
        let first = nodes.partition_point(|node| node.hash < side.first);
        let last = nodes.partition_point(|node| node.hash <= side.last);
        &nodes[first..last.max(first)]
    };
    let sides = segment.without(own);
    let total: usize = sides.iter().map(|side| within(side).len()).sum();
    if fan_out == DIRECT_MAX {
        let told = sides.iter().flat_map(within);
        return told.map(|told| Delegate { node: told.node, segment: Segment::NONE }).collect();
    }
    let mut delegates = Vec::new();
    for (index, side) in sides.iter().enumerate() {
        let nodes = within(side);
        let room = fan_out - delegates.len() - usize::from(index + 1 < sides.len());
        let share = (fan_out * nodes.len()).div_ceil(total.max(1));
        cut(*side, nodes, share.clamp(1, room.max(1)), rng, &mut delegates);
    }
    delegates
}

/// Cuts a side into parts and draws a node from each.
fn cut<T: Copy>(
    side: Segment,
    nodes: &[LineNode<T>],
    parts_max: usize,
    rng: &mut SmallRng,
    delegates: &mut Vec<Delegate<T>>,
) {
    let parts = parts_max.min(nodes.len());
    let part = |index: usize| &nodes[index * nodes.len() / parts..(index + 1) * nodes.len() / parts];
    for index in 0..parts {
        // Where a part ends the next begins, so that nobody falls between two that know of different nodes.
        let first = if index == 0 { side.first } else { part(index)[0].hash };
        let last = if index + 1 == parts { side.last } else { part(index + 1)[0].hash - 1 };
        let drawn = part(index).choose(rng).map(|drawn| drawn.node);
        delegates.extend(drawn.map(|node| Delegate { node, segment: Segment { first, last } }));
    }
}

/// Which words of each teller were heard, so that an old one that comes late counts no more.
#[derive(Clone, Debug, Default)]
pub struct HeardRounds {
    by_origin: HashMap<SocketAddr, Heard>,
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    round: u64,
    at_us: u64,
}

/// Time without a word after which a teller may begin anew, as after a restart.
const FORGOTTEN_AFTER_US: u64 = 2_000_000;

impl HeardRounds {
    /// Whether a word is newer than those heard from its teller.
    pub fn is_new(&mut self, origin: SocketAddr, round: u64, now_us: u64) -> bool {
        self.by_origin.retain(|_, heard| now_us.saturating_sub(heard.at_us) < FORGOTTEN_AFTER_US);
        let new = self.by_origin.get(&origin).is_none_or(|heard| round > heard.round);
        if new {
            self.by_origin.insert(origin, Heard { round, at_us: now_us });
        }
        new
    }
}
