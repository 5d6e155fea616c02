//! Quota of an account over simulated fleets, with faults at chosen times before and after a rise of demand: no
//! window exceeds the tolerated bound.

mod quota_simulation;

use {
    googletest::prelude::*,
    pointvane_core::Quota,
    quota_simulation::{MS, Partition, S, Scenario, bound, run},
    std::ops::Range,
};

/// Time at which demand rises. By then the nodes have reported a whole window.
const RISE_US: u64 = 6 * S;
/// Usual demand of an account, as a fraction of its rate.
const USUAL_LOAD: f64 = 1.0 / 1.6;
/// Demand after the rise, as a multiple of the usual.
const RISE_FACTOR: f64 = 8.0;
/// Length of a partition.
const PARTITION_US: u64 = 7 * S;
/// Seeds of each scenario.
const SEEDS: Range<u64> = 0..2;

/// Where the two coordinators of the account are during a partition.
#[derive(Clone, Copy, Debug)]
enum Coordinators {
    /// Both in the part that is cut off.
    Inside,
    /// One on each side.
    Split,
    /// Both outside that part.
    Outside,
}

/// Returns a scenario in which demand rises at `RISE_US`.
fn rising_demand(nodes: usize, rate_per_s: u64) -> Scenario {
    let quota = Quota { requests_per_1000_s: rate_per_s * 1_000, burst: rate_per_s };
    let usual_per_s = rate_per_s as f64 * USUAL_LOAD;
    let mut scenario = Scenario::new(nodes, quota, usual_per_s);
    scenario.demand_per_s.push((RISE_US, usual_per_s * RISE_FACTOR));
    scenario
}

/// Adds a partition that cuts off the first nodes.
fn with_partition(
    mut scenario: Scenario,
    when: Range<u64>,
    cut_off: usize,
    coordinators: Coordinators,
    is_connected_inside: bool,
) -> Scenario {
    let last = scenario.nodes - 1;
    scenario.first_coordinators = match coordinators {
        Coordinators::Inside => vec![1, 2],
        Coordinators::Split => vec![1, last],
        Coordinators::Outside => vec![last, last - 1],
    };
    scenario.partitions.push(Partition { when, nodes: (0..cut_off).collect(), is_connected_inside });
    scenario
}

/// Checks the windows of a scenario that ends a window after the last of its faults, for each seed.
fn expect_within_bound(scenario: &Scenario, last_fault_us: u64, fault: &str) {
    let end_us = last_fault_us.max(RISE_US) + 6 * S;
    for seed in SEEDS {
        let scenario = Scenario { request_seed: Some(1_000 + seed), end_us, ..scenario.clone() };
        let peak = run(&scenario, seed).peak_window() as f64;
        println!("{fault}, seed {seed}: {:.2} of the bound", peak / bound(scenario.quota));
        expect_that!(peak, le(bound(scenario.quota)), "{fault}, seed {seed}");
    }
}

/// Checks a partition that begins at each of the given times after the rise, in milliseconds.
fn expect_within_bound_when_cut(
    scenario: &Scenario,
    after_rise_ms: &[u64],
    cut_off: usize,
    coordinators: Coordinators,
    is_connected_inside: bool,
) {
    for delay_ms in after_rise_ms {
        let begin_us = RISE_US + delay_ms * MS;
        let when = begin_us..begin_us + PARTITION_US;
        let scenario = with_partition(scenario.clone(), when, cut_off, coordinators, is_connected_inside);
        let fault = format!("{} nodes, cut {delay_ms} ms after the rise", scenario.nodes);
        expect_within_bound(&scenario, begin_us, &fault);
    }
}

#[gtest]
fn nodes_without_a_share_do_not_go_beyond_the_quota_when_both_coordinators_are_cut_off() {
    // Guards against nodes that admit the first requests of an account without having heard of a coordinator.
    expect_within_bound_when_cut(&rising_demand(586, 30), &[100, 300, 400], 97, Coordinators::Inside, true);
}

#[gtest]
fn full_shares_do_not_outlive_coordinators_that_are_cut_off() {
    // Guards against full shares that remain valid at nodes without requests since the coordinators were lost.
    expect_within_bound_when_cut(&rising_demand(586, 5), &[850, 900], 293, Coordinators::Inside, false);
}

#[gtest]
fn shares_of_coordinators_that_are_cut_off_are_not_used_until_each_node_misses_an_answer() {
    // Guards against nodes that each admit every request until a report of their own is unanswered.
    expect_within_bound_when_cut(&rising_demand(94, 30), &[300, 400, 500], 34, Coordinators::Inside, true);
}

#[gtest]
fn coordinators_on_one_side_do_not_grant_what_the_cut_off_side_still_admits() {
    // Guards against coordinators that grant the whole quota until the membership detects the partition.
    expect_within_bound_when_cut(&rising_demand(94, 200), &[0, 100, 150], 47, Coordinators::Outside, true);
    expect_within_bound_when_cut(&rising_demand(586, 30), &[200, 300], 293, Coordinators::Outside, false);
}

#[gtest]
fn a_coordinator_on_each_side_does_not_exceed_the_quota_with_isolated_nodes() {
    // Guards against isolated nodes that admit besides a coordinator that grants more than half of the quota.
    expect_within_bound_when_cut(&rising_demand(586, 30), &[350, 400], 293, Coordinators::Split, false);
}

#[gtest]
fn usage_of_nodes_that_restart_around_the_end_of_a_partition_is_not_lost() {
    // Guards against coordinators that outlive a partition and never learn what restarted nodes had admitted.
    for (healed_ms, restarted_ms) in [(500, 1_750), (1_750, 2_000), (1_750, 2_500)] {
        let (healed_us, restarted_us) = (RISE_US + healed_ms * MS, RISE_US + restarted_ms * MS);
        for nodes in [18, 94] {
            let when = healed_us.saturating_sub(PARTITION_US)..healed_us;
            let scenario =
                with_partition(rising_demand(nodes, 200), when, nodes / 2, Coordinators::Outside, true);
            let restarts = vec![(restarted_us, (0..nodes / 2).collect())];
            let scenario = Scenario { restarts, ..scenario };
            let fault = format!("{nodes} nodes, healed {healed_ms} ms and restarted {restarted_ms} ms after");
            expect_within_bound(&scenario, restarted_us, &fault);
        }
    }
}

#[gtest]
fn a_burst_right_before_one_node_receives_every_request_stays_in_the_window() {
    // Guards against a burst that is taken for even within a fifth of the window, and leaves it too early.
    for delay_ms in [400, 500, 600] {
        let begin_us = RISE_US + delay_ms * MS;
        for nodes in [94, 586] {
            let scenario = Scenario {
                single_node_load: begin_us..begin_us + 5 * S,
                first_coordinators: vec![0, nodes - 1],
                ..rising_demand(nodes, 200)
            };
            let fault = format!("{nodes} nodes, one node receives all {delay_ms} ms after the rise");
            expect_within_bound(&scenario, begin_us, &fault);
        }
    }
}
