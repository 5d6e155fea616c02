//! Tests of parsing `Retry-After` and of the backoff from an upstream until it has run a request again.

use {
    googletest::prelude::*,
    pointvane_core::{Backoff, US_PER_S, retry_after_us},
    rand::{Rng, SeedableRng, rngs::SmallRng},
};

const HOUR_US: u64 = 3_600 * US_PER_S;

fn parse_retry_after(status: u16, values: &[&str]) -> Option<u64> {
    retry_after_us(status, values.iter().map(|value| value.as_bytes()))
}

#[gtest]
fn only_decimal_seconds_are_accepted() {
    for (text, us) in [
        ("3", 3_000_000),
        (" 3 ", 3_000_000),
        ("0.5", 500_000),
        (".25", 250_000),
        ("2.", 2_000_000),
        ("0.0000001", 1),
        ("007", 7_000_000),
        ("3600", HOUR_US),
    ] {
        expect_that!(parse_retry_after(503, &[text]), some(eq(us)), "{text}");
    }
    let date = "Fri, 31 Dec 1999 23:59:59 GMT";
    for text in
        ["", " ", "0", "0.0", "-1", "+1", "NaN", "inf", "1e400", "1e3", "soon", "3s", "1.2.3", ".", date]
    {
        expect_that!(parse_retry_after(503, &[text]), none(), "{text}");
    }
    expect_that!(retry_after_us(503, [[0xff, 0xfe].as_slice()]), none());
    // 400 digits overflow to infinity.
    expect_that!(parse_retry_after(503, &["9".repeat(400).as_str()]), none());
}

#[gtest]
fn longer_times_are_reduced_to_an_hour() {
    for text in ["3601", "86400", "1000000000000", &"9".repeat(40)] {
        expect_that!(parse_retry_after(503, &[text]), some(eq(HOUR_US)), "{text}");
    }
}

#[gtest]
fn the_longest_of_several_values_applies() {
    expect_that!(parse_retry_after(503, &["1", "3", "2"]), some(eq(3_000_000)));
    expect_that!(parse_retry_after(503, &["1, 3,soon"]), some(eq(3_000_000)));
    expect_that!(parse_retry_after(503, &["soon", "0"]), none());
}

/// 429 concerns the client, 421 another upstream and 408 a single request.
#[gtest]
fn only_status_503_requests_a_backoff() {
    for status in [200, 301, 408, 413, 421, 429, 500, 502, 504] {
        expect_that!(parse_retry_after(status, &["3"]), none(), "{status}");
    }
}

#[gtest]
fn sends_are_blocked_until_the_backoff_ends_and_resume_with_one_trial_request() {
    let mut backoff = Backoff::default();
    expect_that!(backoff.blocks_sends(1), eq(false));
    expect_that!(backoff.record_retry_after(3 * US_PER_S, US_PER_S / 2, 10 * US_PER_S), eq(true));
    expect_that!(backoff.until_us(10 * US_PER_S), some(eq(13 * US_PER_S + US_PER_S / 2)));
    expect_that!(backoff.blocks_sends(13 * US_PER_S), eq(true));
    let resume_us = 13 * US_PER_S + US_PER_S / 2;
    expect_that!(backoff.blocks_sends(resume_us), eq(false));
    backoff.record_send(resume_us);
    expect_that!(backoff.blocks_sends(resume_us + 1), eq(true), "the trial request blocks other sends");
    expect_that!(backoff.record_result(true, resume_us + 2), eq(true));
    expect_that!(backoff.blocks_sends(resume_us + 3), eq(false));
    backoff.record_send(resume_us + 3);
    expect_that!(backoff.blocks_sends(resume_us + 4), eq(false), "no trial after the backoff has ended");
}

#[gtest]
fn a_trial_request_that_fails_or_never_ends_is_followed_by_another() {
    let mut backoff = Backoff::default();
    backoff.record_retry_after(US_PER_S, 0, 0);
    backoff.record_send(US_PER_S);
    expect_that!(backoff.record_result(false, US_PER_S + 1), eq(false));
    expect_that!(backoff.blocks_sends(US_PER_S + 2), eq(false));
    backoff.record_send(US_PER_S + 2);
    expect_that!(backoff.blocks_sends(US_PER_S + 3), eq(true));
    expect_that!(backoff.blocks_sends(2 * US_PER_S), eq(false), "the trial request timed out");
}

#[gtest]
fn a_request_sent_before_the_backoff_does_not_end_it() {
    let mut backoff = Backoff::default();
    backoff.record_retry_after(3 * US_PER_S, 0, US_PER_S);
    expect_that!(backoff.record_result(true, 2 * US_PER_S), eq(false));
    expect_that!(backoff.blocks_sends(3 * US_PER_S), eq(true));
}

/// Random backoffs, sends and results: a later backoff never shortens an earlier one.
#[gtest]
fn no_request_is_sent_before_the_end_of_any_requested_backoff() {
    for seed in 0..2_000 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (mut backoff, mut now_us, mut until_us) = (Backoff::default(), 1, 0);
        for _ in 0..100 {
            now_us += rng.random_range(0..US_PER_S);
            match rng.random_range(0..4) {
                0 => {
                    let for_us = rng.random_range(1..5 * US_PER_S);
                    backoff.record_retry_after(for_us, rng.random_range(0..for_us), now_us);
                    until_us = until_us.max(now_us + for_us);
                }
                1 => _ = backoff.record_result(rng.random_bool(0.5), now_us),
                _ if !backoff.blocks_sends(now_us) => {
                    assert!(now_us >= until_us, "seed {seed}");
                    backoff.record_send(now_us);
                }
                _ => {}
            }
        }
    }
}

/// Random values, mostly of the characters of numbers.
#[gtest]
fn random_values_neither_panic_nor_exceed_an_hour() {
    let mut rng = SmallRng::seed_from_u64(1);
    for _ in 0..200_000 {
        let length = rng.random_range(0..24);
        let value: Vec<u8> = (0..length)
            .map(|_| {
                if rng.random_bool(0.2) { rng.random() } else { b"0123456789.,-+e "[rng.random_range(0..16)] }
            })
            .collect();
        if let Some(us) = retry_after_us(503, [value.as_slice()]) {
            assert!((1..=HOUR_US).contains(&us), "{value:?}");
        }
    }
}
