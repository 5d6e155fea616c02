//! Membership among many machines with time given: failures, freezes, cuts, loss, and what it costs.

mod many;

use {
    googletest::prelude::*,
    many::{MeshRun, TICK_US},
    pointvane_core::VmState,
};

const TICKS_PER_S: usize = (1_000_000 / TICK_US) as usize;
const CONTROL_BYTES_PER_S: u64 = 18_000;

#[gtest]
fn a_dead_vm_is_dead_to_all_within_seconds_and_nobody_else_is() {
    for seed in 0..20 {
        let mut run = MeshRun::new(17, 0.05, seed);
        run.run_ticks(2 * TICKS_PER_S);
        run.set_up(3, false);
        // Lost datagrams may raise a suspicion, which is then refuted; they never kill anybody.
        for _ in 0..15 {
            run.run_ticks(TICKS_PER_S);
            let dead = (0..17).filter(|&by| by != 3).map(|by| run.believed(by, VmState::Dead)).max();
            expect_that!(dead, some(le(1)), "seed {seed}");
        }
        for by in (0..17).filter(|&by| by != 3) {
            expect_that!(run.believed(by, VmState::Dead), eq(1), "seed {seed}, by {by}");
            let there = run.believed(by, VmState::Live) + run.believed(by, VmState::Suspect);
            expect_that!(there, eq(16), "seed {seed}, by {by}");
        }
    }
}

#[gtest]
fn a_vm_that_was_frozen_holds_its_own_silence_against_nobody() {
    let mut run = MeshRun::new(17, 0.0, 1);
    run.run_ticks(2 * TICKS_PER_S);
    run.set_up(5, false);
    run.run_ticks(8 * TICKS_PER_S);
    run.set_up(5, true);
    run.run_ticks(1);
    expect_that!(run.believed(5, VmState::Live), eq(17));
    // And it is taken back by the others, though they had it for dead.
    run.run_ticks(20 * TICKS_PER_S);
    expect_that!((0..17).map(|by| run.believed(by, VmState::Live)).collect::<Vec<_>>(), each(eq(&17)));
}

#[gtest]
fn a_cut_heals() {
    for seed in 0..10 {
        let mut run = MeshRun::new(12, 0.0, seed);
        (0..4).for_each(|node| run.set_side(node, 1));
        run.run_ticks(20 * TICKS_PER_S);
        expect_that!(run.believed(0, VmState::Live), eq(4), "seed {seed}");
        expect_that!(run.believed(11, VmState::Live), eq(8), "seed {seed}");
        (0..4).for_each(|node| run.set_side(node, 0));
        run.run_ticks(40 * TICKS_PER_S);
        let live: Vec<_> = (0..12).map(|by| run.believed(by, VmState::Live)).collect();
        expect_that!(live, each(eq(&12)), "seed {seed}");
    }
}

#[gtest]
fn a_revision_reaches_all_within_the_bound_though_datagrams_are_lost() {
    for (count, seed) in [(17, 1), (17, 2), (170, 3), (170, 4)] {
        let mut run = MeshRun::new(count, 0.05, seed);
        run.run_ticks(TICKS_PER_S);
        run.set_revision(0, 5);
        let mut ticks = 0;
        while run.fetch_heard(5) < count {
            run.run_ticks(1);
            ticks += 1;
        }
        expect_that!(ticks, le(3 * TICKS_PER_S), "{count} machines, seed {seed}");
    }
}

#[gtest]
fn gossip_stays_within_a_tenth_of_the_budget_at_rest() {
    for count in [17, 170] {
        let mut run = MeshRun::new(count, 0.0, 1);
        run.run_ticks(10 * TICKS_PER_S);
        let before = run.bytes;
        run.run_ticks(30 * TICKS_PER_S);
        let per_node_per_s = (run.bytes - before) / 30 / count as u64;
        expect_that!(per_node_per_s, le(CONTROL_BYTES_PER_S / 10), "{count} machines");
    }
}
