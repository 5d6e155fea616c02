//! A word that few are told by each reaches all.

use {
    googletest::prelude::*,
    pointvane_dispatch::{
        FAN_OUT, Forwarder, OrderedNode, ReceivedRounds, Segment, broadcast_position, fan_out, forwarders,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::collections::BTreeMap,
};

const S: u64 = 1_000_000;

/// A fleet in which node `0` tells; gives how often each was told, and how many the busiest told.
struct Told {
    times: BTreeMap<usize, usize>,
    busiest: usize,
    hops: usize,
}

/// Plays one word; `knows` tells whether a node knows of another, `works` whether it passes words on.
fn tell(
    hashes: &[u64],
    knows: impl Fn(usize, usize) -> bool,
    works: impl Fn(usize) -> bool,
    fan_out: usize,
    rng: &mut SmallRng,
) -> Told {
    let mut told = Told { times: BTreeMap::new(), busiest: 0, hops: 0 };
    let mut tellers = vec![Forwarder { node: 0, segment: Segment::ALL }];
    while !tellers.is_empty() {
        let mut next = Vec::new();
        for Forwarder { node, segment } in tellers {
            let others =
                (0..hashes.len()).filter(|other| *other != node && *other != 0 && knows(node, *other));
            let mut others: Vec<_> = others.map(|node| OrderedNode { hash: hashes[node], node }).collect();
            let forwarders = forwarders(segment, hashes[node], &mut others, fan_out, rng);
            told.busiest = told.busiest.max(forwarders.len());
            for delegate in forwarders {
                *told.times.entry(delegate.node).or_default() += 1;
                if works(delegate.node) {
                    next.push(delegate);
                }
            }
        }
        told.hops += usize::from(!next.is_empty());
        assert!(told.hops < 20, "a word goes round");
        tellers = next;
    }
    told
}

fn hashes(nodes: usize, rng: &mut SmallRng) -> Vec<u64> {
    (0..nodes).map(|_| rng.random()).collect()
}

#[gtest]
fn each_node_is_told_once_in_few_hops_by_nodes_that_tell_few() {
    let mut rng = SmallRng::seed_from_u64(1);
    for (nodes, hops) in [(1, 0), (2, 1), (13, 1), (14, 2), (18, 2), (142, 3), (1_800, 4)] {
        let hashes = hashes(nodes, &mut rng);
        let told = tell(&hashes, |_, _| true, |_| true, FAN_OUT, &mut rng);
        expect_that!(told.times.len(), eq(nodes - 1), "{nodes} nodes");
        expect_that!(told.times.values().all(|times| *times == 1), eq(true), "{nodes} nodes");
        expect_that!(told.busiest, le(FAN_OUT));
        expect_that!(told.hops, le(hops), "{nodes} nodes");
    }
}

#[gtest]
fn a_small_fleet_is_told_directly() {
    let mut rng = SmallRng::seed_from_u64(4);
    let hashes = hashes(142, &mut rng);
    let told = tell(&hashes, |_, _| true, |_| true, fan_out(141), &mut rng);
    expect_that!(told.times.len(), eq(141));
    expect_that!(told.hops, eq(1));
    expect_that!(fan_out(1_799), eq(FAN_OUT));
}

#[gtest]
fn nodes_of_one_data_centre_stand_together() {
    let mut rng = SmallRng::seed_from_u64(5);
    let (one, two): (u64, u64) = (rng.random(), rng.random());
    let mut places: Vec<(u64, u64)> = (0..200)
        .map(|number| if number % 2 == 0 { one } else { two })
        .map(|centre| (broadcast_position(centre, rng.random()), centre))
        .collect();
    places.sort_unstable();
    let changes = places.windows(2).filter(|pair| pair[0].1 != pair[1].1).count();
    expect_that!(changes, eq(1));
}

#[gtest]
fn nodes_that_know_of_different_members_still_reach_all_that_everybody_knows() {
    let mut rng = SmallRng::seed_from_u64(2);
    for _ in 0..100 {
        let hashes = hashes(150, &mut rng);
        // Each node knows of another set of those with the last ten numbers.
        let salt = u64::from(rng.random::<u32>());
        let knows = |node: usize, other: usize| {
            other < 140 || !(node as u64 * 31 + other as u64 + salt).is_multiple_of(3)
        };
        let told = tell(&hashes, knows, |_| true, FAN_OUT, &mut rng);
        expect_that!((1..140).all(|node| told.times.contains_key(&node)), eq(true));
    }
}

#[gtest]
fn a_few_words_reach_all_though_a_tenth_of_the_nodes_pass_nothing_on() {
    let mut rng = SmallRng::seed_from_u64(3);
    for _ in 0..50 {
        let hashes = hashes(142, &mut rng);
        let mut reached: BTreeMap<usize, usize> = BTreeMap::new();
        // Two sentinels speak four times within the life of a lease.
        for _ in 0..8 {
            let told = tell(&hashes, |_, _| true, |node| node % 10 != 5, FAN_OUT, &mut rng);
            told.times.keys().for_each(|node| *reached.entry(*node).or_default() += 1);
        }
        expect_that!(reached.len(), eq(141));
    }
}

#[gtest]
fn an_old_word_that_comes_late_counts_no_more() {
    let (one, two) = ("10.0.0.1:7660".parse().unwrap(), "10.0.0.2:7660".parse().unwrap());
    let mut heard = ReceivedRounds::default();
    expect_that!(heard.is_new(one, 5, S), eq(true));
    expect_that!(heard.is_new(one, 5, S), eq(false), "by another way");
    expect_that!(heard.is_new(one, 4, S), eq(false), "from a node that was frozen");
    expect_that!(heard.is_new(two, 4, S), eq(true));
    expect_that!(heard.is_new(one, 6, 2 * S), eq(true));
    expect_that!(heard.is_new(one, 1, 3 * S), eq(false));
    expect_that!(heard.is_new(one, 1, 5 * S), eq(true), "it was started anew");
}
