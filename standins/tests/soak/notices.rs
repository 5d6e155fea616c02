//! Makes upstreams request pauses, one or all at once, and announce that they leave before their entries do,
//! during other faults; checks that nodes comply.

use {
    crate::{
        departures::node_index_of,
        faults::misbehave_for,
        fleet::Fleet,
        record::Record,
        upstreams::ListedUpstream,
        users_platform::{Upstream, UpstreamBehaviour},
    },
    rand::{Rng, rngs::SmallRng, seq::IndexedRandom},
    std::{
        net::IpAddr,
        ops::Range,
        thread,
        time::{Duration, Instant},
    },
};

/// Notices per run.
const COUNT: usize = 14;
/// Requested pauses, in milliseconds.
const PAUSE_MS: Range<u64> = 600..3_000;
/// Delay before an upstream sends an immediate refusal, in milliseconds; up to the longest delay observed.
const REFUSAL_DELAY_MS: Range<u64> = 1..11;
/// Time for which an upstream gives the notice, in milliseconds.
const DURATION_MS: Range<u64> = 100..1_500;
/// Longest pause between two notices, in milliseconds.
const INTERVAL_MAX_MS: u64 = 800;
/// Requests already in flight when the upstream requested the pause may arrive for this long.
const IN_FLIGHT_GRACE: Duration = Duration::from_millis(500);
/// Requests of one node tolerated between the end of that time and the end of the pause.
const ARRIVALS_MAX: usize = 2;
/// Time from the first answer that announces the departure until a node must send the upstream nothing more:
/// 2 s by the rules, plus 0.5 s for loopback and a busy machine. Wall clock; no node is checked while the
/// machine stalls.
const STOP_SENDING_WITHIN: Duration = Duration::from_millis(2_500);

/// Makes upstreams request pauses or leave, one after another.
pub fn run(fleet: &Fleet, rng: &mut SmallRng) {
    for _ in 0..COUNT {
        thread::sleep(Duration::from_millis(rng.random_range(0..INTERVAL_MAX_MS)));
        let time = Duration::from_millis(rng.random_range(DURATION_MS));
        let pause_ms = rng.random_range(PAUSE_MS);
        let behaviour = match fleet.directory.restarts() && rng.random_bool(0.5) {
            true => {
                UpstreamBehaviour::RequestPauseLate { pause_ms, after_ms: rng.random_range(REFUSAL_DELAY_MS) }
            }
            false => UpstreamBehaviour::RequestPause(pause_ms),
        };
        match rng.random_range(0..8) {
            0 => {
                fleet.count("all ask for a pause");
                let upstreams: Vec<Upstream> =
                    fleet.upstreams().into_iter().map(|listed| listed.upstream).collect();
                thread::scope(|scope| {
                    upstreams
                        .iter()
                        .for_each(|upstream| _ = scope.spawn(|| misbehave_for(upstream, behaviour, time)));
                });
            }
            1..=4 => {
                fleet.count("ask for a pause");
                misbehave_for(&fleet.upstreams().choose(rng).unwrap().upstream, behaviour, time);
            }
            _ => announce_departure(fleet, rng, time),
        }
    }
}

/// Adds an upstream; another one announces that it leaves for a while before its entry does.
fn announce_departure(fleet: &Fleet, rng: &mut SmallRng, time: Duration) {
    fleet.directory.join();
    if let Some(index) = fleet.directory.remaining().choose(rng) {
        fleet.count("say leaving");
        fleet.upstreams()[*index].upstream.set_behaviour(UpstreamBehaviour::AnnounceLeaving);
        thread::sleep(time);
        fleet.directory.leave(*index, rng.random_bool(0.5));
    }
}

/// Checks all arrivals after notices; returns how many pauses and departures were checked.
pub fn check(fleet: &Fleet, record: &Record) -> (usize, usize) {
    let (mut pauses, mut departures) = (0, 0);
    for listed in fleet.upstreams() {
        for (id, at, pause) in listed.upstream.pauses.lock().unwrap().iter() {
            let checked_range = *at + IN_FLIGHT_GRACE..*at + *pause;
            let node_index = receiver_of(fleet, &listed, id, *at);
            if is_checkable(fleet, &listed, node_index, *at, checked_range.end) {
                pauses += 1;
                let arrivals =
                    arrivals_of(fleet, &listed, node_index).filter(|at| checked_range.contains(at)).count();
                if arrivals > ARRIVALS_MAX {
                    let name = &listed.upstream.id;
                    record.add_violation(format!(
                        "{arrivals} requests reached {name} in its pause of {pause:?} after {id}"
                    ));
                }
            }
        }
        for (id, at) in listed.upstream.departures.lock().unwrap().iter() {
            let node_index = receiver_of(fleet, &listed, id, *at);
            let late = arrivals_of(fleet, &listed, node_index)
                .filter(|arrival| *arrival > *at + STOP_SENDING_WITHIN);
            let late: Vec<Instant> =
                late.filter(|arrival| is_checkable(fleet, &listed, node_index, *at, *arrival)).collect();
            departures += 1;
            if let Some(first) = late.first() {
                let (count, after) = (late.len(), first.duration_since(*at));
                let name = &listed.upstream.id;
                record.add_violation(format!(
                    "{count} requests reached {name} {after:?} after it announced its departure in {id}"
                ));
            }
        }
    }
    (pauses, departures)
}

/// Returns when each request arrived, its id, and the node that sent it. That is not always the node that its caller
/// sent it to: a node that has lost the service forwards it through another, and a notice binds the one that it was
/// sent to. Behind a proxy the sender is not known, and the caller's node is taken for it.
fn arrivals(fleet: &Fleet, listed: &ListedUpstream) -> Vec<(Instant, String, Option<usize>)> {
    let arrivals = listed.upstream.arrivals.lock().unwrap().clone();
    let senders = listed.upstream.senders.lock().unwrap().clone();
    let node_index = |sender: &IpAddr| fleet.nodes.iter().position(|node| IpAddr::from(node.ip) == *sender);
    arrivals
        .into_iter()
        .zip(&senders)
        .map(|((id, at), sender)| {
            let node = node_index(sender).or_else(|| node_index_of(&id));
            (at, id, node)
        })
        .collect()
}

/// Returns the node that got the response to request `id` at that time: the last that had sent it before.
fn receiver_of(fleet: &Fleet, listed: &ListedUpstream, id: &str, at: Instant) -> Option<usize> {
    let before =
        arrivals(fleet, listed).into_iter().filter(|(arrived, other, _)| other == id && *arrived <= at);
    before.max_by_key(|(arrived, ..)| *arrived).map_or_else(|| node_index_of(id), |(.., node)| node)
}

/// Returns when requests arrived that a node sent.
fn arrivals_of(
    fleet: &Fleet,
    listed: &ListedUpstream,
    node_index: Option<usize>,
) -> impl Iterator<Item = Instant> {
    let sent = arrivals(fleet, listed).into_iter().filter(move |(.., node)| *node == node_index);
    sent.map(|(at, ..)| at)
}

/// Returns whether the node that received the notice, its link to the upstream and the machine had no faults
/// in between.
fn is_checkable(
    fleet: &Fleet,
    listed: &ListedUpstream,
    node_index: Option<usize>,
    from: Instant,
    until: Instant,
) -> bool {
    let node = node_index.and_then(|index| fleet.nodes.get(index));
    let histories = [node.map(|node| &node.faults), Some(&listed.faults), Some(&fleet.machine_stalls)];
    histories.into_iter().flatten().all(|faults| faults.is_fault_free(from, until))
}
