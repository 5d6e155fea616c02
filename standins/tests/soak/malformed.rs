//! Upstreams that send malformed responses. Whether any looks complete shows in the answers that callers check.

use {
    crate::{
        faults::misbehave_for,
        fleet::Fleet,
        upstreams::ListedUpstream,
        users_platform::{MALFORMED, Malformed, UpstreamBehaviour},
    },
    rand::{
        Rng,
        rngs::SmallRng,
        seq::{IndexedRandom, SliceRandom},
    },
    std::{ops::Range, thread, time::Duration},
};

/// Times that upstreams begin to send malformed responses.
const COUNT: usize = 24;
/// Time for which they do, in milliseconds.
const DURATION_MS: Range<u64> = 100..1_000;
/// Longest pause in between, in milliseconds.
const INTERVAL_MAX_MS: u64 = 300;

/// Lets upstreams send malformed responses, up to half of them at once.
pub fn run(fleet: &Fleet, rng: &mut SmallRng) {
    for _ in 0..COUNT {
        thread::sleep(Duration::from_millis(rng.random_range(0..INTERVAL_MAX_MS)));
        let mut upstreams = fleet.upstreams();
        upstreams.shuffle(rng);
        upstreams.truncate(rng.random_range(1..=upstreams.len().div_ceil(2)));
        let time = Duration::from_millis(rng.random_range(DURATION_MS));
        fleet.count("malformed");
        thread::scope(|scope| {
            for listed in &upstreams {
                let behaviour = UpstreamBehaviour::Malformed(kind_for(listed, rng));
                scope.spawn(move || misbehave_for(&listed.upstream, behaviour, time));
            }
        });
    }
}

/// Draws a kind of response. A proxy ends a connection in an orderly way when its upstream resets it, which makes the
/// part of a body without a length a whole one, so such responses are left to upstreams that are reached directly.
fn kind_for(listed: &ListedUpstream, rng: &mut SmallRng) -> Malformed {
    loop {
        let kind = *MALFORMED.choose(rng).unwrap();
        if listed.link.is_none() || !kind.is_reset_in_body() {
            return kind;
        }
    }
}
