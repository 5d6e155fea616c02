//! Simulation of a fleet whose nodes all received the same back-off at the same time: load on each upstream
//! when it ends, and time until the service has recovered.

mod common;

use {
    common::record,
    googletest::prelude::*,
    pointvane_core::{UpstreamLoad, UpstreamRecord},
    pointvane_dispatch::{AllowedRegions, CandidateCriteria, Pool, RankingOptions, UpstreamKey, WarmUpBound},
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::IteratorRandom},
};

const MS: u64 = 1_000;
const SERVICE: &str = "dispatch";
/// Back-off that all upstreams request from all nodes, from the start of the simulation.
const BACK_OFF_MS: u64 = 3_000;
/// Simulated time after the end of the back-off.
const SIMULATED_MS: u64 = 3_000;
/// Length of the periods in which arrivals are counted.
const FIRST_PERIOD_MS: u64 = 100;
/// Number of callers that wait for the end of the back-off, as a fraction of the requests per second.
const WAITING_SHARE: f64 = 0.5;
/// Period after their retry time over which these callers return.
const RETURN_SPREAD_MS: u64 = 100;

/// Time after the back-off within which the service must have recovered.
const RECOVERY_MAX_MS: u64 = 1_000;
const SEEDS: u64 = 2;

/// When nodes start sending again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReturnStrategy {
    /// All at the end of the requested time, without a limit on the number of requests.
    AtOnce,
    /// As decided by the pool.
    Spread,
}

/// A service and the fleet that uses it.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    nodes: usize,
    upstreams: usize,
    slots: u32,
    service_time_ms: u64,
    requests_per_s: f64,
}

/// Deployments with 18, 121 and 472 nodes, and one service of the design target: 1,800 nodes, 300
/// services, 250,000 requests per second.
const SCENARIOS: [Scenario; 4] = [
    Scenario { nodes: 18, upstreams: 30, slots: 6, service_time_ms: 240, requests_per_s: 158.0 },
    Scenario { nodes: 121, upstreams: 271, slots: 4, service_time_ms: 330, requests_per_s: 584.0 },
    Scenario { nodes: 472, upstreams: 1_080, slots: 6, service_time_ms: 240, requests_per_s: 4_000.0 },
    Scenario { nodes: 1_800, upstreams: 6, slots: 6, service_time_ms: 25, requests_per_s: 833.0 },
];

/// Results of a simulation.
#[derive(Debug, Default)]
struct Results {
    /// Maximum number of requests that one upstream received in the first [`FIRST_PERIOD_MS`] after the
    /// back-off.
    max_first_period_requests: usize,
    /// Number of requests that found no free slot.
    rejected: usize,
    served: usize,
    offered: usize,
    /// Time after the back-off until upstreams run at least nine tenths of the requests of one period, in
    /// milliseconds.
    recovered_after_ms: Option<u64>,
}

struct Fleet {
    scenario: Scenario,
    strategy: ReturnStrategy,
    pools: Vec<(Pool, Vec<UpstreamKey>)>,
    /// Requests running on each upstream: end time in milliseconds, and sending node.
    running: Vec<Vec<(u64, usize)>>,
}

impl Fleet {
    fn new(scenario: Scenario, strategy: ReturnStrategy, seed: u64) -> Self {
        let node = |number: usize| {
            let mut pool = Pool::new(RankingOptions::default(), "one".into(), seed * 10_000 + number as u64);
            pool.set_warm_up_bound(WarmUpBound { overshoot: 1.0, slack: 0.0 }, scenario.nodes, 0);
            for index in 0..scenario.upstreams {
                let id = format!("u{index:05}");
                pool.upsert(UpstreamRecord { slots: scenario.slots, ..record(&id, 1) }, 0);
            }
            let criteria = CandidateCriteria {
                priority: 0,
                tried: &[],
                body_bytes: 0,
                count: scenario.upstreams,
                regions: &AllowedRegions::ANY,
            };
            let mut keys = pool.candidates(&SERVICE.into(), &criteria, 0);
            keys.sort();
            // A node uses only the upstreams of its subset; they are matched to indices by their identities.
            keys.iter().for_each(|key| {
                if strategy == ReturnStrategy::Spread {
                    pool.record_back_off(*key, BACK_OFF_MS * MS, 0);
                }
            });
            (pool, keys)
        };
        let pools = (0..scenario.nodes).map(node).collect();
        Self { scenario, strategy, pools, running: vec![Vec::new(); scenario.upstreams] }
    }

    fn end_requests(&mut self, now_ms: u64) {
        for (index, running) in self.running.iter_mut().enumerate() {
            let ended: Vec<usize> =
                running.iter().filter(|(at_ms, _)| *at_ms <= now_ms).map(|(_, node)| *node).collect();
            running.retain(|(at_ms, _)| *at_ms > now_ms);
            let remaining = running.len() as u32;
            for node in ended {
                let (pool, keys) = &mut self.pools[node];
                let Some(key) = keys.iter().copied().find(|key| upstream(pool, *key) == Some(index)) else {
                    continue;
                };
                pool.record_return(key, true, now_ms * MS);
                pool.record_load(key, load(remaining, self.scenario.slots), now_ms * MS);
            }
        }
    }

