//! Crashes upstreams and restarts them under their identities during other faults; checks that they receive
//! requests again.

use {
    crate::{fleet::Fleet, record::Record, upstreams::ListedUpstream, users_platform::UpstreamBehaviour},
    rand::{Rng, rngs::SmallRng, seq::IndexedRandom},
    std::{
        ops::Range,
        thread,
        time::{Duration, Instant},
    },
};

/// Restarts per run.
const COUNT: usize = 8;
/// Downtime, in milliseconds.
const DOWNTIME_MS: Range<u64> = 50..1_500;
/// Longest delay between the restart and the updated entry, in milliseconds.
const RELIST_DELAY_MAX_MS: u64 = 300;
/// Longest pause between two restarts, in milliseconds.
const INTERVAL_MAX_MS: u64 = 1_500;

/// Crashes and restarts one upstream after another.
pub fn run(fleet: &Fleet, rng: &mut SmallRng) {
    for _ in 0..COUNT {
        thread::sleep(Duration::from_millis(rng.random_range(0..INTERVAL_MAX_MS)));
        let remaining = fleet.directory.remaining();
        let upstreams = fleet.upstreams();
        // A proxy accepts connections for an upstream that is gone, which hides the crash.
        let direct: Vec<usize> =
            remaining.into_iter().filter(|index| upstreams[*index].link.is_none()).collect();
        if let Some(index) = direct.choose(rng) {
            restart_crashed(fleet, *index, &upstreams[*index], rng);
        }
    }
}

fn restart_crashed(fleet: &Fleet, index: usize, listed: &ListedUpstream, rng: &mut SmallRng) {
    fleet.count("start again");
    let fault = listed.faults.begin_fault();
    listed.upstream.crash();
    thread::sleep(Duration::from_millis(rng.random_range(DOWNTIME_MS)));
    listed.upstream.set_behaviour(UpstreamBehaviour::Normal);
    listed.upstream.restart();
    thread::sleep(Duration::from_millis(rng.random_range(0..RELIST_DELAY_MAX_MS)));
    fleet.directory.list_restarted(index);
    drop(fault);
}

/// Checks that each restarted upstream that has not left received requests since; returns how many there are.
pub fn check(fleet: &Fleet, record: &Record) -> usize {
    let upstreams = fleet.upstreams();
    let remaining = upstreams.iter().filter(|listed| listed.left_at.is_none());
    let restarted: Vec<(&ListedUpstream, Instant)> =
        remaining.filter_map(|listed| listed.restarted_at.map(|since| (listed, since))).collect();
    for (listed, since) in &restarted {
        let arrivals = listed.upstream.arrivals.lock().unwrap();
        if !arrivals.iter().any(|(_, at)| at > since) {
            record.add_violation(format!("{} received no request after its restart", listed.upstream.id));
        }
    }
    restarted.len()
}
