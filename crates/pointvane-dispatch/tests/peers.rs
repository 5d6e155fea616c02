//! Which node a request is forwarded to.

use {
    googletest::prelude::*,
    pointvane_core::Name,
    pointvane_dispatch::{PeerCandidate, PeerOutcome, PeerTable},
    rand::{SeedableRng, rngs::SmallRng},
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
    },
};

const MS: u64 = 1_000;
const NOW_US: u64 = 100_000_000;
/// Forwards that one request makes at most.
const TRIES: usize = 8;

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7_665))
}

/// `near` nodes of the own data centre and `far` others.
fn candidates(near: usize, far: usize) -> Vec<PeerCandidate> {
    (0..near + far).map(|number| PeerCandidate { address: address(number), is_near: number < near }).collect()
}

/// Requests of each node that is cut off: those of about a second.
const REQUESTS_PER_NODE: u64 = 60;

struct Node {
    table: PeerTable,
    rng: SmallRng,
    service: Name,
}

impl Node {
    fn new(seed: u64) -> Self {
        Self { table: PeerTable::default(), rng: SmallRng::seed_from_u64(seed), service: "app".into() }
    }

    fn choose(
        &mut self,
        candidates: &[PeerCandidate],
        tried: &[SocketAddr],
        now_us: u64,
    ) -> Option<SocketAddr> {
        self.table.choose(&self.service, candidates.iter().copied(), tried, now_us, &mut self.rng)
    }

    /// Forwards a request until a node accepts it; returns the number of nodes that it took.
    fn forward(
        &mut self,
        candidates: &[PeerCandidate],
        reaches: impl Fn(SocketAddr) -> bool,
        now_us: u64,
    ) -> (usize, Option<SocketAddr>) {
        let mut tried = Vec::new();
        while tried.len() < TRIES
            && let Some(peer) = self.choose(candidates, &tried, now_us)
        {
            tried.push(peer);
            let outcome = if reaches(peer) { PeerOutcome::Accepted } else { PeerOutcome::Declined };
            let service = self.service.clone();
            self.table.record(peer, &service, outcome, now_us);
            if outcome == PeerOutcome::Accepted {
                return (tried.len(), Some(peer));
            }
        }
        (tried.len(), None)
    }
}

#[gtest]
fn nodes_of_the_same_data_centre_come_first() {
    let mut node = Node::new(1);
    let candidates = candidates(3, 20);
    for step in 0..100 {
        let (_, peer) = node.forward(&candidates, |_| true, NOW_US + step * MS);
        expect_that!(candidates[..3].iter().any(|near| Some(near.address) == peer), eq(true));
    }
}

#[gtest]
fn requests_spread_over_the_nodes_that_accept_them() {
    let mut node = Node::new(1);
    let candidates = candidates(6, 6);
    let mut counts: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for step in 0..600 {
        let (_, peer) = node.forward(&candidates, |_| true, NOW_US + step * 10 * MS);
        *counts.entry(peer.unwrap()).or_default() += 1;
    }
    expect_that!(counts.len(), ge(6));
    expect_that!(*counts.values().max().unwrap(), le(250));
}

#[gtest]
fn the_node_with_fewer_requests_in_flight_is_preferred() {
    let mut node = Node::new(1);
    let candidates = candidates(2, 0);
    (0..5).for_each(|_| node.table.started(address(0)));
    let chosen = (0..100).filter(|_| node.choose(&candidates, &[], NOW_US) == Some(address(1))).count();
    expect_that!(chosen, ge(65));
    (0..5).for_each(|_| node.table.finished(address(0)));
    let chosen = (0..100).filter(|_| node.choose(&candidates, &[], NOW_US) == Some(address(0))).count();
    expect_that!(chosen, ge(30));
}

#[gtest]
fn a_request_finds_a_node_outside_its_data_centre_when_that_is_cut_off() {
    for near in [5, 200] {
        let mut node = Node::new(near as u64);
        let candidates = candidates(near, 400);
        for step in 0..50 {
            let (tries, peer) =
                node.forward(&candidates, |peer| peer >= address(near), NOW_US + step * 50 * MS);
            expect_that!(peer, some(anything()), "request {step} of {near} near nodes");
            expect_that!(tries, le(4), "request {step}");
        }
    }
}

