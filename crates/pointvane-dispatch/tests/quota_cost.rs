//! Cost of fleet-wide quotas: datagrams, bytes and processor time of nodes with many accounts, and requests
//! below the quota that are refused after restarts, partitions and heals.
//!
//! `POINTVANE_QUOTA_COST=all cargo test --release -p pointvane-dispatch --test quota_cost -- --nocapture`
//! prints the tables for every size. `POINTVANE_QUOTA_COST=NODES,ACCOUNTS,OVERLOAD` selects rows, as
//! `586,100,none`: parts may be left out or be `all`; the overload is `none`, `some` or `every` account.

mod quota_simulation;
mod quota_traffic;

use {
    googletest::prelude::*,
    pointvane_core::Quota,
    quota_simulation::{Partition, RunResult, Scenario, WINDOW_US},
    quota_traffic::{Kind, NodeCost, Overload, S, Traffic, Workload},
    std::{collections::VecDeque, env, iter, ops::Range},
};

/// Environment variable that enables the tables: `all`, or the sizes to print.
const COST_ENV: &str = "POINTVANE_QUOTA_COST";
const NODES: [usize; 4] = [18, 94, 586, 1_800];
const ACCOUNTS: [usize; 3] = [5, 100, 5_000];
/// Number of accounts from which fewer seconds are simulated.
const MANY_ACCOUNTS: usize = 1_000;
const OVERLOADS: [Overload; 3] = [Overload::None, Overload::Some, Overload::Every];
/// Bytes that a node may send and receive for control, in bytes per second.
const BUDGET_BYTES_PER_S: f64 = 18_000.0;

/// Rates of the accounts for which refused requests are counted, in requests per second.
const RATES_PER_S: [u64; 5] = [1, 5, 30, 85, 200];
/// Number of runs for which refused requests are counted.
const REFUSAL_SEEDS: u64 = 20;
/// Usual demand of an account, as a fraction of its rate.
const USUAL_LOAD: f64 = 1.0 / 1.6;
/// Time of a restart or of the beginning of a partition.
const EVENT_US: u64 = 10 * S;
/// Time of the end of a partition.
const HEAL_US: u64 = 18 * S;
/// Time after an event within which refused requests are counted.
const AFTER_EVENT_US: u64 = 5 * S;

/// Returns the selected part of the environment variable at a position, `None` if no table is requested.
fn selected(position: usize) -> Option<String> {
    let value = env::var(COST_ENV).ok()?;
    Some(value.split(',').nth(position).unwrap_or("all").to_owned())
}

/// Whether rows with a value at a position of the environment variable are requested.
fn is_selected(position: usize, value: &impl ToString) -> bool {
    selected(position).is_some_and(|selected| selected == "all" || selected == value.to_string())
}

/// Mean and highest value over all nodes, per second.
#[derive(Clone, Copy, Debug)]
struct PerSecond {
    mean: f64,
    worst: f64,
}

impl PerSecond {
    fn of(costs: &[NodeCost], workload: &Workload, value: impl Fn(&NodeCost) -> f64) -> Self {
        let seconds = workload.measured_us as f64 / S as f64;
        let values = || costs.iter().map(|cost| value(cost) / seconds);
        Self { mean: values().sum::<f64>() / costs.len() as f64, worst: values().fold(0.0, f64::max) }
    }

    fn cell(self, unit: f64) -> String {
        format!("{:.1} / {:.1}", self.mean / unit, self.worst / unit)
    }
}

/// Returns the bytes that nodes send and receive.
fn bytes_per_s(costs: &[NodeCost], workload: &Workload) -> PerSecond {
    PerSecond::of(costs, workload, |cost| (cost.sent.bytes + cost.received.bytes) as f64)
}

/// Returns a fleet with the usual durations. Large sizes take minutes of processor time for each simulated
/// second, so fewer seconds are simulated.
fn workload(nodes: usize, accounts: usize, overload: Overload) -> Workload {
    let (warm_up_us, measured_us) = match overload {
        _ if accounts < MANY_ACCOUNTS => (6 * S, 4 * S),
        Overload::None | Overload::Some => (4 * S, S),
        Overload::Every => (3 * S, S / 2),
    };
    Workload { nodes, accounts, overload, warm_up_us, measured_us }
}

