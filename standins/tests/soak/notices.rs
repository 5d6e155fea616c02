//! Upstreams that ask for a pause, one or all at once, and upstreams that say that they leave before their entries do, while everything else is
//! disturbed; and whether nodes sent them requests all the same.

use {
    crate::{
        departures::site_of,
        directory::Listed,
        disturbances::misbehave_for,
        fleet::Fleet,
        record::Record,
        users_platform::{Manner, Upstream},
    },
    rand::{Rng, rngs::SmallRng, seq::IndexedRandom},
    std::{
        ops::Range,
        thread,
        time::{Duration, Instant},
    },
};

/// Times that an upstream, or all, ask for a pause or one leaves.
const COUNT: usize = 14;
/// Pauses that are asked for, in milliseconds.
const PAUSE_MS: Range<u64> = 600..3_000;
/// Time that an upstream may take to turn a request away that it turns away at once, in milliseconds: the longest that was counted.
const AFTER_MS: Range<u64> = 1..11;
/// How long an upstream asks, or says that it leaves, in milliseconds.
const LASTS_MS: Range<u64> = 100..1_500;
/// Longest rest between two, in milliseconds.
const REST_MS: u64 = 800;
/// Time for which requests may still arrive that were on their way when the upstream asked.
const UNDER_WAY: Duration = Duration::from_millis(500);
/// Requests of one node that may arrive after that and before the end of the pause.
const ARRIVALS_MAX: usize = 2;
/// Time from the first answer that says so until a node sends an upstream that leaves nothing more: 2 s by the rules, and slack for loopback and a
/// busy machine. Wall clock; stalls of the machine excuse all nodes.
const NO_WORK_AFTER: Duration = Duration::from_millis(2_500);

/// Has one upstream after another ask for a pause or leave.
pub fn play(fleet: &Fleet, rng: &mut SmallRng) {
    for _ in 0..COUNT {
        thread::sleep(Duration::from_millis(rng.random_range(0..REST_MS)));
        let time = Duration::from_millis(rng.random_range(LASTS_MS));
        let pause_ms = rng.random_range(PAUSE_MS);
        let asks = match fleet.directory.restarts() && rng.random_bool(0.5) {
            true => Manner::AskForPauseLate { pause_ms, after_ms: rng.random_range(AFTER_MS) },
            false => Manner::AskForPause(pause_ms),
        };
        match rng.random_range(0..8) {
            0 => {
                fleet.count("all ask for a pause");
                let upstreams: Vec<Upstream> =
                    fleet.upstreams().into_iter().map(|one| one.upstream).collect();
                thread::scope(|scope| {
                    upstreams
                        .iter()
                        .for_each(|upstream| _ = scope.spawn(|| misbehave_for(upstream, asks, time)));
                });
            }
            1..=4 => {
                fleet.count("ask for a pause");
                misbehave_for(&fleet.upstreams().choose(rng).unwrap().upstream, asks, time);
            }
            _ => say_leaving(fleet, rng, time),
        }
    }
}

/// Another upstream joins; the one that leaves says so for a while before its entry does.
fn say_leaving(fleet: &Fleet, rng: &mut SmallRng, time: Duration) {
    fleet.directory.join();
    if let Some(index) = fleet.directory.staying().choose(rng) {
        fleet.count("say leaving");
        fleet.upstreams()[*index].upstream.set(Manner::SayLeaving);
        thread::sleep(time);
        fleet.directory.leave(*index, rng.random_bool(0.5));
    }
}

/// Checks all arrivals behind what upstreams said; gives how many pauses and words of leaving were judged.
pub fn check(fleet: &Fleet, record: &Record) -> (usize, usize) {
    let (mut pauses, mut leavings) = (0, 0);
    for one in fleet.upstreams() {
        for (id, at, pause) in one.upstream.pauses.lock().unwrap().iter() {
            let bound = *at + UNDER_WAY..*at + *pause;
            if is_judged(fleet, &one, id, *at, bound.end) {
                pauses += 1;
                let arrivals = arrivals_of(&one, id).filter(|at| bound.contains(at)).count();
                if arrivals > ARRIVALS_MAX {
                    let name = &one.upstream.id;
                    record.broke(format!(
                        "{arrivals} requests reached {name} in its pause of {pause:?} after {id}"
                    ));
                }
            }
        }
        for (id, at) in one.upstream.leavings.lock().unwrap().iter() {
            let late = arrivals_of(&one, id).filter(|arrival| *arrival > *at + NO_WORK_AFTER);
            let late: Vec<Instant> =
                late.filter(|arrival| is_judged(fleet, &one, id, *at, *arrival)).collect();
            leavings += 1;
            if let Some(first) = late.first() {
                let (count, after) = (late.len(), first.duration_since(*at));
                let name = &one.upstream.id;
                record.broke(format!(
                    "{count} requests reached {name} {after:?} after it said in {id} that it leaves"
                ));
            }
        }
    }
    (pauses, leavings)
}

/// When requests arrived that came by the same node as this one.
fn arrivals_of(one: &Listed, id: &str) -> impl Iterator<Item = Instant> {
    let site = site_of(id);
    let arrivals = one.upstream.arrivals.lock().unwrap().clone();
    arrivals.into_iter().filter(move |(other, _)| site_of(other) == site).map(|(_, at)| at)
}

/// Whether the node that was told so went on undisturbed, and its way to the upstream and the machine were sound.
fn is_judged(fleet: &Fleet, one: &Listed, id: &str, from: Instant, until: Instant) -> bool {
    let site = site_of(id).and_then(|site| fleet.sites.get(site));
    let contacts = [site.map(|site| &site.contact), Some(&one.contact), Some(&fleet.machine)];
    contacts.into_iter().flatten().all(|contact| contact.sound(from, until))
}
