//! Tests of the tree broadcast: all nodes are reached although each node sends to few.

use {
    googletest::prelude::*,
    pointvane_dispatch::{
        FAN_OUT, Forwarder, OrderedNode, ReceivedRounds, Segment, broadcast_position, fan_out, forwarders,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::collections::BTreeMap,
};

const S: u64 = 1_000_000;

/// Result of a broadcast by node 0: how often each node received it, the largest number of sends by one node,
/// and the hops taken.
struct Broadcast {
    received: BTreeMap<usize, usize>,
    sends_max: usize,
    hops: usize,
}

/// Simulates one broadcast; `knows` says whether a node has another in its membership view, `forwards`
/// whether a node forwards.
fn broadcast(
    hashes: &[u64],
    knows: impl Fn(usize, usize) -> bool,
    forwards: impl Fn(usize) -> bool,
    fan_out: usize,
    rng: &mut SmallRng,
) -> Broadcast {
    let mut result = Broadcast { received: BTreeMap::new(), sends_max: 0, hops: 0 };
    let mut senders = vec![Forwarder { node: 0, segment: Segment::ALL }];
    while !senders.is_empty() {
        let mut next = Vec::new();
        for Forwarder { node, segment } in senders {
            let others =
                (0..hashes.len()).filter(|other| *other != node && *other != 0 && knows(node, *other));
            let mut others: Vec<_> =
                others.map(|node| OrderedNode { position: hashes[node], node }).collect();
            let forwarders = forwarders(segment, hashes[node], &mut others, fan_out, rng);
            result.sends_max = result.sends_max.max(forwarders.len());
            for forwarder in forwarders {
                *result.received.entry(forwarder.node).or_default() += 1;
                if forwards(forwarder.node) {
                    next.push(forwarder);
                }
            }
        }
        result.hops += usize::from(!next.is_empty());
        assert!(result.hops < 20, "the broadcast loops");
        senders = next;
    }
    result
}

fn hashes(nodes: usize, rng: &mut SmallRng) -> Vec<u64> {
    (0..nodes).map(|_| rng.random()).collect()
}

#[gtest]
fn each_node_receives_a_broadcast_once_within_few_hops_at_bounded_fan_out() {
    let mut rng = SmallRng::seed_from_u64(1);
    for (nodes, hops) in [(1, 0), (2, 1), (13, 1), (14, 2), (18, 2), (142, 3), (1_800, 4)] {
        let hashes = hashes(nodes, &mut rng);
        let result = broadcast(&hashes, |_, _| true, |_| true, FAN_OUT, &mut rng);
        expect_that!(result.received.len(), eq(nodes - 1), "{nodes} nodes");
        expect_that!(result.received.values().all(|received| *received == 1), eq(true), "{nodes} nodes");
        expect_that!(result.sends_max, le(FAN_OUT));
        expect_that!(result.hops, le(hops), "{nodes} nodes");
    }
}

#[gtest]
fn the_origin_sends_directly_in_a_small_fleet() {
    let mut rng = SmallRng::seed_from_u64(4);
    let hashes = hashes(142, &mut rng);
    let result = broadcast(&hashes, |_, _| true, |_| true, fan_out(141), &mut rng);
    expect_that!(result.received.len(), eq(141));
    expect_that!(result.hops, eq(1));
    expect_that!(fan_out(1_799), eq(FAN_OUT));
}

#[gtest]
fn nodes_of_one_data_centre_are_adjacent_in_the_order() {
    let mut rng = SmallRng::seed_from_u64(5);
    let (one, two): (u64, u64) = (rng.random(), rng.random());
    let mut positions: Vec<(u64, u64)> = (0..200)
        .map(|number| if number % 2 == 0 { one } else { two })
        .map(|centre| (broadcast_position(centre, rng.random()), centre))
        .collect();
    positions.sort_unstable();
    let changes = positions.windows(2).filter(|pair| pair[0].1 != pair[1].1).count();
    expect_that!(changes, eq(1));
}

#[gtest]
fn nodes_with_different_membership_views_reach_all_members_known_to_every_node() {
    let mut rng = SmallRng::seed_from_u64(2);
    for _ in 0..100 {
        let hashes = hashes(150, &mut rng);
        // Each node knows a different subset of the last ten nodes.
        let salt = u64::from(rng.random::<u32>());
        let knows = |node: usize, other: usize| {
            other < 140 || !(node as u64 * 31 + other as u64 + salt).is_multiple_of(3)
        };
        let result = broadcast(&hashes, knows, |_| true, FAN_OUT, &mut rng);
        expect_that!((1..140).all(|node| result.received.contains_key(&node)), eq(true));
    }
}

#[gtest]
fn eight_broadcasts_reach_all_nodes_while_a_tenth_do_not_forward() {
    let mut rng = SmallRng::seed_from_u64(3);
    for _ in 0..50 {
        let hashes = hashes(142, &mut rng);
        let mut reached: BTreeMap<usize, usize> = BTreeMap::new();
        // Two watchers each send four relays within a lease.
        for _ in 0..8 {
            let result = broadcast(&hashes, |_, _| true, |node| node % 10 != 5, FAN_OUT, &mut rng);
            result.received.keys().for_each(|node| *reached.entry(*node).or_default() += 1);
        }
        expect_that!(reached.len(), eq(141));
    }
}

#[gtest]
fn rounds_that_are_not_newer_are_ignored_until_the_origin_expires() {
    let (one, two) = ("10.0.0.1:7660".parse().unwrap(), "10.0.0.2:7660".parse().unwrap());
    let mut rounds = ReceivedRounds::default();
    expect_that!(rounds.is_new(one, 5, S), eq(true));
    expect_that!(rounds.is_new(one, 5, S), eq(false), "a duplicate received from another forwarder");
    expect_that!(rounds.is_new(one, 4, S), eq(false), "delayed at a node that was suspended");
    expect_that!(rounds.is_new(two, 4, S), eq(true));
    expect_that!(rounds.is_new(one, 6, 2 * S), eq(true));
    expect_that!(rounds.is_new(one, 1, 3 * S), eq(false));
    expect_that!(rounds.is_new(one, 1, 5 * S), eq(true), "the origin restarted");
}