#[gtest]
fn most_requests_find_one_of_few_nodes_left_after_a_short_time() {
    for (nodes, left) in [(17, 1), (121, 20), (586, 98), (1_800, 300)] {
        let mut node = Node::new(nodes as u64);
        let candidates = candidates(nodes / 3, nodes - nodes / 3);
        let reaches = |peer: SocketAddr| (0..left).any(|number| peer == address(number * (nodes / left)));
        let (mut served, mut hops) = (0, 0);
        // 50 requests a second for 4 s; those of the first second are not counted.
        for step in 0..200 {
            let (tries, peer) = node.forward(&candidates, reaches, NOW_US + step * 20 * MS);
            if step >= 50 {
                served += usize::from(peer.is_some());
                hops += tries;
            }
        }
        println!("{left} of {nodes} nodes reach the service: {served} of 150 served, {hops} hops");
        expect_that!(served, ge(140), "{left} of {nodes} nodes reach the service");
    }
}

#[gtest]
fn a_node_that_declined_is_asked_again_later() {
    let mut node = Node::new(1);
    let candidates = candidates(1, 0);
    expect_that!(node.forward(&candidates, |_| false, NOW_US), eq((1, None)));
    expect_that!(node.choose(&candidates, &[], NOW_US + 900 * MS), none());
    expect_that!(node.choose(&candidates, &[], NOW_US + 1_100 * MS), some(eq(address(0))));
    // Another service has nothing to do with it.
    let other = node.table.choose(&"b".into(), candidates.iter().copied(), &[], NOW_US, &mut node.rng);
    expect_that!(other, some(eq(address(0))));
}

#[gtest]
fn a_failed_node_is_avoided_for_longer_each_time() {
    let mut node = Node::new(1);
    let candidates = candidates(1, 0);
    let mut avoided_ms = Vec::new();
    let mut now_us = NOW_US;
    for _ in 0..7 {
        let service = node.service.clone();
        node.table.record(address(0), &service, PeerOutcome::Failed, now_us);
        let ms = (0..20_000).find(|ms| node.choose(&candidates, &[], now_us + ms * MS).is_some()).unwrap();
        avoided_ms.push(ms);
        now_us += ms * MS;
    }
    expect_that!(
        avoided_ms,
        elements_are![eq(&500), eq(&1_000), eq(&2_000), eq(&4_000), eq(&8_000), eq(&8_000), eq(&8_000)]
    );
}

#[gtest]
fn no_node_is_tried_twice_for_a_request() {
    let mut node = Node::new(1);
    let candidates = candidates(3, 4);
    let mut tried = Vec::new();
    while let Some(peer) = node.choose(&candidates, &tried, NOW_US) {
        tried.push(peer);
    }
    expect_that!(tried.iter().collect::<BTreeSet<_>>().len(), eq(7));
    expect_that!(tried.len(), eq(7));
}

#[gtest]
fn requests_of_many_cut_off_nodes_spread_over_those_left() {
    for (nodes, left) in [(18, 9), (121, 20), (240, 40)] {
        let mut counts: BTreeMap<SocketAddr, usize> = BTreeMap::new();
        let reaches = |peer: SocketAddr| (0..left).any(|number| peer == address(number * (nodes / left)));
        for sender in 0..nodes - left {
            let mut node = Node::new(sender as u64);
            let candidates = candidates(nodes, 0);
            for step in 0..REQUESTS_PER_NODE {
                let (_, peer) = node.forward(&candidates, reaches, NOW_US + step * 20 * MS);
                peer.into_iter().for_each(|peer| *counts.entry(peer).or_default() += 1);
            }
        }
        let mean = counts.values().sum::<usize>() as f64 / left as f64;
        let busiest = *counts.values().max().unwrap() as f64;
        println!("{left} of {nodes} nodes left: the busiest gets {:.2} times the mean", busiest / mean);
        expect_that!(busiest, le(2.0 * mean));
    }
}