fn print_cost(workload: &Workload) {
    let result = quota_traffic::run(workload, 1);
    let per_s = |value: fn(&NodeCost) -> f64| PerSecond::of(&result.nodes, workload, value);
    let node_seconds = workload.nodes as f64 * workload.measured_us as f64 / S as f64;
    let kind = |kind: Kind| {
        let Traffic { datagrams, bytes } = result.sent_by_kind[kind as usize];
        format!("{:.1}, {:.2}", datagrams as f64 / node_seconds, bytes as f64 / node_seconds / 1e3)
    };
    let kinds = [Kind::Report, Kind::Reply, Kind::Broadcast, Kind::Heartbeat].map(kind).join(" | ");
    println!(
        "| {} | {} | {} | {} | {} | {} | {} | {} | {} | {kinds} | {:.4} | {} |",
        workload.nodes,
        workload.accounts,
        workload.overload,
        per_s(|cost| cost.sent.datagrams as f64).cell(1.0),
        per_s(|cost| cost.received.datagrams as f64).cell(1.0),
        per_s(|cost| cost.sent.bytes as f64).cell(1e3),
        per_s(|cost| cost.received.bytes as f64).cell(1e3),
        bytes_per_s(&result.nodes, workload).cell(1e3),
        per_s(|cost| cost.busy.as_secs_f64()).cell(0.01),
        result.refused_below_quota as f64 / result.below_quota.max(1) as f64,
        result.oversized,
    );
}

/// Prints the cost of the selected sizes: nothing is checked.
#[gtest]
fn print_the_cost_of_many_accounts() {
    if selected(0).is_none() {
        return;
    }
    println!(
        "| nodes | accounts | over quota | datagrams/s sent, mean / worst node | received | KB/s sent | received \
         | both | % of a core | reports: datagrams/s, KB/s, mean | replies | broadcasts | heartbeats \
         | refused below quota | oversized |\n|{}",
        " --- |".repeat(15)
    );
    for nodes in NODES.into_iter().filter(|nodes| is_selected(0, nodes)) {
        for accounts in ACCOUNTS.into_iter().filter(|accounts| is_selected(1, accounts)) {
            let overloads = OVERLOADS.into_iter().filter(|overload| is_selected(2, overload));
            overloads.for_each(|overload| print_cost(&workload(nodes, accounts, overload)));
        }
    }
}

/// Returns the bytes that nodes send and receive in fleets of a few accounts, with descriptions.
fn small_fleets(overload: Overload) -> impl Iterator<Item = (PerSecond, String)> {
    [18, 94, 586].into_iter().map(move |nodes| {
        let workload = Workload { measured_us: 2 * S, ..workload(nodes, ACCOUNTS[0], overload) };
        let result = quota_traffic::run(&workload, 1);
        expect_that!(result.oversized, eq(0), "{workload:?}");
        (bytes_per_s(&result.nodes, &workload), format!("{workload:?}"))
    })
}

/// Guards against quota messages that use up the bytes of control of the whole fleet.
#[gtest]
fn the_mean_node_stays_within_the_budget_with_a_few_accounts_over_their_quota() {
    for (bytes_per_s, fleet) in [Overload::Some, Overload::Every].into_iter().flat_map(small_fleets) {
        expect_that!(bytes_per_s.mean, le(BUDGET_BYTES_PER_S), "{fleet}");
    }
}

/// Guards against coordinators whose quota messages use up their bytes of control.
#[gtest]
fn the_busiest_coordinator_stays_within_the_budget_with_a_few_accounts_below_their_quota() {
    for (bytes_per_s, fleet) in small_fleets(Overload::None) {
        expect_that!(bytes_per_s.worst, le(BUDGET_BYTES_PER_S), "{fleet}");
    }
}

fn quota(rate_per_s: u64) -> Quota {
    Quota { requests_per_1000_s: rate_per_s * 1_000, burst: rate_per_s }
}

/// An event after which refused requests are counted, with the nodes that it concerns.
#[derive(Clone, Copy, Debug)]
enum Event {
    None,
    /// One in so many nodes restarts.
    Restart {
        one_in: usize,
    },
    /// One in so many nodes is cut off from the others, for [`EVENT_US`] to [`HEAL_US`].
    Partition {
        one_in: usize,
        is_connected_inside: bool,
    },
}

impl Event {
    fn scenario(self, nodes: usize, rate_per_s: u64) -> Scenario {
        let mut scenario = Scenario::new(nodes, quota(rate_per_s), rate_per_s as f64 * USUAL_LOAD);
        scenario.end_us = EVENT_US + AFTER_EVENT_US;
        // Nodes are coordinators in random order, so the first ones are as good as any.
        let concerned = |one_in: usize| (0..(nodes / one_in).max(1)).collect();
        match self {
            Self::None => {}
            Self::Restart { one_in } => scenario.restarts.push((EVENT_US, concerned(one_in))),
            Self::Partition { one_in, is_connected_inside } => {
                scenario.end_us = HEAL_US + AFTER_EVENT_US;
                let when = EVENT_US..HEAL_US;
                scenario.partitions.push(Partition { when, nodes: concerned(one_in), is_connected_inside });
            }
        }
        scenario
    }

