//! When callers of refused requests come back while their service is contended.

mod common;

use {
    common::route,
    googletest::prelude::*,
    pointvane_core::{RouteKind, RouteRule},
    pointvane_dispatch::ReturnInputs,
};

fn target(target_latency_ms: u64) -> RouteRule {
    RouteRule { target_latency_ms, ..route(RouteKind::Safe) }
}

const JITTERS: [f64; 5] = [0.0, 0.25, 0.5, 0.75, 1.0];

#[gtest]
fn a_request_that_can_be_in_time_comes_back_in_time_and_spread() {
    let inputs = ReturnInputs { spent_ms: 30.0, expected_latency_ms: 350.0, remaining_ms: 3_000.0 };
    let times: Vec<u32> = JITTERS.map(|jitter| inputs.return_after_ms(&target(600), jitter)).into();
    expect_that!(times, each(all!(ge(&30), le(&180))));
    expect_that!(times.last().unwrap() - times[0], ge(100));
    for after_ms in times {
        expect_that!(30.0 + f64::from(after_ms) + 350.0, lt(600.0));
    }
}

#[gtest]
fn a_request_that_cannot_be_in_time_comes_back_later() {
    let inputs = ReturnInputs { spent_ms: 300.0, expected_latency_ms: 350.0, remaining_ms: 2_700.0 };
    expect_that!(inputs.latest_ms(&target(600)), none());
    let times: Vec<u32> = JITTERS.map(|jitter| inputs.return_after_ms(&target(600), jitter)).into();
    expect_that!(times, each(all!(ge(&300), le(&780))));
}

#[gtest]
fn a_return_time_takes_a_third_of_the_time_left_at_most() {
    for remaining_ms in [0.0, 30.0, 200.0, 900.0] {
        let inputs = ReturnInputs { spent_ms: 500.0, expected_latency_ms: 300.0, remaining_ms };
        for jitter in JITTERS {
            let after_ms = f64::from(inputs.return_after_ms(&target(600), jitter));
            expect_that!(after_ms, le((remaining_ms / 3.0).max(1.0)), "{remaining_ms} ms, {jitter}");
        }
    }
}

#[gtest]
fn a_caller_that_will_not_wait_long_enough_cannot_come_back_in_time() {
    let inputs = ReturnInputs { spent_ms: 0.0, expected_latency_ms: 200.0, remaining_ms: 60.0 };
    expect_that!(inputs.latest_ms(&target(600)), none());
    let times: Vec<u32> = JITTERS.map(|jitter| inputs.return_after_ms(&target(600), jitter)).into();
    expect_that!(times, each(all!(ge(&1), le(&20))));
}

#[gtest]
fn nonsense_gives_a_bounded_time() {
    for value in [f64::NAN, f64::INFINITY, -1e9, 1e18] {
        for jitter in [f64::NAN, -1.0, 0.5, 7.0] {
            let inputs = ReturnInputs { spent_ms: value, expected_latency_ms: value, remaining_ms: 1_000.0 };
            expect_that!(inputs.return_after_ms(&target(600), jitter), le(780), "{value}, {jitter}");
        }
    }
}
