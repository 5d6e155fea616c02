//! Builders for routes, changes and pages as the platform publishes them.
#![allow(dead_code)]

use pointvane_core::{Change, ChangePage, RouteKind, RouteRule, RoutingConfiguration, UpstreamRecord};

pub fn record(id: &str, sequence: u64) -> UpstreamRecord {
    UpstreamRecord {
        born_ms: None,
        id: id.into(),
        service: "dispatch".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "one".into(),
        slots: 3,
        draining: false,
        warm_up_left_ms: 0,
        sequence,
    }
}

pub fn upstream_change(id: &str, sequence: u64) -> Change {
    Change::Upstream(record(id, sequence))
}

pub fn upstream_removal(id: &str) -> Change {
    Change::UpstreamGone(id.into())
}

pub fn configuration(version: u64) -> RoutingConfiguration {
    RoutingConfiguration { version, ..RoutingConfiguration::default() }
}

pub fn configuration_change(version: u64) -> Change {
    Change::Configuration(Box::new(configuration(version)))
}

pub fn page(revision: u64, changes: Vec<Change>) -> ChangePage {
    ChangePage { revision, changes, ..ChangePage::default() }
}

pub fn route(kind: RouteKind) -> RouteRule {
    RouteRule {
        name: "r".into(),
        host: "h".into(),
        path_prefix: "/".into(),
        kind,
        timeout_ms: 1_000,
        target_latency_ms: 200,
        attempts_max: 2,
        priority: 0,
        backends: Vec::new(),
        public: false,
        allowed_regions: Vec::new(),
    }
}
