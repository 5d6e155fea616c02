//! The requests that a fleet sends to a cold upstream: within the deployment's bound, and a large part of
//! the allowed rate.

mod common;

use {
    common::record,
    googletest::prelude::*,
    pointvane_core::UpstreamRecord,
    pointvane_dispatch::{
        AllowedRegions, CandidateCriteria, Ineligible, Pool, RankingOptions, UpstreamKey, WarmUpBound,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::collections::HashMap,
};

const MS: u64 = 1_000;
const S: u64 = 1_000_000;
const STEP_US: u64 = 10 * MS;
const BOUND: WarmUpBound = WarmUpBound { overshoot: 1.5, slack: 8.0 };
/// Start of the simulation: nodes have run for long enough to send to cold upstreams.
const BEGIN_US: u64 = 2 * S;

/// A fleet whose nodes all know the same cold upstream.
struct Fleet {
    nodes: Vec<(Pool, UpstreamKey)>,
}

fn cold_record(left_ms: u64) -> UpstreamRecord {
    UpstreamRecord { warm_up_left_ms: left_ms, ..record("a", 1) }
}

impl Fleet {
    fn new(nodes: usize, rate_per_s: f64, left_ms: u64, seed: u64) -> Self {
        let node = |number: usize| {
            let seed = seed * 10_000 + number as u64;
            let mut pool = Pool::new(RankingOptions::default(), "one".into(), seed);
            pool.set_warm_up_bound(BOUND, nodes, 0);
            pool.set_warm_up_rates(HashMap::from([("dispatch".into(), rate_per_s)]));
            pool.upsert(cold_record(0), 0);
            let criteria = CandidateCriteria {
                priority: 0,
                tried: &[],
                body_bytes: 0,
                count: 1,
                regions: &AllowedRegions::ANY,
            };
            let key = pool.candidates(&"dispatch".into(), &criteria, 0)[0];
            pool.record_warm_up(key, left_ms, BEGIN_US);
            (pool, key)
        };
        Self { nodes: (0..nodes).map(node).collect() }
    }

    /// Lets each node try to send at a rate that may vary over time; returns the times of the requests sent.
    fn run(&mut self, rate_per_s: impl Fn(u64) -> f64, for_us: u64, seed: u64) -> Vec<u64> {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut sent_us = Vec::new();
        for now_us in (BEGIN_US..BEGIN_US + for_us).step_by(STEP_US as usize) {
            let probability = rate_per_s(now_us - BEGIN_US) * STEP_US as f64 / S as f64;
            for (pool, key) in &mut self.nodes {
                if rng.random_bool(probability.min(1.0)) && pool.begin_send(*key, now_us).is_ok() {
                    sent_us.push(now_us);
                }
            }
        }
        sent_us
    }
}

/// The largest number of requests in any second.
fn max_in_a_second(sent_us: &[u64]) -> usize {
    let in_second = |first: &u64| sent_us.iter().filter(|at| (*first..*first + S).contains(at)).count();
    sent_us.iter().map(in_second).max().unwrap_or_default()
}

/// Request rate of one node: low for two seconds, then a thousand times as high.
fn burst(since_us: u64) -> f64 {
    if since_us < 2 * S { 0.05 } else { 50.0 }
}

#[gtest]
fn a_fleet_keeps_the_bound_of_a_cold_upstream_in_a_burst() {
    for nodes in [20, 120, 472] {
        for rate_per_s in [1.0, 2.0, 4.5, 10.0, 20.0] {
            for seed in 0..10 {
                let sent_us = Fleet::new(nodes, rate_per_s, 8_000, seed).run(burst, 6 * S, seed);
                let max_per_s = (rate_per_s * BOUND.overshoot + BOUND.slack) as usize;
                let case = format!("{nodes} nodes, {rate_per_s} a second, seed {seed}");
                expect_that!(max_in_a_second(&sent_us), le(max_per_s), "{case}");
            }
        }
    }
}

/// With hundreds of nodes, a share is about a hundredth of a request per second; rounded down, a cold
/// upstream would get no requests at all.
#[gtest]
fn small_shares_are_not_rounded_down_to_zero() {
    for nodes in [20, 120, 472, 1_800] {
        let mut sent = 0;
        for seed in 0..5 {
            sent += Fleet::new(nodes, 4.5, 10_000, seed).run(|_| 50.0, 8 * S, seed).len();
        }
        let per_s = sent as f64 / (5.0 * 8.0);
        expect_that!(per_s, all!(ge(2.5), le(4.5)), "{nodes} nodes");
    }
}

#[gtest]
fn a_node_that_has_just_started_sends_nothing_to_cold_upstreams() {
    let mut pool = Pool::new(RankingOptions::default(), "one".into(), 1);
    pool.set_warm_up_bound(BOUND, 20, 0);
    pool.set_warm_up_rates(HashMap::from([("dispatch".into(), 20_000.0)]));
    pool.upsert(record("b", 1), 0);
    let criteria =
        CandidateCriteria { priority: 0, tried: &[], body_bytes: 0, count: 1, regions: &AllowedRegions::ANY };
    let key = pool.candidates(&"dispatch".into(), &criteria, 0)[0];
    pool.record_warm_up(key, 5_000, 0);
    expect_that!(pool.begin_send(key, S), err(eq(Ineligible::Cold)));
    expect_that!(pool.no_upstream_reason(&"dispatch".into(), &criteria, S), eq(Ineligible::Cold));
}

#[gtest]
fn an_upstream_that_is_cold_again_is_withheld_and_a_warm_one_is_not() {
    let mut fleet = Fleet::new(120, 1.0, 3_000, 1);
    let while_cold = fleet.run(|_| 50.0, 3 * S, 1).len();
    expect_that!(while_cold, le(12));
    for (pool, key) in &mut fleet.nodes {
        expect_that!(pool.begin_send(*key, BEGIN_US + 3 * S), ok(()), "warmed up");
        pool.record_warm_up(*key, 3_000, BEGIN_US + 4 * S);
    }
    let again = fleet.nodes.iter_mut().filter(|(pool, key)| pool.eligibility(*key, BEGIN_US + 5 * S).is_ok());
    expect_that!(again.count(), le(9));
}

#[gtest]
fn services_without_a_rate_are_not_limited() {
    let mut pool = Pool::new(RankingOptions::default(), "one".into(), 1);
    pool.upsert(cold_record(9_000), 0);
    let criteria =
        CandidateCriteria { priority: 0, tried: &[], body_bytes: 0, count: 1, regions: &AllowedRegions::ANY };
    let key = pool.candidates(&"dispatch".into(), &criteria, 0)[0];
    (0..50).for_each(|_| expect_that!(pool.begin_send(key, 100), ok(())));
}

/// Two alternatives to draws, for comparison.
mod alternatives {
    use super::*;

    /// Token bucket: each node accumulates its share of the rate in a bucket of one request.
    pub struct Tokens(Vec<f64>);

    impl Tokens {
        pub fn new(nodes: usize, rng: &mut SmallRng) -> Self {
            Self((0..nodes).map(|_| rng.random()).collect())
        }

        pub fn may_send(&mut self, node: usize) -> bool {
            let has_token = self.0[node] >= 1.0;
            self.0[node] -= f64::from(has_token);
            has_token
        }

        pub fn refill(&mut self, rate_per_s: f64, elapsed_us: u64) {
            let share = rate_per_s / self.0.len() as f64 * elapsed_us as f64 / S as f64;
            self.0.iter_mut().for_each(|tokens| *tokens = (*tokens + share).min(1.0));
        }
    }

    /// Thinning: each node sends with the probability that follows from the requests offered to the whole
    /// fleet in the last half second, which all nodes are assumed to know without delay.
    #[derive(Default)]
    pub struct Thinning(Vec<u64>);

    impl Thinning {
        pub fn may_send(&mut self, rate_per_s: f64, now_us: u64, rng: &mut SmallRng) -> bool {
            let since_us = now_us.saturating_sub(S / 2);
            self.0.retain(|at| *at >= since_us);
            // Requests of the current step are not yet known to the nodes.
            let offered_per_s = 2.0 * self.0.iter().filter(|at| **at < now_us).count() as f64;
            self.0.push(now_us);
            rng.random_bool((rate_per_s / offered_per_s.max(rate_per_s)).clamp(0.0, 1.0))
        }
    }
}

/// Simulates 120 nodes that ask `may_send` before each request to a cold upstream. Returns the largest number
/// of requests in any second, and the total.
fn simulate(mut may_send: impl FnMut(usize, u64, &mut SmallRng) -> bool, seed: u64) -> (usize, usize) {
    const NODES: usize = 120;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut sent_us = Vec::new();
    for now_us in (BEGIN_US..BEGIN_US + 10 * S).step_by(STEP_US as usize) {
        // Low for eight seconds, then a burst.
        let rate_per_s = if now_us < BEGIN_US + 8 * S { 0.05 } else { 50.0 };
        for node in 0..NODES {
            if rng.random_bool(rate_per_s * STEP_US as f64 / S as f64) && may_send(node, now_us, &mut rng) {
                sent_us.push(now_us);
            }
        }
    }
    (max_in_a_second(&sent_us), sent_us.len())
}

/// A cold upstream that can take 4.5 requests per second may get 14 in one second. In a burst, accumulated
/// tokens and a probability that lags behind the load exceed that; draws do not.
#[gtest]
fn draws_keep_the_bound_in_a_burst_and_the_alternatives_do_not() {
    const RATE_PER_S: f64 = 4.5;
    let max_per_s = (RATE_PER_S * BOUND.overshoot + BOUND.slack) as usize;
    for seed in 0..10 {
        let mut fleet = Fleet::new(120, RATE_PER_S, 12_000, seed);
        let (draws, _) = simulate(
            |node, now_us, _| {
                let (pool, key) = &mut fleet.nodes[node];
                pool.begin_send(*key, now_us).is_ok()
            },
            seed,
        );
        let mut tokens = alternatives::Tokens::new(120, &mut SmallRng::seed_from_u64(seed));
        let mut refilled_us = BEGIN_US;
        let (tokens, _) = simulate(
            |node, now_us, _| {
                tokens.refill(RATE_PER_S, now_us - refilled_us);
                refilled_us = now_us;
                tokens.may_send(node)
            },
            seed,
        );
        let mut thinning = alternatives::Thinning::default();
        let (thinned, _) = simulate(|_, now_us, rng| thinning.may_send(RATE_PER_S, now_us, rng), seed);
        println!("seed {seed}: draws {draws}, tokens {tokens}, thinning {thinned}, bound {max_per_s}");
        expect_that!(draws, le(max_per_s), "seed {seed}");
        expect_that!(tokens, gt(max_per_s), "seed {seed}");
        expect_that!(thinned, gt(max_per_s), "seed {seed}");
    }
}
