//! Makes upstreams announce rate limits during other faults; checks that nodes together stay within them.

use {
    crate::{
        departures::node_index_of, fault_history::SETTLE_TIME, fleet::Fleet, record::Record,
        upstreams::ListedUpstream, users_platform::UpstreamBehaviour,
    },
    rand::{Rng, rngs::SmallRng, seq::IndexedRandom},
    std::{
        ops::Range,
        thread,
        time::{Duration, Instant},
    },
};

/// Limits announced per run.
const COUNT: usize = 2;
/// Limits, in requests per 1,000 s.
const PER_1000_S: Range<u32> = 700..6_000;
/// Time for which a limit is announced, in milliseconds.
const DURATION_MS: Range<u64> = 9_000..13_000;
/// Longest pause between two limits, in milliseconds.
const INTERVAL_MAX_MS: u64 = 800;
/// Window of the users' rule. Within it a multiple of the limit plus a fixed number of requests is allowed.
const WINDOW: Duration = Duration::from_secs(4);
const OVERSHOOT_FACTOR: f64 = 1.5;
const SLACK_REQUESTS: f64 = 5.0;
/// Requests of a node count from this long after an answer with the limit passed through it.
const NOTICE_GRACE: Duration = Duration::from_millis(500);

/// A series of consecutive answers in which an upstream announced the same limit.
struct Episode {
    from: Instant,
    until: Instant,
    per_1000_s: u32,
}

/// Makes one upstream after another announce a limit.
pub fn run(fleet: &Fleet, rng: &mut SmallRng) {
    for _ in 0..COUNT {
        thread::sleep(Duration::from_millis(rng.random_range(0..INTERVAL_MAX_MS)));
        let remaining = fleet.directory.remaining();
        let Some(index) = remaining.choose(rng) else { continue };
        let upstream = fleet.upstreams()[*index].upstream.clone();
        fleet.count("name a limit");
        upstream.set_behaviour(UpstreamBehaviour::AnnounceLimit { per_1000_s: rng.random_range(PER_1000_S) });
        thread::sleep(Duration::from_millis(rng.random_range(DURATION_MS)));
        upstream.set_behaviour(UpstreamBehaviour::Normal);
    }
}

/// Checks all windows in which a limit applied; returns how many were checked.
pub fn check(fleet: &Fleet, record: &Record) -> usize {
    fleet.upstreams().iter().map(|listed| check_upstream(fleet, listed, record)).sum()
}

fn check_upstream(fleet: &Fleet, listed: &ListedUpstream, record: &Record) -> usize {
    let arrivals = listed.upstream.arrivals.lock().unwrap().clone();
    let mut checked = 0;
    for episode in episodes(listed) {
        let checked_range = episode.from + SETTLE_TIME..episode.until;
        for (_, from) in arrivals.iter().filter(|(_, at)| checked_range.contains(at)) {
            let window = *from..*from + WINDOW;
            if window.end > episode.until || !is_upstream_fault_free(fleet, listed, &window) {
                continue;
            }
            checked += 1;
            let in_window = arrivals.iter().filter(|(id, at)| {
                window.contains(at) && knew_limit(listed, id, *at) && is_node_fault_free(fleet, id, &window)
            });
            let received = in_window.count();
            let allowed = f64::from(episode.per_1000_s) / 1e3 * WINDOW.as_secs_f64() * OVERSHOOT_FACTOR
                + SLACK_REQUESTS;
            if received as f64 > allowed {
                let (name, limit) = (&listed.upstream.id, episode.per_1000_s);
                record.add_violation(format!(
                    "{received} requests reached {name} in 4 s, the limit is {limit} per 1,000 s"
                ));
                return checked;
            }
        }
    }
    checked
}

fn episodes(listed: &ListedUpstream) -> Vec<Episode> {
    let mut episodes: Vec<Episode> = Vec::new();
    let mut is_open = false;
    for notice in listed.upstream.limits.lock().unwrap().iter() {
        let continues = |last: &&mut Episode| is_open && Some(last.per_1000_s) == notice.per_1000_s;
        match (notice.per_1000_s, episodes.last_mut().filter(continues)) {
            (Some(_), Some(last)) => last.until = notice.at,
            (Some(per_1000_s), None) => {
                episodes.push(Episode { from: notice.at, until: notice.at, per_1000_s });
            }
            (None, _) => {}
        }
        is_open = notice.per_1000_s.is_some();
    }
    episodes
}

/// Returns whether the machine did not stall and the upstream had no faults during the window.
fn is_upstream_fault_free(fleet: &Fleet, listed: &ListedUpstream, window: &Range<Instant>) -> bool {
    [&listed.faults, &fleet.machine_stalls]
        .iter()
        .all(|faults| faults.is_fault_free(window.start, window.end))
}

/// Returns whether the node that a request was sent to had no faults during the window.
fn is_node_fault_free(fleet: &Fleet, id: &str, window: &Range<Instant>) -> bool {
    let node = node_index_of(id).and_then(|index| fleet.nodes.get(index));
    node.is_some_and(|node| node.faults.is_fault_free(window.start, window.end))
}

/// Returns whether the node that a request was sent to had passed on an answer with the limit early enough.
fn knew_limit(listed: &ListedUpstream, id: &str, at: Instant) -> bool {
    let limits = listed.upstream.limits.lock().unwrap();
    limits.iter().any(|notice| {
        notice.per_1000_s.is_some()
            && node_index_of(&notice.id) == node_index_of(id)
            && notice.at + NOTICE_GRACE <= at
    })
}
