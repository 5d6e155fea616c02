//! Hedge delays, and the baseline latency of a route.

mod common;

use {common::route, googletest::prelude::*, pointvane_core::RouteKind, pointvane_dispatch::RouteLatencies};

#[gtest]
fn the_hedge_delay_stays_within_its_shares_of_the_target() {
    let route = route(RouteKind::Safe);
    let mut times = RouteLatencies::new(&route);
    expect_that!(
        times.hedge_after_ms(&route),
        some(near(100.0, 0.1)),
        "half of the target before the first answer"
    );
    (0..1_000).for_each(|_| times.record_answer(1.0));
    expect_that!(times.hedge_after_ms(&route), some(near(20.0, 0.1)));
    (0..1_000).for_each(|_| times.record_answer(900.0));
    expect_that!(times.hedge_after_ms(&route), some(near(110.0, 0.1)));
}

#[gtest]
fn non_repeatable_requests_are_never_hedged() {
    for kind in [RouteKind::Unsafe, RouteKind::Upload] {
        let route = route(kind);
        expect_that!(RouteLatencies::new(&route).hedge_after_ms(&route), none());
    }
}

#[gtest]
fn the_baseline_is_the_median_of_uncontended_latencies() {
    let route = route(RouteKind::Safe);
    let mut times = RouteLatencies::new(&route);
    expect_that!(times.baseline_ms(), near(50.0, 0.1), "a quarter of the target before the first attempt");
    for _ in 0..500 {
        times.record_attempt(20.0, 1.0);
        times.record_attempt(60.0, 3.0);
    }
    expect_that!(times.baseline_ms(), near(20.0, 2.0));
    expect_that!(times.record_attempt(40.0, 2.0), near(2.0, 0.2), "twice the baseline");
}
