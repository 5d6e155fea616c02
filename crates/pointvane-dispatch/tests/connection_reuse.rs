//! Tests of connection reuse: which idle connection is taken, why a new one is opened, and how long connections
//! are kept idle.

use {
    googletest::prelude::*,
    pointvane_dispatch::{
        ConnectionPurpose, IdleTimes, NON_REPEATABLE_IDLE_MAX_US, OpenReason, OtherConnections, Removal,
        SURPLUS_BYTES_WINDOW_US, choose_idle, idle_max_ms,
    },
};

const FRESH: IdleTimes = IdleTimes { idle_us: NON_REPEATABLE_IDLE_MAX_US - 1, since_request_us: None };
const OLD: IdleTimes = IdleTimes { idle_us: NON_REPEATABLE_IDLE_MAX_US, since_request_us: None };
const IN_WINDOW: IdleTimes = IdleTimes { since_request_us: Some(SURPLUS_BYTES_WINDOW_US - 1), ..FRESH };
const PAST_WINDOW: IdleTimes = IdleTimes { since_request_us: Some(SURPLUS_BYTES_WINDOW_US), ..FRESH };

fn choose(idle: &[IdleTimes], purpose: ConnectionPurpose) -> std::result::Result<usize, OpenReason> {
    choose_idle(idle, OtherConnections::default(), purpose)
}

#[gtest]
fn a_probe_takes_the_connection_that_was_idle_longest() {
    expect_that!(choose(&[OLD, FRESH], ConnectionPurpose::Probe), ok(eq(0)));
    expect_that!(choose(&[IN_WINDOW], ConnectionPurpose::Probe), ok(eq(0)), "its response names no request");
}

#[gtest]
fn a_check_always_needs_a_new_connection() {
    expect_that!(choose(&[FRESH], ConnectionPurpose::Check), err(eq(OpenReason::Required)));
}

#[gtest]
fn a_repeatable_request_takes_the_latest_connection_past_the_surplus_window() {
    for purpose in [ConnectionPurpose::Repeatable, ConnectionPurpose::RepeatableForward] {
        expect_that!(choose(&[OLD, PAST_WINDOW, IN_WINDOW], purpose), ok(eq(1)));
        expect_that!(choose(&[IN_WINDOW, IN_WINDOW], purpose), ok(eq(0)), "the longest idle otherwise");
    }
}

#[gtest]
fn a_request_that_may_run_once_takes_only_a_fresh_connection_past_the_surplus_window() {
    for purpose in [ConnectionPurpose::NonRepeatable, ConnectionPurpose::NonRepeatableForward] {
        expect_that!(choose(&[PAST_WINDOW, FRESH, IN_WINDOW], purpose), ok(eq(1)));
        expect_that!(choose(&[OLD, OLD], purpose), err(eq(OpenReason::IdleTooLong)));
        expect_that!(choose(&[OLD, IN_WINDOW], purpose), err(eq(OpenReason::SurplusWindow)));
        let old_past_window = IdleTimes { since_request_us: Some(SURPLUS_BYTES_WINDOW_US), ..OLD };
        expect_that!(choose(&[old_past_window], purpose), err(eq(OpenReason::IdleTooLong)));
    }
}

#[gtest]
fn without_idle_connections_the_reason_is_their_use_or_their_last_removal() {
    let reason = |in_use, removal| {
        choose_idle(&[], OtherConnections { in_use, removal }, ConnectionPurpose::Probe).unwrap_err()
    };
    expect_that!(reason(0, None), eq(OpenReason::NoneKept));
    expect_that!(reason(1, None), eq(OpenReason::AllInUse));
    expect_that!(reason(1, Some(Removal::Expired)), eq(OpenReason::AllInUse));
    expect_that!(reason(0, Some(Removal::Expired)), eq(OpenReason::Expired));
    expect_that!(reason(0, Some(Removal::Closed)), eq(OpenReason::Closed));
    expect_that!(reason(0, Some(Removal::Discarded)), eq(OpenReason::Discarded));
}

#[gtest]
fn a_connection_is_kept_until_a_second_before_its_upstream_closes_it() {
    expect_that!(idle_max_ms(Some(10)), eq(9_000));
    expect_that!(idle_max_ms(Some(2)), eq(1_000));
    expect_that!(idle_max_ms(Some(0)), eq(0));
    expect_that!(idle_max_ms(None), eq(7_000), "no announcement");
    expect_that!(idle_max_ms(Some(u64::MAX)), eq(30_000));
}

#[gtest]
fn a_retry_is_sent_like_a_request_that_may_run_once() {
    expect_that!(ConnectionPurpose::request(true, 0), eq(ConnectionPurpose::Repeatable));
    expect_that!(ConnectionPurpose::request(true, 1), eq(ConnectionPurpose::NonRepeatable));
    expect_that!(ConnectionPurpose::request(false, 0), eq(ConnectionPurpose::NonRepeatable));
}
