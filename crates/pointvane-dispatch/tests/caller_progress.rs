//! How much of its time a caller has spent before, by the times that callers of a route state.

use {googletest::prelude::*, pointvane_dispatch::CallerProgress};

/// Progress after `count` requests in calm, whose stated times repeat `stated_ms`.
fn in_calm(stated_ms: &[u64], count: usize) -> CallerProgress {
    let mut progress = CallerProgress::default();
    stated_ms.iter().cycle().take(count).for_each(|stated_ms| _ = progress.record(Some(*stated_ms), false));
    progress
}

#[gtest]
fn a_caller_that_comes_back_has_spent_what_it_states_less() {
    let mut progress = in_calm(&[3_000], 50);
    expect_that!(progress.record(Some(2_820), true), near(180.0, 0.1));
    expect_that!(progress.record(Some(3_000), true), eq(0.0));
    expect_that!(progress.record(Some(2_990), true), eq(0.0), "the time on the way");
}

#[gtest]
fn without_a_stated_time_nothing_is_known() {
    let mut progress = in_calm(&[3_000], 50);
    expect_that!(progress.record(None, true), eq(0.0));
    expect_that!(CallerProgress::default().record(Some(1_000), true), eq(0.0), "nothing recorded yet");
    expect_that!(in_calm(&[3_000], 3).record(Some(2_800), true), eq(0.0), "too few recorded");
}

#[gtest]
fn callers_with_a_few_usual_times_are_new() {
    let mut progress = in_calm(&[3_000, 1_000, 2_000, 3_000], 200);
    for stated_ms in [1_000, 2_000, 3_000] {
        expect_that!(progress.record(Some(stated_ms), true), eq(0.0), "{stated_ms}");
    }
    expect_that!(progress.record(Some(1_850), true), near(150.0, 0.1), "less than the next usual time");
}

#[gtest]
fn callers_that_state_many_times_are_new() {
    let mut progress = CallerProgress::default();
    for index in 0..2_000_u64 {
        let spent_ms = progress.record(Some(500 + index * 7_919 % 2_500), index % 2 == 0);
        expect_that!(spent_ms, eq(0.0), "request {index}");
    }
    // Half of them state one time, the others any below.
    let mut progress = CallerProgress::default();
    for index in 0..2_000_u64 {
        let stated_ms = if index % 2 == 0 { 3_000 } else { 1_200 + index * 7_919 % 1_800 };
        let spent_ms = progress.record(Some(stated_ms), false);
        expect_that!(index < 100 || spent_ms == 0.0, eq(true), "request {index}: {spent_ms}");
    }
}

#[gtest]
fn returned_callers_do_not_become_usual() {
    let mut progress = in_calm(&[3_000], 50);
    for index in 0..2_000_u64 {
        let left_ms = 2_700 + index * 7_919 % 150;
        expect_that!(progress.record(Some(left_ms), true), gt(0.0), "request {index}");
        expect_that!(progress.record(Some(3_000), true), eq(0.0));
    }
}

#[gtest]
fn a_new_usual_time_is_taken_over() {
    let mut progress = in_calm(&[3_000], 500);
    (0..200).for_each(|_| _ = progress.record(Some(2_000), false));
    expect_that!(progress.record(Some(2_000), true), eq(0.0));
}

#[gtest]
fn nonsense_is_no_progress() {
    let mut progress = in_calm(&[3_000], 50);
    for stated_ms in [0, 1, 100, u64::MAX] {
        expect_that!(progress.record(Some(stated_ms), true), eq(0.0), "{stated_ms}");
    }
}
