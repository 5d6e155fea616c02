//! Evacuates data centres during other faults; checks that their upstreams then receive no requests.

use {
    crate::{departures::is_path_fault_free, fleet::Fleet, record::Record},
    rand::{Rng, rngs::SmallRng, seq::IndexedRandom},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Data centres, assigned to upstreams in turn.
pub const DATA_CENTRES: [&str; 2] = ["one", "two"];
/// Time from the store's acknowledgement of an evacuation until reachable nodes must send nothing there: half
/// of the bound that users rely on, which suffices for loopback and a busy machine. Wall clock; no node is
/// checked while the machine stalls.
const STOP_SENDING_WITHIN: Duration = Duration::from_millis(2_500);
/// Duration of an evacuation, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 3_500..6_000;
/// Longest pause between two evacuations, in milliseconds.
const INTERVAL_MAX_MS: u64 = 1_500;
/// Evacuations per run.
const COUNT: usize = 3;

/// An evacuation that was cancelled.
#[derive(Clone, Copy, Debug)]
pub struct Evacuation {
    data_centre: &'static str,
    /// When the store acknowledged the evacuation.
    from: Instant,
    /// Just before the evacuation was cancelled.
    until: Instant,
}

/// Evacuates one data centre after another, each for a while.
pub fn run(fleet: &Fleet, rng: &mut SmallRng) {
    for _ in 0..COUNT {
        thread::sleep(Duration::from_millis(rng.random_range(0..INTERVAL_MAX_MS)));
        fleet.count("evacuate");
        let data_centre = DATA_CENTRES.choose(rng).unwrap();
        fleet.store.evacuate(data_centre);
        let from = Instant::now();
        thread::sleep(Duration::from_millis(rng.random_range(DURATION_MS)));
        let until = Instant::now();
        fleet.store.end_evacuation(data_centre);
        fleet.completed_evacuations.lock().unwrap().push(Evacuation { data_centre, from, until });
    }
}

/// Checks all arrivals at upstreams of evacuated data centres.
pub fn check(fleet: &Fleet, record: &Record) {
    for evacuation in fleet.completed_evacuations.lock().unwrap().iter() {
        let checked_range = evacuation.from + STOP_SENDING_WITHIN..evacuation.until;
        for listed in fleet.upstreams().iter().filter(|listed| listed.data_centre == evacuation.data_centre) {
            for (id, at) in
                listed.upstream.arrivals.lock().unwrap().iter().filter(|(_, at)| checked_range.contains(at))
            {
                if is_path_fault_free(fleet, listed, id, *at) {
                    let after = at.duration_since(evacuation.from);
                    record.add_violation(format!(
                        "{id} reached {} {after:?} after its evacuation",
                        listed.upstream.id
                    ));
                }
            }
        }
    }
}
