//! Simulates fleets whose nodes exchange load reports on contended services: steps up and down with 2 % of
//! the datagrams lost, and one failure each.

#[path = "contention_fleet/mod.rs"]
mod fleet;

use {
    fleet::{CALM, CONTENDED, Fleet, is_calm, is_contended, is_near},
    googletest::prelude::*,
    pointvane_dispatch::{CONTENTION_ENTRIES_MAX, ContentionEntry, ContentionMessage, PairId},
    rand::Rng,
    std::env,
};

/// Time within which a change of the contention has to be known to nine in ten nodes.
const KNOWN_WITHIN_MS: u64 = 1_000;

/// Bytes that a node may send in a second, with IP and UDP headers: half of what all control messages of a node
/// may take.
const SENT_BYTES_PER_S_MAX: usize = 9_000;

/// Set to print the figures of all sizes, which takes minutes.
const FIGURES_ENV: &str = "POINTVANE_CONTENTION_FIGURES";

/// Prints the figures of `docs/design/contention.md` by hand: `POINTVANE_CONTENTION_FIGURES=1`.
#[gtest]
fn figures() {
    if env::var_os(FIGURES_ENV).is_none() {
        return;
    }
    println!("nodes services contended | up: side, 0.1 | down: side, 0.1 | B/s calm, contended");
    for nodes in [18, 121, 586, 1_800] {
        for (services, contended) in [(3, 3), (30, 30), (300, 30), (300, 300)] {
            let mut fleet = Fleet::new(nodes, services);
            let per_node_s =
                |fleet: &Fleet, time_ms: u64| fleet.bytes as u64 * 1_000 / time_ms / nodes as u64;
            fleet.run_ms(2_000);
            let calm = per_node_s(&fleet, 2_000);
            let side = |fleet: &Fleet| fleet.now_us / 1_000;
            let mut step = |truth: f64, check: fn(Option<f64>) -> bool| {
                fleet.set_truth(0..contended, truth);
                let at = side(&fleet);
                let sided = fleet.time_until_ms(0..contended, 4_000, check);
                let near = fleet.time_until_ms(0..contended, 4_000, is_near(truth));
                let near = near.map(|_| side(&fleet) - at);
                fleet.bytes = 0;
                fleet.run_ms(2_000);
                (sided, near, per_node_s(&fleet, 2_000))
            };
            let (up, down) = (step(CONTENDED, is_contended), step(CALM, is_calm));
            println!(
                "{nodes} {services} {contended} | {:?} {:?} | {:?} {:?} | {calm} {}",
                up.0, up.1, down.0, down.1, up.2
            );
        }
    }
}

/// Steps up and down; returns the bytes that a node sent in a second of contention.
fn check_steps(nodes: usize, services: usize, contended: usize) -> usize {
    let mut fleet = Fleet::new(nodes, services);
    fleet.run_ms(2_000);
    fleet.set_truth(0..contended, CONTENDED);
    expect_that!(fleet.time_until_ms(0..contended, KNOWN_WITHIN_MS, is_contended), some(anything()));
    fleet.run_ms(1_000);
    fleet.bytes = 0;
    fleet.run_ms(1_000);
    let bytes = fleet.bytes / nodes;
    fleet.set_truth(0..contended, CALM);
    expect_that!(fleet.time_until_ms(0..contended, KNOWN_WITHIN_MS, is_calm), some(anything()));
    bytes
}

#[gtest]
fn steps_of_busy_services_are_known_within_a_second() {
    for nodes in [18, 121] {
        expect_that!(check_steps(nodes, 3, 3), lt(SENT_BYTES_PER_S_MAX));
        expect_that!(check_steps(nodes, 30, 30), lt(SENT_BYTES_PER_S_MAX));
    }
    for nodes in [586, 1_800] {
        expect_that!(check_steps(nodes, 3, 3), lt(SENT_BYTES_PER_S_MAX));
    }
}

/// A calm fleet sends almost nothing, although one report in twenty shows a contended upstream.
#[gtest]
fn calm_costs_almost_nothing() {
    let mut fleet = Fleet::new(121, 30);
    fleet.run_ms(10_000);
    expect_that!(fleet.bytes / 121 / 10, lt(SENT_BYTES_PER_S_MAX / 20));
}

/// Only node 0 sees the contended service, and stops once the others know.
#[gtest]
fn a_node_that_stops_leaves_no_trace_and_nobody_confirms_old_reports() {
    for nodes in [18, 121] {
        let mut fleet = Fleet::new(nodes, 1);
        fleet.requests_per_s = 0.0;
        fleet.set_truth(0..1, CONTENDED);
        for _ in 0..100 {
            (0..5).for_each(|_| fleet.record(0, 0));
            fleet.run_ms(20);
        }
        expect_that!(fleet.share_of_nodes(1..nodes, 0..1, is_contended), ge(0.9));
        fleet.stopped[0] = true;
        expect_that!(fleet.time_until_ms(0..1, 3_000, |estimate| estimate.is_none()), some(anything()));
        fleet.run_ms(2_000);
        expect_that!(fleet.share_of_nodes(1..nodes, 0..1, |estimate| estimate.is_none()), eq(1.0));
        fleet.bytes = 0;
        fleet.run_ms(1_000);
        expect_that!(fleet.bytes, eq(0), "the exchange ends");
    }
}

