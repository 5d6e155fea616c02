//! A request under which upstreams crash, sent again and again at any node while everything else is disturbed, and whether it soon reached none.

use {
    crate::{
        caller::{DEADLINE_MS, TRAFFIC_PORT},
        departures::is_bound,
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

/// The path of the request.
pub const CRASHING_PATH: &str = "/safe/crash";
/// Times that it is sent.
const COUNT: usize = 40;
/// Longest rest between two, in milliseconds.
const REST_MS: u64 = 400;
/// Time after which an upstream that crashed starts again.
const DOWN_FOR: Duration = Duration::from_millis(1_500);
/// Time after the third crash until nodes in touch know: 3 s by the rules, and slack for a busy machine.
const KNOWN_WITHIN: Duration = Duration::from_millis(3_500);
/// More crashes than this after that time are too many.
const LATE_MAX: usize = 3;

/// Sends the request, and has upstreams that crashed start again.
pub fn play(fleet: &Fleet, rng: &mut SmallRng) {
    let done = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| start_again(fleet, &done));
        for number in 0..COUNT {
            let site = rng.random_range(0..fleet.sites.len());
            let head = request_head("GET", CRASHING_PATH, &format!("crash-{site}-{number}"), DEADLINE_MS);
            fleet.count("crashing request");
            // Whatever is answered, if anything is: the node may be down.
            _ = call((fleet.sites[site].ip, TRAFFIC_PORT).into(), &head);
            thread::sleep(Duration::from_millis(rng.random_range(0..REST_MS)));
        }
        done.store(true, Ordering::SeqCst);
    });
}

fn start_again(fleet: &Fleet, done: &AtomicBool) {
    while !done.load(Ordering::SeqCst) {
        let down: Vec<Upstream> =
            fleet.upstreams().into_iter().map(|one| one.upstream).filter(Upstream::is_down).collect();
        thread::sleep(DOWN_FOR);
        down.iter().for_each(Upstream::start_again);
    }
    fleet.upstreams().iter().filter(|one| one.upstream.is_down()).for_each(|one| one.upstream.start_again());
}

/// Checks the crashes behind the third; gives how many there were.
pub fn check(fleet: &Fleet, record: &Record) -> usize {
    let mut crashes: Vec<(Instant, String, usize)> = Vec::new();
    for (index, one) in fleet.upstreams().iter().enumerate() {
        let seen = one.upstream.crashes.lock().unwrap();
        crashes.extend(seen.iter().map(|(id, at)| (*at, id.clone(), index)));
    }
    crashes.sort();
    let Some((third, ..)) = crashes.get(2).cloned() else { return crashes.len() };
    let upstreams = fleet.upstreams();
    let late = crashes
        .iter()
        .filter(|(at, id, index)| *at > third + KNOWN_WITHIN && is_bound(fleet, &upstreams[*index], id, *at));
    let late = late.count();
    if late > LATE_MAX {
        record.broke(format!("{late} upstreams crashed under a request that all should have known"));
    }
    crashes.len()
}
