//! Which requests of a connection are forwarded before those ahead of them are answered.

use {
    googletest::prelude::*,
    pointvane_core::RouteKind::{self, Safe, Unsafe, Upload},
    pointvane_dispatch::{PipelineLimits, may_forward_early},
};

const LIMITS: PipelineLimits = PipelineLimits { requests_max: 3, bytes_max: 1_000 };

fn is_forwarded_early(kind: RouteKind, ahead: &[RouteKind]) -> bool {
    may_forward_early(kind, ahead.iter().copied(), &LIMITS)
}

#[gtest]
fn repeatable_requests_are_forwarded_concurrently_up_to_a_limit() {
    expect_that!(is_forwarded_early(Safe, &[]), eq(true));
    expect_that!(is_forwarded_early(Safe, &[Safe]), eq(true));
    expect_that!(is_forwarded_early(Safe, &[Safe, Safe]), eq(true));
    expect_that!(is_forwarded_early(Safe, &[Safe, Safe, Safe]), eq(false));
}

#[gtest]
fn non_repeatable_requests_wait_for_those_ahead_and_hold_back_those_behind() {
    for kind in [Unsafe, Upload] {
        expect_that!(is_forwarded_early(kind, &[Safe]), eq(false));
        expect_that!(is_forwarded_early(Safe, &[kind]), eq(false));
        expect_that!(is_forwarded_early(Safe, &[Safe, kind]), eq(false));
    }
}
