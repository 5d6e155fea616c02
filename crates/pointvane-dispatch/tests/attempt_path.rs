//! Whether an attempt goes to an upstream, through another node, or nowhere.

mod common;

use {
    common::route,
    googletest::prelude::*,
    pointvane_core::RouteKind,
    pointvane_dispatch::{PathInputs, Reach, WithoutPeer, lost_retry_after_ms, without_peer},
};

const REACHED: PathInputs = PathInputs {
    reach: Reach::Reached,
    unreachable_attempts: 0,
    lacks_reachable_capacity: false,
    is_forwarded: false,
    peers_tried: 0,
    draw: 0.5,
};

const LOST: Reach = Reach::Lost { for_us: 5_000_000 };

#[gtest]
fn requests_for_a_lost_service_are_forwarded() {
    expect_that!(REACHED.prefers_peer(), eq(false));
    expect_that!(PathInputs { reach: LOST, ..REACHED }.prefers_peer(), eq(true));
}

#[gtest]
fn a_part_of_the_requests_for_a_regained_service_is_forwarded() {
    for (share, is_forwarded) in [(0.0, true), (0.4, true), (0.6, false)] {
        let inputs = PathInputs { reach: Reach::Returning { share }, ..REACHED };
        expect_that!(inputs.prefers_peer(), eq(is_forwarded));
    }
}

#[gtest]
fn a_request_that_reached_no_upstream_twice_is_forwarded() {
    expect_that!(PathInputs { unreachable_attempts: 1, ..REACHED }.prefers_peer(), eq(false));
    expect_that!(PathInputs { unreachable_attempts: 2, ..REACHED }.prefers_peer(), eq(true));
    expect_that!(PathInputs { lacks_reachable_capacity: true, ..REACHED }.prefers_peer(), eq(true));
}

#[gtest]
fn no_request_is_forwarded_twice() {
    for reach in [LOST, Reach::Returning { share: 0.0 }, Reach::Reached] {
        let inputs = PathInputs {
            reach,
            unreachable_attempts: 8,
            lacks_reachable_capacity: true,
            is_forwarded: true,
            peers_tried: 0,
            draw: 1.0,
        };
        expect_that!(inputs.prefers_peer(), eq(false));
    }
}

#[gtest]
fn a_lost_service_that_no_node_reaches_gets_trials_only() {
    expect_that!(without_peer(LOST), eq(WithoutPeer::TrialOnly));
    expect_that!(without_peer(Reach::Returning { share: 0.1 }), eq(WithoutPeer::Upstream));
    expect_that!(without_peer(Reach::Reached), eq(WithoutPeer::Upstream));
}

#[gtest]
fn a_service_that_was_lost_a_moment_ago_is_still_tried() {
    expect_that!(without_peer(Reach::Lost { for_us: 100_000 }), eq(WithoutPeer::Upstream));
}

#[gtest]
fn callers_of_a_lost_service_are_told_to_retry_later_the_longer_it_is_lost() {
    let route = route(RouteKind::Safe);
    let after_ms = |lost_ms, jitter| lost_retry_after_ms(&route, lost_ms, jitter);
    expect_that!(after_ms(0, 0.0), eq(80));
    expect_that!(after_ms(150, 0.0), eq(150));
    expect_that!(after_ms(3_600_000, 0.0), eq(200), "no longer than the target latency");
    expect_that!(after_ms(3_600_000, 1.0), eq(300), "spread");
}

/// Guards against requests that every node declines, since all take their slow upstreams for lost.
#[gtest]
fn a_request_that_several_nodes_declined_goes_to_an_upstream_unless_the_loss_is_confirmed() {
    let lost = |for_us, peers_tried| PathInputs { reach: Reach::Lost { for_us }, peers_tried, ..REACHED };
    expect_that!(lost(0, 3).prefers_peer(), eq(true));
    expect_that!(lost(0, 4).prefers_peer(), eq(false));
    expect_that!(lost(5_000_000, 7).prefers_peer(), eq(true));
    expect_that!(PathInputs { unreachable_attempts: 2, peers_tried: 4, ..REACHED }.prefers_peer(), eq(false));
}
