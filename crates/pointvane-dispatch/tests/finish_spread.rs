//! By how much requests take longer than expected.

use {googletest::prelude::*, pointvane_dispatch::FinishSpread};

/// Records latencies of 0.5 to 1.5 times `factor` of what was expected.
fn record(spread: &mut FinishSpread, factor: f64, count: u32) {
    for index in 0..count {
        spread.record(factor * (0.5 + f64::from(index * 37 % 100) / 100.0), 1.0);
    }
}

#[gtest]
fn the_factor_follows_the_upper_quantile() {
    let mut spread = FinishSpread::default();
    record(&mut spread, 1.0, 1_000);
    expect_that!(spread.factor(), all!(gt(1.15), lt(1.45)));
    record(&mut spread, 2.0, 100);
    expect_that!(spread.factor(), all!(gt(2.2), lt(2.9)));
    record(&mut spread, 1.0, 100);
    expect_that!(spread.factor(), all!(gt(1.1), lt(1.5)), "within a hundred requests");
}

#[gtest]
fn nonsense_is_ignored_and_the_factor_bounded() {
    let mut spread = FinishSpread::default();
    let initial = spread.factor();
    for (latency_ms, expected_ms) in [(f64::NAN, 1.0), (1.0, 0.0), (-1.0, 1.0), (0.0, 0.0), (1.0, f64::NAN)] {
        spread.record(latency_ms, expected_ms);
    }
    expect_that!(spread.factor(), eq(initial));
    (0..1_000).for_each(|_| spread.record(1e9, 1.0));
    expect_that!(spread.factor(), le(4.0));
    (0..1_000).for_each(|_| spread.record(1.0, 1e9));
    expect_that!(spread.factor(), ge(1.0));
}
