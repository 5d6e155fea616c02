//! Sends a request that crashes its upstream, repeatedly and to any node, during other faults; checks that
//! nodes quarantine it in time.

use {
    crate::{
        caller::{DEADLINE_MS, TRAFFIC_PORT},
        departures::is_path_fault_free,
        fleet::Fleet,
        record::Record,
        users_platform::{Upstream, call, request_head},
    },
    rand::{Rng, rngs::SmallRng},
    std::{
        sync::atomic::{AtomicBool, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

/// Path of the crashing request.
pub const CRASHING_PATH: &str = "/safe/crash";
/// Number of times that the request is sent.
const COUNT: usize = 40;
/// Longest pause between two requests, in milliseconds.
const INTERVAL_MAX_MS: u64 = 400;
/// Time until a crashed upstream is restarted.
const DOWNTIME: Duration = Duration::from_millis(1_500);
/// Time from the third crash until reachable nodes must quarantine the request: 3 s by the rules, plus 0.5 s
/// for a busy machine.
const QUARANTINE_WITHIN: Duration = Duration::from_millis(3_500);
/// Crashes tolerated after that time.
const LATE_CRASHES_MAX: usize = 3;

/// Sends the request repeatedly while crashed upstreams are restarted.
pub fn run(fleet: &Fleet, rng: &mut SmallRng) {
    let done = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| restart_crashed(fleet, &done));
        for number in 0..COUNT {
            let node_index = rng.random_range(0..fleet.nodes.len());
            let head =
                request_head("GET", CRASHING_PATH, &format!("crash-{node_index}-{number}"), DEADLINE_MS);
            fleet.count("crashing request");
            // The result is ignored: the node may be down.
            _ = call((fleet.nodes[node_index].ip, TRAFFIC_PORT).into(), &head);
            thread::sleep(Duration::from_millis(rng.random_range(0..INTERVAL_MAX_MS)));
        }
        done.store(true, Ordering::SeqCst);
    });
}

fn restart_crashed(fleet: &Fleet, done: &AtomicBool) {
    while !done.load(Ordering::SeqCst) {
        let down: Vec<Upstream> =
            fleet.upstreams().into_iter().map(|listed| listed.upstream).filter(Upstream::is_down).collect();
        thread::sleep(DOWNTIME);
        down.iter().for_each(Upstream::restart);
    }
    fleet
        .upstreams()
        .iter()
        .filter(|listed| listed.upstream.is_down())
        .for_each(|listed| listed.upstream.restart());
}

/// Checks crashes that come too long after the third; returns the number of crashes.
pub fn check(fleet: &Fleet, record: &Record) -> usize {
    let mut crashes: Vec<(Instant, String, usize)> = Vec::new();
    for (index, listed) in fleet.upstreams().iter().enumerate() {
        let seen = listed.upstream.crashes.lock().unwrap();
        crashes.extend(seen.iter().map(|(id, at)| (*at, id.clone(), index)));
    }
    crashes.sort();
    let Some((third, ..)) = crashes.get(2).cloned() else { return crashes.len() };
    let upstreams = fleet.upstreams();
    let late = crashes.iter().filter(|(at, id, index)| {
        *at > third + QUARANTINE_WITHIN && is_path_fault_free(fleet, &upstreams[*index], id, *at)
    });
    let late = late.count();
    if late > LATE_CRASHES_MAX {
        record.add_violation(format!(
            "{late} upstreams crashed under a request that all nodes should have quarantined"
        ));
    }
    crashes.len()
}
