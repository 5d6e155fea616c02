//! Tests of deltas between routing configurations.

use {
    googletest::prelude::*,
    pointvane_core::{
        AccountRule, CallerLimits, DeltaMismatch, KeyDigest, Quota, RouteKind, RouteRule,
        RoutingConfiguration, RoutingDelta, ServiceRule, WeightedService,
    },
    std::sync::Arc,
};

fn route(name: &str, timeout_ms: u64) -> Arc<RouteRule> {
    Arc::new(RouteRule {
        name: name.into(),
        host: "app.example".into(),
        path_prefix: format!("/{name}/").as_str().into(),
        kind: RouteKind::Safe,
        timeout_ms,
        target_latency_ms: 200,
        attempts_max: 2,
        priority: 1,
        backends: vec![WeightedService { service: "app".into(), weight: 1 }],
        public: false,
        allowed_regions: Vec::new(),
    })
}

fn configuration(version: u64, routes: Vec<Arc<RouteRule>>) -> RoutingConfiguration {
    let services =
        vec![ServiceRule { name: "app".into(), health_path: "/health".into(), cold_requests_per_1000_s: 0 }];
    RoutingConfiguration { version, routes, services, limits: CallerLimits::default(), accounts: None }
}

/// Sorts the routes by name, since their order is not significant.
fn sorted(mut configuration: RoutingConfiguration) -> RoutingConfiguration {
    configuration.routes.sort_by(|one, other| one.name.cmp(&other.name));
    configuration
}

#[gtest]
fn applying_a_delta_yields_the_new_configuration() {
    let old = configuration(4, vec![route("a", 1), route("b", 1), route("c", 1)]);
    let mut new = configuration(7, vec![route("a", 1), route("b", 2), route("d", 1)]);
    new.limits.body_bytes_max = 5;
    new.services.push(ServiceRule {
        name: "other".into(),
        health_path: "/up".into(),
        cold_requests_per_1000_s: 0,
    });
    let delta = RoutingDelta::between(&old, &new).unwrap();
    expect_that!(delta.changed.len(), eq(2), "unchanged routes are not part of the delta");
    expect_that!(delta.change_count(), eq(3));
    expect_that!(RoutingDelta::apply(&[delta], old).map(sorted), ok(eq(&sorted(new))));
}

#[gtest]
fn a_delta_is_rejected_by_another_configuration() {
    let old = configuration(4, vec![route("a", 1), route("b", 1)]);
    let new = configuration(7, vec![route("a", 1)]);
    let delta = RoutingDelta::between(&old, &new).unwrap();
    let deltas = [delta];
    let other = configuration(5, old.routes);
    expect_that!(RoutingDelta::apply(&deltas, other), err(eq(&DeltaMismatch::Version)));
    let damaged = configuration(4, vec![route("b", 1)]);
    expect_that!(RoutingDelta::apply(&deltas, damaged), err(eq(&DeltaMismatch::Routes)));
}

#[gtest]
fn there_is_no_delta_for_duplicate_route_names() {
    let old = configuration(4, vec![route("a", 1)]);
    let new = configuration(7, vec![route("a", 1), route("a", 2)]);
    expect_that!(RoutingDelta::between(&old, &new), none());
    expect_that!(RoutingDelta::between(&new, &old), none());
}

fn account(name: &str, keys: &[&str], burst: u64) -> Arc<AccountRule> {
    Arc::new(AccountRule {
        name: name.into(),
        keys: keys.iter().map(|key| KeyDigest::of(key.as_bytes())).collect(),
        priority: Some(1),
        quota: Some(Quota { requests_per_1000_s: 5_000, burst }),
        allowed_regions: Vec::new(),
    })
}

fn with_accounts(version: u64, accounts: Option<Vec<Arc<AccountRule>>>) -> RoutingConfiguration {
    RoutingConfiguration { accounts, ..configuration(version, vec![route("a", 1)]) }
}

fn sorted_accounts(mut configuration: RoutingConfiguration) -> RoutingConfiguration {
    let by_name =
        |accounts: &mut Vec<Arc<AccountRule>>| accounts.sort_by(|one, other| one.name.cmp(&other.name));
    configuration.accounts.iter_mut().for_each(by_name);
    configuration
}

#[gtest]
fn a_delta_contains_only_changed_accounts() {
    let old =
        with_accounts(4, Some(vec![account("a", &["1"], 1), account("b", &["2"], 1), account("c", &[], 1)]));
    let new = with_accounts(
        5,
        Some(vec![account("a", &["1"], 1), account("b", &["3"], 1), account("d", &["4"], 2)]),
    );
    let delta = RoutingDelta::between(&old, &new).unwrap();
    expect_that!(delta.change_count(), eq(3));
    expect_that!(RoutingDelta::apply(&[delta], old).map(sorted_accounts), ok(eq(&sorted_accounts(new))));
}

#[gtest]
fn all_accounts_can_be_added_and_removed() {
    let none = with_accounts(4, None);
    let empty = with_accounts(5, Some(Vec::new()));
    let some = with_accounts(6, Some(vec![account("a", &["1"], 1)]));
    for (from, to) in [(&none, &empty), (&none, &some), (&empty, &some)] {
        let delta = RoutingDelta::between(from, to).unwrap();
        expect_that!(RoutingDelta::apply(&[delta], from.clone()), ok(eq(to)));
    }
    let back = RoutingConfiguration { version: 7, ..none.clone() };
    let delta = RoutingDelta::between(&some, &back).unwrap();
    expect_that!(RoutingDelta::apply(&[delta], some), ok(eq(&back)));
}

#[gtest]
fn a_delta_of_accounts_is_rejected_by_other_accounts() {
    let old = with_accounts(4, Some(vec![account("a", &["1"], 1), account("b", &["2"], 1)]));
    let new = with_accounts(5, Some(vec![account("a", &["1"], 1)]));
    let delta = RoutingDelta::between(&old, &new).unwrap();
    let damaged = with_accounts(4, Some(vec![account("a", &["1"], 1), account("c", &["1"], 1)]));
    expect_that!(RoutingDelta::apply(&[delta], damaged), err(eq(&DeltaMismatch::Accounts)));
}
