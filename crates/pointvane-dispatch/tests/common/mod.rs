//! Changes and pages as the platform tells them.
#![allow(dead_code)]

use pointvane_core::{Change, ChangePage, RoutingConfiguration, UpstreamRecord};

pub fn record(id: &str, sequence: u64) -> UpstreamRecord {
    UpstreamRecord {
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

pub fn told(id: &str, sequence: u64) -> Change {
    Change::Upstream(record(id, sequence))
}

pub fn gone(id: &str) -> Change {
    Change::UpstreamGone(id.into())
}

pub fn configuration(version: u64) -> RoutingConfiguration {
    RoutingConfiguration { version, ..RoutingConfiguration::default() }
}

pub fn configured(version: u64) -> Change {
    Change::Configuration(Box::new(configuration(version)))
}

pub fn page(revision: u64, changes: Vec<Change>) -> ChangePage {
    ChangePage { revision, changes, ..ChangePage::default() }
}
