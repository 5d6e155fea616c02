//! Series of disturbances that go over all upstreams, all nodes or many versions.

use {
    crate::{
        disturbances::{MANNERS, misbehave_for, restart},
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

/// Changes of the configuration that a burst publishes, one after another.
const BURST_CHANGES: std::ops::Range<usize> = 20..50;
/// Time between two of them: ten a second.
const BURST_STEP: Duration = Duration::from_millis(100);
/// Longest rest between two batches of a rolling series, in milliseconds.
const REST_MS: u64 = 400;

/// How long each manner of misbehaving lasts, and the time from one to the next: several overlap.
const MISBEHAVES: Duration = Duration::from_millis(1_000);
const MISBEHAVES_STEP: Duration = Duration::from_millis(300);

type Series = fn(&Fleet, &Plan, &mut SmallRng);

/// Plays all series in an order that is drawn.
pub fn play(fleet: &Fleet, plan: &Plan, rng: &mut SmallRng) {
    let mut all: [Series; 4] = [replace_all_upstreams, restart_all_nodes, burst, misbehave];
    all.shuffle(rng);
    for series in all {
        series(fleet, plan, rng);
        rest(rng);
    }
}

fn rest(rng: &mut SmallRng) {
    thread::sleep(Duration::from_millis(rng.random_range(0..REST_MS)));
}

/// Each batch of upstreams joins before another one leaves, until none of the first is left.
fn replace_all_upstreams(fleet: &Fleet, plan: &Plan, rng: &mut SmallRng) {
    fleet.count("replace all");
    for batch in fleet.directory.staying().chunks(plan.batch) {
        batch.iter().for_each(|_| fleet.directory.join());
        rest(rng);
        for index in batch {
            fleet.directory.leave(*index, rng.random_bool(0.5));
        }
    }
}

fn restart_all_nodes(fleet: &Fleet, plan: &Plan, rng: &mut SmallRng) {
    fleet.count("restart all");
    for batch in fleet.sites.chunks(plan.batch) {
        let pause = Duration::from_millis(rng.random_range(0..REST_MS));
        thread::scope(|scope| {
            for site in batch {
                scope.spawn(move || restart(fleet, site, "TERM", pause));
            }
        });
        rest(rng);
    }
}

fn burst(fleet: &Fleet, _: &Plan, rng: &mut SmallRng) {
    fleet.count("burst");
    for _ in 0..rng.random_range(BURST_CHANGES) {
        fleet.versions.publish();
        thread::sleep(BURST_STEP);
    }
}

/// Upstreams misbehave in every manner, one after another.
fn misbehave(fleet: &Fleet, _: &Plan, rng: &mut SmallRng) {
    fleet.count("misbehave");
    let mut manners = MANNERS;
    manners.shuffle(rng);
    thread::scope(|scope| {
        for manner in manners {
            let staying = fleet.directory.staying();
            if let Some(index) = staying.choose(rng) {
                let upstream = fleet.directory.all()[*index].upstream.clone();
                scope.spawn(move || misbehave_for(&upstream, manner, MISBEHAVES));
            }
            thread::sleep(MISBEHAVES_STEP);
        }
    });
}
