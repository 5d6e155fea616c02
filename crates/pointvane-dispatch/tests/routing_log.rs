//! Tests of the log of configuration deltas.

mod common;

use {
    common::{configuration, route},
    googletest::prelude::*,
    pointvane_core::{RouteKind, RouteRule, RoutingConfiguration, RoutingDelta},
    pointvane_dispatch::RoutingLog,
    std::sync::Arc,
};

/// Maximum number of changed routes in the log, as in `routing_log.rs`.
const LOGGED_ROUTES_MAX: usize = 4_096;

/// A configuration with `routes` routes, each of which has the version as its timeout.
fn with_routes(version: u64, routes: usize) -> RoutingConfiguration {
    let named = |number: usize| {
        let name = format!("r{number}").as_str().into();
        Arc::new(RouteRule { name, timeout_ms: version, ..route(RouteKind::Safe) })
    };
    RoutingConfiguration { routes: (0..routes).map(named).collect(), ..configuration(version) }
}

#[gtest]
fn the_deltas_since_a_version_produce_the_one_in_force() {
    let versions = [with_routes(2, 5), with_routes(3, 7), with_routes(6, 4)];
    let mut log = RoutingLog::default();
    versions.windows(2).for_each(|pair| log.add_replacement(&pair[0], &pair[1]));
    let deltas = log.since(2).unwrap();
    let reached = RoutingDelta::apply(&deltas, versions[0].clone()).unwrap();
    expect_that!(reached.version, eq(6));
    expect_that!(reached.routes.len(), eq(4));
    expect_that!(log.since(3).map(|deltas| deltas.len()), some(eq(1)));
    expect_that!(log.since(4), none(), "a version that this node skipped");
}

#[gtest]
fn the_number_of_logged_routes_is_limited() {
    let mut log = RoutingLog::default();
    log.add_replacement(&configuration(0), &with_routes(1, 1_000));
    expect_that!(log.since(0), none(), "a node without a configuration gets the whole one");
    for version in 1..10 {
        log.add_replacement(&with_routes(version, 1_000), &with_routes(version + 1, 1_000));
    }
    expect_that!(log.since(1), none());
    let kept = log.since(7).unwrap();
    expect_that!(kept.iter().map(|delta| delta.change_count()).sum::<usize>(), le(LOGGED_ROUTES_MAX));
    log.add_replacement(&with_routes(10, 1), &with_routes(11, LOGGED_ROUTES_MAX + 1));
    expect_that!(log.since(10), none(), "too large for the log");
}

#[gtest]
fn a_version_gap_clears_the_log() {
    let mut log = RoutingLog::default();
    log.add_replacement(&with_routes(1, 1), &with_routes(2, 1));
    log.add_replacement(&with_routes(5, 1), &with_routes(6, 1));
    expect_that!(log.since(1), none());
    expect_that!(log.since(5).map(|deltas| deltas.len()), some(eq(1)));
}
