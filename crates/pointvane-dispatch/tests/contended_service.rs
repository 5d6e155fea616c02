//! Bursts of more requests than a service bears: what of the work is in time, and what callers get who come
//! back.

mod common;
mod contended_simulation;

use {
    contended_simulation::{Design, Outcome, Play, play_seeds},
    googletest::prelude::*,
};

const FIXED_BOUNDS: [f64; 3] = [1.0, 1.3, 1.8];
const SEEDS: u64 = 3;

fn plays() -> impl Iterator<Item = Play> {
    let sizes = [(18, 20), (120, 40)];
    sizes.into_iter().flat_map(|(nodes, upstreams)| {
        [1.1, 1.5, 2.5].map(|burst| Play { nodes, upstreams, burst, kinds: &[], restarts: false, seed: 1 })
    })
}

fn describe(outcome: &Outcome) -> String {
    format!(
        "in time {} of {}, late {}, refused {} and again {} ({:.2}), work in time {:.3}, recovered {:.3}",
        outcome.in_time,
        outcome.first_tries,
        outcome.late,
        outcome.refused_once,
        outcome.refused_again,
        outcome.refused_again_share(),
        outcome.work_share(),
        outcome.recovered_share()
    )
}

#[gtest]
fn most_work_of_a_burst_is_in_time() {
    for play in plays() {
        let outcome = play_seeds(play, Design::Contended, SEEDS);
        println!("{play:?}: {}", describe(&outcome));
        expect_that!(outcome.work_share(), ge(0.85), "{play:?}");
        expect_that!(outcome.recovered_share(), ge(0.95), "{play:?}");
    }
}

#[gtest]
fn as_many_requests_are_in_time_as_with_the_best_fixed_bound() {
    for play in plays() {
        let outcome = play_seeds(play, Design::Contended, SEEDS);
        println!("{play:?}: {}", describe(&outcome));
        for bound in FIXED_BOUNDS {
            let fixed = play_seeds(play, Design::FixedBound(bound), SEEDS);
            println!("  bound {bound}: {}", describe(&fixed));
            expect_that!(outcome.in_time, ge(fixed.in_time), "{play:?}, bound {bound}");
        }
    }
}

/// Kinds of requests by demand, as multiples of what the service bears.
const MIXES: [&[f64]; 4] = [&[0.3, 0.6], &[0.4, 1.1], &[0.3, 0.6, 0.6], &[0.5, 1.0, 1.5]];

#[gtest]
fn urgent_requests_are_in_time_beside_bursts_of_less_urgent_ones() {
    for kinds in MIXES {
        for (nodes, upstreams) in [(18, 20), (120, 40)] {
            let play = Play { nodes, upstreams, burst: kinds.iter().sum(), kinds, restarts: false, seed: 1 };
            let outcome = play_seeds(play, Design::Contended, SEEDS);
            let shares: Vec<f64> = (0..kinds.len()).map(|kind| outcome.kind_share(kind)).collect();
            println!("{play:?}: {shares:.3?}; {}", describe(&outcome));
            for bound in FIXED_BOUNDS {
                let fixed = play_seeds(play, Design::FixedBound(bound), SEEDS);
                let shares: Vec<f64> = (0..kinds.len()).map(|kind| fixed.kind_share(kind)).collect();
                println!("  bound {bound}: {shares:.3?}; {}", describe(&fixed));
            }
            expect_that!(shares[0], ge(0.95), "{play:?}");
            expect_that!(
                shares.is_sorted_by(|more, less| more + 0.02 >= *less),
                eq(true),
                "{play:?}: {shares:?}"
            );
            expect_that!(shares, each(ge(&0.1)), "{play:?}: no kind starves");
        }
    }
}

/// Second tries refused, of all requests refused, compared with the bound and return times without contention.
#[gtest]
fn fewer_of_those_who_come_back_are_refused_again() {
    for play in plays() {
        let outcome = play_seeds(play, Design::Contended, SEEDS);
        let fixed = play_seeds(play, Design::FixedBound(1.8), SEEDS);
        println!("{play:?}: {}", describe(&outcome));
        println!("  bound 1.8: {}", describe(&fixed));
        expect_that!(outcome.refused_again_share(), lt(fixed.refused_again_share()), "{play:?}");
    }
}

/// Nodes that start in the middle of the burst know neither the load nor what callers state.
#[gtest]
fn nodes_that_restart_in_a_burst_do_no_harm() {
    let play = Play { nodes: 18, upstreams: 20, burst: 1.5, kinds: &[], restarts: false, seed: 1 };
    let outcome = play_seeds(Play { restarts: true, ..play }, Design::Contended, SEEDS);
    println!("{}", describe(&outcome));
    expect_that!(outcome.work_share(), ge(0.85));
    expect_that!(outcome.recovered_share(), ge(0.95));
}