    /// Handles a request that arrives at a node. Returns the index of the upstream that received it, and
    /// whether that upstream runs it.
    fn request(&mut self, node: usize, now_ms: u64) -> Option<(usize, bool)> {
        let (pool, _) = &mut self.pools[node];
        if self.strategy == ReturnStrategy::AtOnce && now_ms < BACK_OFF_MS {
            return None;
        }
        let criteria = CandidateCriteria {
            priority: 0,
            tried: &[],
            body_bytes: 0,
            count: 1,
            regions: &AllowedRegions::ANY,
        };
        let key = *pool.candidates(&SERVICE.into(), &criteria, now_ms * MS).first()?;
        pool.begin_send(key, now_ms * MS).ok()?;
        let index = upstream(pool, key)?;
        let runs = self.running[index].len() < self.scenario.slots as usize;
        pool.get_mut(key)?.request_started();
        pool.get_mut(key)?.request_finished();
        if runs {
            self.running[index].push((now_ms + self.scenario.service_time_ms, node));
        } else {
            pool.record_return(key, false, now_ms * MS);
            pool.record_load(key, load(self.scenario.slots, self.scenario.slots), now_ms * MS);
        }
        Some((index, runs))
    }

    fn run(&mut self, seed: u64) -> Results {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut results = Results::default();
        let mut first_period_requests = vec![0; self.scenario.upstreams];
        let waiting_callers = (self.scenario.requests_per_s * WAITING_SHARE) as usize;
        // Each caller waits until its node's first upstream returns, plus a random delay.
        let mut returns_ms: Vec<(u64, usize)> = (0..waiting_callers)
            .map(|_| {
                let node = rng.random_range(0..self.scenario.nodes);
                let withheld = self.pools[node].0.withheld(&SERVICE.into(), 0, 0);
                let back_in_ms = withheld.and_then(|withheld| withheld.back_in_ms).unwrap_or(BACK_OFF_MS);
                (back_in_ms + rng.random_range(0..RETURN_SPREAD_MS), node)
            })
            .collect();
        returns_ms.sort_unstable();
        let (mut period, mut pending_arrivals) = ((0, 0), 0.0);
        for now_ms in BACK_OFF_MS..BACK_OFF_MS + SIMULATED_MS {
            self.end_requests(now_ms);
            pending_arrivals += self.scenario.requests_per_s / 1e3;
            let mut nodes: Vec<usize> = Vec::new();
            while pending_arrivals >= 1.0 {
                pending_arrivals -= 1.0;
                nodes.extend((0..self.scenario.nodes).choose(&mut rng));
            }
            let due = returns_ms.partition_point(|(at_ms, _)| *at_ms <= now_ms);
            // Returning callers may use any node.
            nodes.extend(returns_ms.drain(..due).filter_map(|_| (0..self.scenario.nodes).choose(&mut rng)));
            for node in nodes {
                results.offered += 1;
                period.0 += 1;
                if let Some((index, runs)) = self.request(node, now_ms) {
                    first_period_requests[index] += usize::from(now_ms < BACK_OFF_MS + FIRST_PERIOD_MS);
                    results.served += usize::from(runs);
                    results.rejected += usize::from(!runs);
                    period.1 += usize::from(runs);
                }
            }
            if (now_ms - BACK_OFF_MS) % FIRST_PERIOD_MS == FIRST_PERIOD_MS - 1 {
                if period.1 * 10 >= period.0 * 9 && results.recovered_after_ms.is_none() {
                    results.recovered_after_ms = Some(now_ms + 1 - BACK_OFF_MS);
                }
                period = (0, 0);
            }
        }
        results.max_first_period_requests = first_period_requests.into_iter().max().unwrap_or_default();
        results
    }
}

fn upstream(pool: &Pool, key: UpstreamKey) -> Option<usize> {
    pool.get(key)?.id().as_str()[1..].parse().ok()
}

fn load(running: u32, slots: u32) -> UpstreamLoad {
    UpstreamLoad { running, waiting: 0, slots, slowdown_percent: 100 }
}

/// Number of requests that an upstream can take in the first period: those that its slots run, and as many
/// waiting as it has slots.
fn capacity(scenario: &Scenario) -> usize {
    let runs = (u64::from(scenario.slots) * FIRST_PERIOD_MS).div_ceil(scenario.service_time_ms) as usize;
    runs.max(scenario.slots as usize) + scenario.slots as usize
}

#[gtest]
fn spread_return_stays_within_capacity_and_service_recovers_soon() {
    for scenario in SCENARIOS {
        for seed in 0..SEEDS {
            let results = Fleet::new(scenario, ReturnStrategy::Spread, seed).run(seed);
            println!("{} nodes, seed {seed}: {results:?}, capacity {}", scenario.nodes, capacity(&scenario));
            expect_that!(
                results.max_first_period_requests,
                le(capacity(&scenario)),
                "{} nodes, seed {seed}",
                scenario.nodes
            );
            let recovered_after_ms = results.recovered_after_ms;
            expect_that!(
                recovered_after_ms,
                some(le(RECOVERY_MAX_MS)),
                "{} nodes, seed {seed}",
                scenario.nodes
            );
        }
    }
}

/// Shows the need for spreading: without it, the largest fleet sends three times the capacity.
#[gtest]
fn simultaneous_return_of_a_large_fleet_exceeds_capacity() {
    let scenario = SCENARIOS[3];
    let results = Fleet::new(scenario, ReturnStrategy::AtOnce, 0).run(0);
    println!("{} nodes at once: {results:?}, capacity {}", scenario.nodes, capacity(&scenario));
    expect_that!(results.max_first_period_requests, gt(capacity(&scenario)));
}
