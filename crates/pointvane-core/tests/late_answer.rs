//! Tests of how long the response head of an abandoned attempt is awaited.

use {
    googletest::prelude::*,
    pointvane_core::{SentRequest, US_PER_MS},
};

const SENT_US: u64 = 1_000 * US_PER_MS;
const DUE_US: u64 = 3_000 * US_PER_MS;
/// Time from send to response of the slowest of 1,099 rejections, in milliseconds.
const REJECTED_AFTER_MS: u64 = 11;
/// Time within which an abandoned request must be cancelled at its upstream, in milliseconds: a requirement
/// of the target platform.
const CANCELLED_WITHIN_MS: u64 = 500;

fn sent(round_trip_ms: u64) -> SentRequest {
    SentRequest { sent_at_us: SENT_US, answer_deadline_us: DUE_US, round_trip_us: round_trip_ms * US_PER_MS }
}

/// An immediate rejection must be read whether the upstream is in the same data centre, in another or in
/// another region; otherwise its `Retry-After` is lost.
#[gtest]
fn an_immediate_rejection_is_read_for_any_round_trip_time() {
    for round_trip_ms in [0, 1, 3, 24, 70, 110] {
        let answered_us = SENT_US + (round_trip_ms + REJECTED_AFTER_MS) * US_PER_MS;
        expect_that!(
            sent(round_trip_ms).await_head_until_us(SENT_US + 1),
            gt(answered_us),
            "{round_trip_ms} ms"
        );
    }
}

/// The upstream rejects a request that times out in its queue. That rejection arrives one network delay after
/// this process gave up at the deadline, or after the caller disconnected shortly before it.
#[gtest]
fn a_rejection_at_the_deadline_is_read_for_any_round_trip_time() {
    for round_trip_ms in [0, 3, 110] {
        for abandoned_us in [DUE_US - 55 * US_PER_MS, DUE_US, DUE_US + 5 * US_PER_MS] {
            let answered_us = DUE_US + (round_trip_ms + REJECTED_AFTER_MS) * US_PER_MS;
            expect_that!(sent(round_trip_ms).await_head_until_us(abandoned_us), gt(answered_us));
        }
    }
}

/// The bound applies whenever the request is abandoned, and however long its connection took to open.
#[gtest]
fn abandoned_requests_are_cancelled_within_the_bound() {
    for round_trip_ms in [0, 3, 110, 300, 3_000, u64::MAX / US_PER_MS] {
        for abandoned_ms in (1_000..4_000).step_by(7) {
            let until_us = sent(round_trip_ms).await_head_until_us(abandoned_ms * US_PER_MS);
            expect_that!(until_us, lt((abandoned_ms + CANCELLED_WITHIN_MS) * US_PER_MS));
        }
    }
}

/// A request sent after its deadline, and times at the maximum of the clock.
#[gtest]
fn extreme_times_do_not_overflow() {
    let late = SentRequest { sent_at_us: DUE_US + 1, answer_deadline_us: DUE_US, round_trip_us: 0 };
    expect_that!(late.await_head_until_us(DUE_US + 2), gt(DUE_US));
    expect_that!(sent(1).await_head_until_us(u64::MAX), gt(DUE_US));
}
