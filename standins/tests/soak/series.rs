//! Series of faults that affect all upstreams, all nodes or many versions.

use {
    crate::{
        faults::{BEHAVIOURS, misbehave_for, restart},
        fleet::Fleet,
        plan::Plan,
    },
    rand::{
        Rng,
        rngs::SmallRng,
        seq::{IndexedRandom, SliceRandom},
    },
    std::{thread, time::Duration},
};

/// Configuration changes that a burst publishes one after another.
const BURST_CHANGES: std::ops::Range<usize> = 20..50;
/// Time between two changes of a burst: ten changes per second.
const BURST_INTERVAL: Duration = Duration::from_millis(100);
/// Longest pause between two batches of a rolling series, in milliseconds.
const INTERVAL_MAX_MS: u64 = 400;

/// Duration of each misbehaviour and the interval between their starts: several overlap.
const MISBEHAVIOUR_TIME: Duration = Duration::from_millis(1_000);
const MISBEHAVIOUR_INTERVAL: Duration = Duration::from_millis(300);

type Series = fn(&Fleet, &Plan, &mut SmallRng);

/// Runs all series in random order.
pub fn run(fleet: &Fleet, plan: &Plan, rng: &mut SmallRng) {
    let mut all: [Series; 4] = [replace_all_upstreams, restart_all_nodes, burst, misbehave];
    all.shuffle(rng);
    for series in all {
        series(fleet, plan, rng);
        sleep_random(rng);
    }
}

fn sleep_random(rng: &mut SmallRng) {
    thread::sleep(Duration::from_millis(rng.random_range(0..INTERVAL_MAX_MS)));
}

/// Replaces all upstreams in batches: new ones join before the old ones leave.
fn replace_all_upstreams(fleet: &Fleet, plan: &Plan, rng: &mut SmallRng) {
    fleet.count("replace all");
    for batch in fleet.directory.remaining().chunks(plan.batch_size) {
        batch.iter().for_each(|_| fleet.directory.join());
        sleep_random(rng);
        for index in batch {
            fleet.directory.leave(*index, rng.random_bool(0.5));
        }
    }
}

fn restart_all_nodes(fleet: &Fleet, plan: &Plan, rng: &mut SmallRng) {
    fleet.count("restart all");
    for batch in fleet.nodes.chunks(plan.batch_size) {
        let pause = Duration::from_millis(rng.random_range(0..INTERVAL_MAX_MS));
        thread::scope(|scope| {
            for node in batch {
                scope.spawn(move || restart(fleet, node, "TERM", pause));
            }
        });
        sleep_random(rng);
    }
}

fn burst(fleet: &Fleet, _: &Plan, rng: &mut SmallRng) {
    fleet.count("burst");
    for _ in 0..rng.random_range(BURST_CHANGES) {
        fleet.versions.publish();
        thread::sleep(BURST_INTERVAL);
    }
}

/// Makes upstreams misbehave in every way, one after another.
fn misbehave(fleet: &Fleet, _: &Plan, rng: &mut SmallRng) {
    fleet.count("misbehave");
    let mut behaviours = BEHAVIOURS;
    behaviours.shuffle(rng);
    thread::scope(|scope| {
        for behaviour in behaviours {
            let remaining = fleet.directory.remaining();
            if let Some(index) = remaining.choose(rng) {
                let upstream = fleet.directory.all()[*index].upstream.clone();
                scope.spawn(move || misbehave_for(&upstream, behaviour, MISBEHAVIOUR_TIME));
            }
            thread::sleep(MISBEHAVIOUR_INTERVAL);
        }
    });
}
