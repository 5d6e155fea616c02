//! Membership of simulated fleets: failures, pauses, network partitions, datagram loss, and bandwidth.

mod simulation;

use {
    googletest::prelude::*,
    pointvane_core::VmState,
    simulation::{MeshSimulation, TICK_US},
};

const TICKS_PER_S: usize = (1_000_000 / TICK_US) as usize;
const CONTROL_BYTES_PER_S: u64 = 18_000;

#[gtest]
fn all_members_declare_a_stopped_vm_dead_within_seconds_and_no_other() {
    for seed in 0..20 {
        let mut simulation = MeshSimulation::new(17, 0.05, seed);
        simulation.run_ticks(2 * TICKS_PER_S);
        simulation.set_running(3, false);
        // Lost datagrams may cause a suspicion, which is refuted; no running VM is declared dead.
        for _ in 0..15 {
            simulation.run_ticks(TICKS_PER_S);
            let dead =
                (0..17).filter(|&by| by != 3).map(|by| simulation.members_in_state(by, VmState::Dead)).max();
            expect_that!(dead, some(le(1)), "seed {seed}");
        }
        for by in (0..17).filter(|&by| by != 3) {
            expect_that!(simulation.members_in_state(by, VmState::Dead), eq(1), "seed {seed}, by {by}");
            let live_or_suspect = simulation.members_in_state(by, VmState::Live)
                + simulation.members_in_state(by, VmState::Suspect);
            expect_that!(live_or_suspect, eq(16), "seed {seed}, by {by}");
        }
    }
}

#[gtest]
fn a_resumed_vm_suspects_no_member_for_the_time_of_its_own_pause() {
    let mut simulation = MeshSimulation::new(17, 0.0, 1);
    simulation.run_ticks(2 * TICKS_PER_S);
    simulation.set_running(5, false);
    simulation.run_ticks(8 * TICKS_PER_S);
    simulation.set_running(5, true);
    simulation.run_ticks(1);
    expect_that!(simulation.members_in_state(5, VmState::Live), eq(17));
    // The other VMs had declared it dead, and accept it again.
    simulation.run_ticks(20 * TICKS_PER_S);
    expect_that!(
        (0..17).map(|by| simulation.members_in_state(by, VmState::Live)).collect::<Vec<_>>(),
        each(eq(&17))
    );
}

#[gtest]
fn members_rejoin_after_a_network_partition() {
    for seed in 0..10 {
        let mut simulation = MeshSimulation::new(12, 0.0, seed);
        (0..4).for_each(|node| simulation.set_partition(node, 1));
        simulation.run_ticks(20 * TICKS_PER_S);
        expect_that!(simulation.members_in_state(0, VmState::Live), eq(4), "seed {seed}");
        expect_that!(simulation.members_in_state(11, VmState::Live), eq(8), "seed {seed}");
        (0..4).for_each(|node| simulation.set_partition(node, 0));
        simulation.run_ticks(40 * TICKS_PER_S);
        let live: Vec<_> = (0..12).map(|by| simulation.members_in_state(by, VmState::Live)).collect();
        expect_that!(live, each(eq(&12)), "seed {seed}");
    }
}

#[gtest]
fn a_revision_reaches_all_within_the_bound_though_datagrams_are_lost() {
    for (count, seed) in [(17, 1), (17, 2), (170, 3), (170, 4)] {
        let mut simulation = MeshSimulation::new(count, 0.05, seed);
        simulation.run_ticks(TICKS_PER_S);
        simulation.set_revision(0, 5);
        let mut ticks = 0;
        while simulation.fetch_known_revision(5) < count {
            simulation.run_ticks(1);
            ticks += 1;
        }
        expect_that!(ticks, le(3 * TICKS_PER_S), "{count} nodes, seed {seed}");
    }
}

#[gtest]
fn gossip_stays_within_a_tenth_of_the_budget_at_rest() {
    for count in [17, 170] {
        let mut simulation = MeshSimulation::new(count, 0.0, 1);
        simulation.run_ticks(10 * TICKS_PER_S);
        let before = simulation.bytes;
        simulation.run_ticks(30 * TICKS_PER_S);
        let per_node_per_s = (simulation.bytes - before) / 30 / count as u64;
        expect_that!(per_node_per_s, le(CONTROL_BYTES_PER_S / 10), "{count} nodes");
    }
}

/// The rows of all members filled every datagram for longer than it takes all members to receive them.
#[gtest]
fn rows_of_a_start_stop_being_sent_within_seconds_after_all_members_know_them() {
    let mut simulation = MeshSimulation::new(111, 0.0, 1);
    simulation.run_ticks(30 * TICKS_PER_S);
    let before = simulation.bytes;
    simulation.run_ticks(5 * TICKS_PER_S);
    let per_node_per_s = (simulation.bytes - before) / 5 / 111;
    expect_that!(per_node_per_s, le(500), "two pings and two acks a second, with their own row only");
}

#[gtest]
fn all_members_learn_of_many_that_joined_at_once() {
    for seed in 0..5 {
        let mut simulation = MeshSimulation::new_unacquainted(111, 0.0, seed);
        simulation.run_ticks(26 * TICKS_PER_S);
        let live: Vec<_> = (0..111).map(|by| simulation.members_in_state(by, VmState::Live)).collect();
        expect_that!(live, each(ge(&110)), "seed {seed}");
    }
}
