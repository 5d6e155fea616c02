//! Evacuations of data centres while everything else is disturbed, and whether their upstreams were sent work all the same.

use {
    crate::{departures::is_bound, fleet::Fleet, record::Record},
    rand::{Rng, rngs::SmallRng, seq::IndexedRandom},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// The data centres that upstreams are in, in turns.
pub const DATA_CENTRES: [&str; 2] = ["one", "two"];
/// Time from the store's acknowledgement of an evacuation until nodes in touch send there nothing more: half of the users' bound, with
/// which loopback and a busy machine get by. Wall clock; stalls of the machine put all nodes out of touch.
const NO_WORK_AFTER: Duration = Duration::from_millis(2_500);
/// How long an evacuation lasts, in milliseconds.
const LASTS_MS: std::ops::Range<u64> = 3_500..6_000;
/// Longest rest between two, in milliseconds.
const REST_MS: u64 = 1_500;
/// Evacuations in a run.
const COUNT: usize = 3;

/// An evacuation that was taken back.
#[derive(Clone, Copy, Debug)]
pub struct Evacuated {
    data_centre: &'static str,
    /// When the store had taken it.
    from: Instant,
    /// When it was about to be taken back.
    until: Instant,
}

/// Evacuates one data centre after another.
pub fn play(fleet: &Fleet, rng: &mut SmallRng) {
    for _ in 0..COUNT {
        thread::sleep(Duration::from_millis(rng.random_range(0..REST_MS)));
        fleet.count("evacuate");
        let data_centre = DATA_CENTRES.choose(rng).unwrap();
        fleet.store.evacuate(data_centre);
        let from = Instant::now();
        thread::sleep(Duration::from_millis(rng.random_range(LASTS_MS)));
        let until = Instant::now();
        fleet.store.take_back(data_centre);
        fleet.evacuated.lock().unwrap().push(Evacuated { data_centre, from, until });
    }
}

/// Checks all arrivals at upstreams of evacuated data centres.
pub fn check(fleet: &Fleet, record: &Record) {
    for evacuated in fleet.evacuated.lock().unwrap().iter() {
        let bound = evacuated.from + NO_WORK_AFTER..evacuated.until;
        for one in fleet.upstreams().iter().filter(|one| one.data_centre == evacuated.data_centre) {
            for (id, at) in one.upstream.arrivals.lock().unwrap().iter().filter(|(_, at)| bound.contains(at))
            {
                if is_bound(fleet, one, id, *at) {
                    let after = at.duration_since(evacuated.from);
                    record.broke(format!("{id} reached {} {after:?} after its evacuation", one.upstream.id));
                }
            }
        }
    }
}
