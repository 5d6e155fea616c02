//! Upstreams that crash and start again under the identities that they had, while everything else is disturbed, and whether they are used again.

use {
    crate::{directory::Listed, fleet::Fleet, record::Record, users_platform::Manner},
    rand::{Rng, rngs::SmallRng, seq::IndexedRandom},
    std::{
        ops::Range,
        thread,
        time::{Duration, Instant},
    },
};

/// Times that an upstream starts again.
const COUNT: usize = 8;
/// Time for which it is down, in milliseconds.
const DOWN_MS: Range<u64> = 50..1_500;
/// Longest time from when it serves again until its entry says so, in milliseconds.
const UNLISTED_MS: u64 = 300;
/// Longest rest between two, in milliseconds.
const REST_MS: u64 = 1_500;

/// Has one upstream after another crash and start again.
pub fn play(fleet: &Fleet, rng: &mut SmallRng) {
    for _ in 0..COUNT {
        thread::sleep(Duration::from_millis(rng.random_range(0..REST_MS)));
        let staying = fleet.directory.staying();
        let upstreams = fleet.upstreams();
        // A proxy accepts connections for an upstream that is gone, which hides that it crashed.
        let direct: Vec<usize> =
            staying.into_iter().filter(|index| upstreams[*index].link.is_none()).collect();
        if let Some(index) = direct.choose(rng) {
            start_again(fleet, *index, &upstreams[*index], rng);
        }
    }
}

fn start_again(fleet: &Fleet, index: usize, one: &Listed, rng: &mut SmallRng) {
    fleet.count("start again");
    let disturbed = one.contact.disturb();
    one.upstream.crash();
    thread::sleep(Duration::from_millis(rng.random_range(DOWN_MS)));
    one.upstream.set(Manner::Well);
    one.upstream.start_again();
    thread::sleep(Duration::from_millis(rng.random_range(0..UNLISTED_MS)));
    fleet.directory.list_again(index);
    drop(disturbed);
}

/// Checks that each that started again and stays has been used since; gives how many did.
pub fn check(fleet: &Fleet, record: &Record) -> usize {
    let upstreams = fleet.upstreams();
    let staying = upstreams.iter().filter(|one| one.left.is_none());
    let restarted: Vec<(&Listed, Instant)> =
        staying.filter_map(|one| one.restarted.map(|since| (one, since))).collect();
    for (one, since) in &restarted {
        let arrivals = one.upstream.arrivals.lock().unwrap();
        if !arrivals.iter().any(|(_, at)| at > since) {
            record.broke(format!("{} got nothing since it started again", one.upstream.id));
        }
    }
    restarted.len()
}