    /// The times after which refused requests are counted, with names.
    fn counted_from(self) -> Vec<(String, u64)> {
        match self {
            Self::None => vec![("steady state".to_owned(), EVENT_US)],
            Self::Restart { one_in } => vec![(format!("restart of 1/{one_in}"), EVENT_US)],
            Self::Partition { one_in, is_connected_inside } => {
                let inside = if is_connected_inside { "connected inside" } else { "each isolated" };
                let name = |event: &str| format!("{event} of 1/{one_in}, {inside}");
                vec![(name("cut"), EVENT_US), (name("heal"), HEAL_US)]
            }
        }
    }
}

const EVENTS: [Event; 7] = [
    Event::None,
    Event::Restart { one_in: 1 },
    Event::Restart { one_in: 10 },
    Event::Partition { one_in: 6, is_connected_inside: true },
    Event::Partition { one_in: 6, is_connected_inside: false },
    Event::Partition { one_in: 2, is_connected_inside: true },
    Event::Partition { one_in: 2, is_connected_inside: false },
];

/// Requests within some time, and those of them that were refused.
#[derive(Clone, Copy, Debug, Default)]
struct Refusals {
    offered: usize,
    refused: usize,
    /// Requests that an ideal limiter refuses, which sees all requests.
    refused_by_ideal: usize,
}

impl Refusals {
    fn record(&mut self, result: &RunResult, quota: Quota, when: &Range<u64>) {
        let mut admitted: VecDeque<u64> = VecDeque::new();
        for (at_us, ok) in &result.requests {
            while admitted.front().is_some_and(|first| first + WINDOW_US <= *at_us) {
                admitted.pop_front();
            }
            let is_within_quota = (admitted.len() + 1) as f64 <= quota.requests_in_window(WINDOW_US);
            if is_within_quota {
                admitted.push_back(*at_us);
            }
            if when.contains(at_us) {
                self.offered += 1;
                self.refused += usize::from(!ok);
                self.refused_by_ideal += usize::from(!is_within_quota);
            }
        }
    }

    /// Returns the fraction of requests refused, and the fraction refused in excess of an ideal limiter.
    fn shares(self) -> (f64, f64) {
        let offered = self.offered.max(1) as f64;
        let beyond = self.refused.saturating_sub(self.refused_by_ideal);
        (self.refused as f64 / offered, beyond as f64 / offered)
    }
}

/// Returns the refused requests of an account after an event, over all seeds, for each time to count from.
fn refusals(event: Event, nodes: usize, rate_per_s: u64) -> Vec<Refusals> {
    let scenario = event.scenario(nodes, rate_per_s);
    let counted_from = event.counted_from();
    let mut refusals = vec![Refusals::default(); counted_from.len()];
    for seed in 0..REFUSAL_SEEDS {
        let result = quota_simulation::run(&scenario, seed);
        for (refusals, (_, from_us)) in iter::zip(&mut refusals, &counted_from) {
            refusals.record(&result, scenario.quota, &(*from_us..from_us + AFTER_EVENT_US));
        }
    }
    refusals
}

/// Prints the fraction of requests below the quota that is refused after each event: nothing is checked.
#[gtest]
fn print_refusals_below_the_quota() {
    for nodes in NODES.into_iter().filter(|nodes| is_selected(0, nodes)) {
        println!("{nodes} nodes: refused in all, and beyond an ideal limiter, by the rate of the account\n");
        println!("| 5 s after | {} |", RATES_PER_S.map(|rate| format!("{rate}/s")).join(" | "));
        println!("|{}", " --- |".repeat(RATES_PER_S.len() + 1));
        for event in EVENTS {
            let by_rate = RATES_PER_S.map(|rate| refusals(event, nodes, rate));
            for (index, (name, _)) in event.counted_from().iter().enumerate() {
                let cell = |refusals: &Vec<Refusals>| {
                    let (refused, beyond) = refusals[index].shares();
                    format!("{refused:.4}, {beyond:.4}")
                };
                println!("| {name} | {} |", by_rate.each_ref().map(cell).join(" | "));
            }
        }
    }
}
