//! Which requests leave the last free slots of upstreams to more urgent ones.

use {
    googletest::prelude::*,
    pointvane_dispatch::{Contention, RequestsByPriority},
};

const NOW: u64 = 1_000_000;
const FULL: Option<Contention> = Some(Contention { uncontended_share: 0.0, occupancy: 1.0, reports: 10.0 });
const ROOM: Option<Contention> = Some(Contention { uncontended_share: 0.4, occupancy: 0.7, reports: 10.0 });

/// Requests by priority and how many of them were admitted.
fn recent(kinds: &[(u32, u32, u32)]) -> RequestsByPriority {
    let mut recent = RequestsByPriority::default();
    for (priority, requests, admitted) in kinds {
        (0..*requests).for_each(|index| recent.record(*priority, index < *admitted, NOW));
    }
    recent
}

#[gtest]
fn the_last_slot_of_a_full_service_is_kept_for_more_urgent_requests() {
    let recent = recent(&[(0, 10, 10), (1, 10, 10), (2, 10, 10)]);
    expect_that!(recent.occupancy_max(0, FULL, 0.0, NOW), eq(f64::INFINITY), "nothing is more urgent");
    expect_that!(recent.occupancy_max(1, FULL, 0.0, NOW), all!(ge(5.0 / 6.0), lt(1.0)));
    expect_that!(recent.occupancy_max(2, FULL, 0.0, NOW), lt(recent.occupancy_max(1, FULL, 0.0, NOW)));
}

#[gtest]
fn nothing_is_kept_without_need() {
    let served = recent(&[(0, 10, 10), (1, 10, 10)]);
    expect_that!(served.occupancy_max(1, ROOM, 0.0, NOW), eq(f64::INFINITY), "there is room");
    expect_that!(served.occupancy_max(1, None, 0.0, NOW), eq(f64::INFINITY), "nothing is known");
    expect_that!(recent(&[(1, 10, 10)]).occupancy_max(1, FULL, 0.0, NOW), eq(f64::INFINITY), "a single kind");
    let later = NOW + 30_000_000;
    expect_that!(served.occupancy_max(1, FULL, 0.0, later), eq(f64::INFINITY), "no urgent request for long");
}

#[gtest]
fn rare_urgent_requests_keep_slots_at_few_upstreams_only() {
    let recent = recent(&[(0, 2, 2), (1, 38, 38)]);
    expect_that!(recent.occupancy_max(1, FULL, 0.1, NOW), lt(1.0));
    expect_that!(recent.occupancy_max(1, FULL, 0.3, NOW), eq(f64::INFINITY));
}

#[gtest]
fn more_is_kept_while_urgent_requests_are_refused() {
    let refused = |admitted| recent(&[(0, 20, admitted), (1, 20, 20)]).occupancy_max(1, ROOM, 0.0, NOW);
    expect_that!(refused(20), eq(f64::INFINITY));
    expect_that!(refused(19), lt(1.0), "also where there seems to be room");
    expect_that!(refused(15), lt(refused(19)));
    expect_that!(refused(0), ge(0.3));
}

#[gtest]
fn no_kind_starves() {
    for admitted in [0, 1] {
        let recent = recent(&[(0, 20, 10), (1, 20, admitted)]);
        expect_that!(recent.occupancy_max(1, FULL, 0.0, NOW), eq(f64::INFINITY), "{admitted} of 20 admitted");
    }
}

#[gtest]
fn nonsense_is_harmless() {
    let nonsense = Some(Contention { uncontended_share: f32::NAN, occupancy: f32::NAN, reports: f32::NAN });
    let recent = recent(&[(0, 10, 10), (u32::MAX, 10, 10)]);
    expect_that!(recent.occupancy_max(u32::MAX, nonsense, 0.0, NOW), eq(f64::INFINITY));
    expect_that!(recent.occupancy_max(u32::MAX, FULL, 0.0, 0), lt(1.0), "the clock of another call");
}