/// Very many reports that end at once, in a small fleet.
#[gtest]
fn old_reports_do_not_outlast_others_by_their_number() {
    let mut fleet = Fleet::new(5, 1);
    fleet.requests_per_s = 5_000.0;
    fleet.set_truth(0..1, CONTENDED);
    fleet.run_ms(2_000);
    fleet.requests_per_s = 0.0;
    expect_that!(fleet.share_of_nodes(0..5, 0..1, is_contended), eq(1.0));
    fleet.run_ms(2_500);
    expect_that!(fleet.share_of_nodes(0..5, 0..1, |estimate| estimate.is_none()), eq(1.0));
}

/// The frozen node holds reports of a contention that has passed when it runs again.
#[gtest]
fn a_node_that_was_frozen_brings_back_no_old_contention() {
    let mut fleet = Fleet::new(18, 3);
    fleet.set_truth(0..3, CONTENDED);
    fleet.run_ms(2_000);
    fleet.stopped[0] = true;
    fleet.set_truth(0..3, CALM);
    fleet.run_ms(3_000);
    fleet.stopped[0] = false;
    for _ in 0..10 {
        fleet.run_ms(100);
        expect_that!(fleet.share_of_nodes(0..18, 0..3, is_contended), eq(0.0));
    }
}

/// Messages of a node that reports contention with the highest weight, twenty times a second.
fn lie(fleet: &mut Fleet, service: usize) {
    let entry = ContentionEntry {
        pair: PairId::of(&fleet.services[service], &fleet.data_centre),
        weight_millionths: u32::MAX,
        uncontended: 0,
        occupancy: u8::MAX,
        age: 0,
    };
    let unknown = ContentionEntry { pair: PairId([0; 4]), ..entry };
    let message = ContentionMessage { entries: vec![entry, unknown] };
    for _ in 0..20 {
        for _ in 0..2 {
            let to = fleet.rng.random_range(0..fleet.tables.len());
            fleet.tables[to].receive(&message, fleet.now_us);
        }
        fleet.run_ms(100);
    }
}

#[gtest]
fn a_node_that_reports_nonsense_makes_no_used_service_look_contended() {
    for nodes in [18, 121, 586] {
        let mut fleet = Fleet::new(nodes, 3);
        fleet.run_ms(2_000);
        lie(&mut fleet, 0);
        expect_that!(fleet.share_of_nodes(0..nodes, 0..1, is_calm), ge(0.9), "{nodes} nodes");
        // A node's own reports on one request may show contention by chance.
        expect_that!(fleet.share_of_nodes(0..nodes, 1..3, is_contended), le(0.01));
    }
}

#[gtest]
fn a_message_has_a_bounded_effect_on_a_node_with_reports_of_its_own() {
    let mut fleet = Fleet::new(18, 1);
    fleet.requests_per_s = 0.0;
    fleet.set_truth(0..1, 1.0);
    (0..40).for_each(|_| fleet.record(0, 0));
    let entry = ContentionEntry {
        pair: PairId::of(&fleet.services[0], &fleet.data_centre),
        weight_millionths: u32::MAX,
        uncontended: 0,
        occupancy: u8::MAX,
        age: 0,
    };
    let too_many = ContentionMessage { entries: vec![entry; 10 * CONTENTION_ENTRIES_MAX] };
    fleet.tables[0].receive(&too_many, fleet.now_us);
    expect_that!(fleet.estimate(0, 0).unwrap(), gt(0.9), "ten reports at most, against forty");
}

/// One half of the nodes sees contention, the other calm, and no datagram passes between them.
#[gtest]
fn a_part_that_is_cut_off_decides_by_its_own_reports() {
    let nodes = 18;
    let mut fleet = Fleet::new(nodes, 1);
    fleet.requests_per_s = 0.0;
    fleet.part = (0..nodes).map(|node| node >= nodes / 2).collect();
    for _ in 0..40 {
        for node in 0..nodes {
            fleet.set_truth(0..1, if node < nodes / 2 { CONTENDED } else { CALM });
            fleet.record(node, 0);
        }
        fleet.run_ms(50);
    }
    expect_that!(fleet.share_of_nodes(0..nodes / 2, 0..1, is_contended), ge(0.9));
    expect_that!(fleet.share_of_nodes(nodes / 2..nodes, 0..1, is_calm), ge(0.9));
}

/// All nodes but the first see contention.
#[gtest]
fn own_reports_dominate_if_there_are_many() {
    let nodes = 18;
    let mut fleet = Fleet::new(nodes, 1);
    fleet.requests_per_s = 0.0;
    fleet.set_truth(0..1, CONTENDED);
    for _ in 0..100 {
        (1..nodes).for_each(|node| fleet.record(node, 0));
        fleet.run_ms(20);
    }
    expect_that!(fleet.estimate(0, 0).unwrap(), lt(0.2), "without reports of its own");
    fleet.set_truth(0..1, 1.0);
    (0..60).for_each(|_| fleet.record(0, 0));
    expect_that!(fleet.estimate(0, 0).unwrap(), gt(0.8));
    expect_that!(fleet.estimate(1, 0).unwrap(), lt(0.5));
}
