//! Tests of route look-up, traffic splits and the directory.

use {
    googletest::prelude::*,
    pointvane_core::{Name, RouteKind, RouteRule, RoutingConfiguration, ServiceRule, WeightedService},
    pointvane_dispatch::{DirectoryMember, RouteTable, directory_addresses},
    rand::{SeedableRng, rngs::SmallRng},
    std::{net::SocketAddr, sync::Arc},
};

fn route(name: &str, host: &str, prefix: &str, backends: &[(&str, u32)]) -> RouteRule {
    let backend =
        |(service, weight): &(&str, u32)| WeightedService { service: (*service).into(), weight: *weight };
    RouteRule {
        name: name.into(),
        host: host.into(),
        path_prefix: prefix.into(),
        kind: RouteKind::Safe,
        timeout_ms: 1_000,
        target_latency_ms: 200,
        attempts_max: 2,
        priority: 1,
        backends: backends.iter().map(backend).collect(),
        public: false,
        allowed_regions: Vec::new(),
    }
}

fn table(routes: Vec<RouteRule>) -> RouteTable {
    let routes = routes.into_iter().map(Arc::new).collect();
    let services =
        vec![ServiceRule { name: "a".into(), health_path: "/up".into(), cold_requests_per_1000_s: 0 }];
    RouteTable::new(RoutingConfiguration { version: 7, routes, services, ..RoutingConfiguration::default() })
}

#[gtest]
fn the_longest_prefix_of_the_host_wins() {
    let table = table(vec![
        route("short", "one.example", "/a/", &[("a", 1)]),
        route("long", "one.example", "/a/b/", &[("a", 1)]),
        route("other", "two.example", "/a/b/c/", &[("a", 1)]),
    ]);
    let found = |host: &str, path: &str| table.find(host, path).map(|route| route.name.to_string());
    expect_that!(found("one.example", "/a/b/c/d"), some(eq("long")));
    expect_that!(found("one.example:8080", "/a/x"), some(eq("short")));
    expect_that!(found("ONE.example", "/a/x"), some(eq("short")));
    expect_that!(found("one.example", "/a"), none());
    expect_that!(found("three.example", "/a/"), none());
}

#[gtest]
fn a_split_gives_each_service_its_weight() {
    let table = table(vec![route("split", "one.example", "/", &[("a", 90), ("b", 10), ("c", 0)])]);
    let mut rng = SmallRng::seed_from_u64(1);
    let mut counts = [0_u32; 3];
    for _ in 0..10_000 {
        let service = table.route("one.example", "/x", &mut rng).unwrap().service;
        counts[["a", "b", "c"].iter().position(|name| *name == service.as_str()).unwrap()] += 1;
    }
    expect_that!(counts[0], all!(gt(8_800), lt(9_200)));
    expect_that!(counts[1], all!(gt(800), lt(1_200)));
    expect_that!(counts[2], eq(0));
}

fn members(nodes_by_data_centre: &[(&str, u8)]) -> Vec<DirectoryMember> {
    let mut members = Vec::new();
    for (index, (data_centre, count)) in nodes_by_data_centre.iter().enumerate() {
        for number in 0..*count {
            let address = SocketAddr::from(([10, index as u8, 0, number], 80));
            members.push(DirectoryMember { address, data_centre: (*data_centre).into() });
        }
    }
    members
}

#[gtest]
fn every_node_answers_with_the_same_nodes_of_the_callers_data_centre() {
    let mut members = members(&[("one", 3), ("two", 3)]);
    let local = directory_addresses(&members, Some(&"one".into()));
    expect_that!(local.len(), eq(3));
    members.reverse();
    expect_that!(directory_addresses(&members, Some(&"one".into())), eq(&local));
}

#[gtest]
fn callers_of_a_data_centre_with_too_few_nodes_get_all_nodes() {
    let members = members(&[("one", 1), ("two", 3)]);
    expect_that!(directory_addresses(&members, Some(&"one".into())).len(), eq(4));
    expect_that!(directory_addresses(&members, Some(&Name::from("three"))).len(), eq(4));
    expect_that!(directory_addresses(&members, None).len(), eq(4));
}

#[gtest]
fn the_number_of_addresses_in_an_answer_is_limited() {
    expect_that!(directory_addresses(&members(&[("one", 200)]), Some(&"one".into())).len(), eq(64));
}
