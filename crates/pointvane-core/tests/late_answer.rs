//! Until when the head of an answer is read that nobody waits for any more.

use {
    googletest::prelude::*,
    pointvane_core::{SentRequest, US_PER_MS},
};

const SENT_US: u64 = 1_000 * US_PER_MS;
const DUE_US: u64 = 3_000 * US_PER_MS;
/// How long after a send, in milliseconds, the slowest of 1,099 upstreams had turned a request away.
const TURNED_AWAY_MS: u64 = 11;
/// Time after which work that nobody waits for must have ended at its upstream, in milliseconds: the users' rule allows half a second.
const CANCELLED_WITHIN_MS: u64 = 500;

fn sent(round_trip_ms: u64) -> SentRequest {
    SentRequest { sent_at_us: SENT_US, answer_by_us: DUE_US, round_trip_us: round_trip_ms * US_PER_MS }
}

/// One that is turned away at once, wherever its upstream stands: in the same data centre, in another, in another region.
#[gtest]
fn an_answer_that_comes_at_once_is_read_over_any_path() {
    for round_trip_ms in [0, 1, 3, 24, 70, 110] {
        let answered_us = SENT_US + (round_trip_ms + TURNED_AWAY_MS) * US_PER_MS;
        expect_that!(sent(round_trip_ms).heeded_until_us(SENT_US + 1), gt(answered_us), "{round_trip_ms} ms");
    }
}

/// Its upstream turns it away when its time is over in the queue: a path's time after this process gave it up, or its caller a little before.
#[gtest]
fn an_answer_that_comes_when_the_time_is_over_is_read_over_any_path() {
    for round_trip_ms in [0, 3, 110] {
        for abandoned_us in [DUE_US - 55 * US_PER_MS, DUE_US, DUE_US + 5 * US_PER_MS] {
            let answered_us = DUE_US + (round_trip_ms + TURNED_AWAY_MS) * US_PER_MS;
            expect_that!(sent(round_trip_ms).heeded_until_us(abandoned_us), gt(answered_us));
        }
    }
}

/// Whenever it is abandoned and however long its connection took to open, its upstream soon hears of it.
#[gtest]
fn no_abandoned_request_goes_on_for_long() {
    for round_trip_ms in [0, 3, 110, 300, 3_000, u64::MAX / US_PER_MS] {
        for abandoned_ms in (1_000..4_000).step_by(7) {
            let until_us = sent(round_trip_ms).heeded_until_us(abandoned_ms * US_PER_MS);
            expect_that!(until_us, lt((abandoned_ms + CANCELLED_WITHIN_MS) * US_PER_MS));
        }
    }
}

/// What is sent when its time is over already, and clocks at their ends.
#[gtest]
fn odd_moments_do_no_harm() {
    let late = SentRequest { sent_at_us: DUE_US + 1, answer_by_us: DUE_US, round_trip_us: 0 };
    expect_that!(late.heeded_until_us(DUE_US + 2), gt(DUE_US));
    expect_that!(sent(1).heeded_until_us(u64::MAX), gt(DUE_US));
}
