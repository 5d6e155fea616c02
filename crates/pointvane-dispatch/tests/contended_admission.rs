//! Single decisions of admission under contention, and what happens without or with bad estimates.

mod common;

use {
    common::route,
    googletest::prelude::*,
    pointvane_core::{RouteKind, RouteRule},
    pointvane_dispatch::{
        AdmissionPolicy, ContendedRequest, Contention, FinishEstimate, RefusalReason, admission_pressure,
    },
};

const NEW: ContendedRequest = ContendedRequest {
    pressure: 1.0,
    mean_occupancy: 1.0,
    spent_ms: 0.0,
    can_return: true,
    finish_spread: 1.2,
    occupancy_max: f64::INFINITY,
};
const RETURNED: ContendedRequest = ContendedRequest { spent_ms: 100.0, can_return: false, ..NEW };
const CALM: ContendedRequest = ContendedRequest { pressure: 0.0, ..NEW };

fn rule() -> RouteRule {
    RouteRule { target_latency_ms: 600, ..route(RouteKind::Safe) }
}

fn estimate(expected_latency_ms: f64, occupancy: f64) -> FinishEstimate {
    FinishEstimate { elapsed_ms: 10.0, expected_latency_ms, occupancy, full_slowdown: 1.7 }
}

fn check(
    expected_latency_ms: f64,
    occupancy: f64,
    request: &ContendedRequest,
) -> std::result::Result<(), RefusalReason> {
    let estimate = estimate(expected_latency_ms, occupancy);
    AdmissionPolicy::default().check(&rule(), &estimate, occupancy <= 1.0, request)
}

#[gtest]
fn a_returned_request_is_queued_and_a_new_one_refused() {
    expect_that!(check(390.0, 7.0 / 6.0, &NEW), err(eq(RefusalReason::Full)));
    expect_that!(check(390.0, 7.0 / 6.0, &RETURNED), ok(anything()));
    expect_that!(check(450.0, 7.0 / 6.0, &RETURNED), err(anything()), "not likely to be in time");
    let with_room = ContendedRequest { mean_occupancy: 0.7, ..RETURNED };
    expect_that!(check(450.0, 7.0 / 6.0, &with_room), ok(anything()), "late rather than not at all");
}

#[gtest]
fn a_returned_request_is_sent_late_where_there_is_room_and_a_new_one_refused() {
    expect_that!(check(700.0, 0.5, &NEW), err(eq(RefusalReason::Late)));
    expect_that!(check(700.0, 0.5, &RETURNED), ok(anything()));
    expect_that!(check(1_200.0, 0.5, &RETURNED), err(eq(RefusalReason::Late)));
}

#[gtest]
fn slots_are_left_to_more_urgent_requests_under_pressure_only() {
    let less_urgent = ContendedRequest { occupancy_max: 0.9, ..NEW };
    expect_that!(check(300.0, 1.0, &less_urgent), err(eq(RefusalReason::KeptForUrgent)));
    expect_that!(check(300.0, 5.0 / 6.0, &less_urgent), ok(anything()));
    expect_that!(check(300.0, 1.0, &ContendedRequest { pressure: 0.0, ..less_urgent }), ok(anything()));
}

/// In calm, and with no or nonsensical estimates of contention, decisions are those without this rule.
#[gtest]
fn without_pressure_nothing_changes() {
    let nonsense = [(f32::NAN, 1.0), (0.0, f32::NAN), (f32::INFINITY, 2.0), (0.0, f32::NEG_INFINITY)];
    let contentions = nonsense.map(|(uncontended_share, occupancy)| {
        Some(Contention { uncontended_share, occupancy, reports: 1.0 })
    });
    let calm = Some(Contention { uncontended_share: 0.6, occupancy: 0.9, reports: 10.0 });
    for contention in contentions.into_iter().chain([None, calm]) {
        expect_that!(admission_pressure(contention), eq(0.0), "{contention:?}");
    }
    for expected_latency_ms in [100.0, 340.0, 390.0, 700.0, 1_050.0, 1_100.0, f64::NAN, f64::INFINITY] {
        for occupancy in [0.5, 1.0, 7.0 / 6.0, 3.0] {
            for request in [CALM, ContendedRequest { pressure: 0.0, ..RETURNED }] {
                let estimate = estimate(expected_latency_ms, occupancy);
                let has_capacity = occupancy <= 1.0;
                let as_before = AdmissionPolicy::default().admits(&rule(), &estimate, has_capacity);
                let decision = check(expected_latency_ms, occupancy, &request);
                expect_that!(decision.is_ok(), eq(as_before), "{expected_latency_ms} {occupancy}");
            }
        }
    }
}

#[gtest]
fn pressure_grows_as_uncontended_upstreams_become_rare() {
    let pressure = |uncontended_share| {
        admission_pressure(Some(Contention { uncontended_share, occupancy: 0.9, reports: 10.0 }))
    };
    expect_that!(pressure(0.5), near(0.0, 1e-6));
    expect_that!(pressure(0.3), near(0.5, 1e-6));
    expect_that!(pressure(0.0), near(1.0, 1e-6));
    let slow_but_free = Contention { uncontended_share: 0.0, occupancy: 0.2, reports: 10.0 };
    expect_that!(admission_pressure(Some(slow_but_free)), eq(0.0), "slots are free");
}
