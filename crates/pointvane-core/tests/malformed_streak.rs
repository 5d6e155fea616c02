//! How long an upstream that sends malformed responses gets no requests.

use {googletest::prelude::*, pointvane_core::MalformedStreak};

const MS: u64 = 1_000;

fn pauses(streak: &mut MalformedStreak, responses: usize) -> Vec<Option<u64>> {
    (0..responses).map(|_| streak.record_malformed()).collect()
}

#[gtest]
fn the_tenth_malformed_response_in_a_row_brings_a_pause_and_each_further_one_a_longer() {
    let mut streak = MalformedStreak::default();
    expect_that!(pauses(&mut streak, 9), each(none()));
    let further: Vec<u64> = pauses(&mut streak, 7).into_iter().flatten().collect();
    expect_that!(further, eq(&[400, 800, 1_600, 3_200, 6_400, 6_400, 6_400].map(|ms| ms * MS)));
}

/// Guards against an upstream that spoils some of its responses and is taken for down.
#[gtest]
fn a_valid_response_starts_the_count_again() {
    let mut streak = MalformedStreak::default();
    for _ in 0..100 {
        expect_that!(pauses(&mut streak, 9), each(none()));
        streak.record_valid_response();
    }
    _ = pauses(&mut streak, 12);
    streak.record_valid_response();
    expect_that!(streak, eq(MalformedStreak::default()));
}
