//! The bytes of every message between nodes stay as they are: one golden value for each kind and variant.

use {
    googletest::prelude::*,
    pointvane_core::{
        CallerLimits, Change, Evacuation, Name, RouteKind, RouteRule, RoutingConfiguration, RoutingDelta,
        ServiceRule, UpstreamRecord, WeightedService,
    },
    pointvane_dispatch::{
        ConfigurationUpdate, ReadMark, Relay, RelayDatagram, Segment, StateReply, StateRequest, WireRelay,
    },
    pointvane_mesh::codec,
    serde::{Serialize, de::DeserializeOwned},
    std::{fmt::Write, sync::Arc},
};

/// The golden lines, `name bytes-in-hexadecimal`.
const GOLDEN: &str = include_str!("golden/wire_format.txt");

/// Messages in the form of the golden lines.
#[derive(Default)]
struct Lines(String);

impl Lines {
    fn add<T: Serialize + DeserializeOwned>(&mut self, name: &str, message: &T) {
        let bytes = codec::encode(message).unwrap();
        let read: T = codec::decode(&bytes).unwrap();
        assert_eq!(codec::encode(&read).unwrap(), bytes, "{name} reads back");
        write!(self.0, "{name} ").unwrap();
        bytes.iter().for_each(|byte| write!(self.0, "{byte:02x}").unwrap());
        self.0.push('\n');
    }
}

fn record() -> UpstreamRecord {
    UpstreamRecord {
        born_ms: Some(1_790_000_000_000),
        id: "i-7".into(),
        service: "board".into(),
        address: "10.1.2.3:8080".parse().unwrap(),
        data_centre: "ub-1".into(),
        slots: 6,
        draining: true,
        warm_up_left_ms: 1_234,
        sequence: 300,
    }
}

fn evacuation(active: bool) -> Change {
    Change::Evacuation(Evacuation { data_centre: "ub-2".into(), active, revision: 409 })
}

fn changes() -> Vec<Change> {
    vec![Change::Upstream(record()), Change::UpstreamGone(Name::from("i-8"))]
}

fn configuration() -> RoutingConfiguration {
    let kinds = [RouteKind::Safe, RouteKind::Unsafe, RouteKind::Upload];
    let route = |kind| RouteRule {
        name: "read".into(),
        host: "app.example".into(),
        path_prefix: "/read/".into(),
        kind,
        timeout_ms: 5_000,
        target_latency_ms: 250,
        attempts_max: 2,
        priority: 1,
        backends: vec![WeightedService { service: "board".into(), weight: 90_000 }],
    };
    RoutingConfiguration {
        version: 12,
        routes: kinds.map(|kind| Arc::new(route(kind))).to_vec(),
        services: vec![ServiceRule {
            name: "board".into(),
            health_path: "/health".into(),
            cold_requests_per_1000_s: 0,
        }],
        limits: CallerLimits::default(),
    }
}

fn delta() -> RoutingDelta {
    let from = RoutingConfiguration { version: 9, routes: Vec::new(), ..configuration() };
    let to = RoutingConfiguration { routes: configuration().routes[..1].to_vec(), ..configuration() };
    RoutingDelta { removed: vec!["old".into()], ..RoutingDelta::between(&from, &to).unwrap() }
}

#[gtest]
fn every_message_has_the_bytes_that_it_always_had() {
    let mut lines = Lines::default();
    let mark = ReadMark { revision: 413, version: 12 };
    let relay = Relay { since: 400, mark, age_ms: 250, changes: changes() };
    let datagram = |segment| RelayDatagram {
        origin: "10.0.0.1:7660".parse().unwrap(),
        round: 1_700_000_000_123,
        segment,
        relay: WireRelay::from(relay.clone()),
    };
    lines.add("relay-to-all", &datagram(Segment::ALL));
    lines.add("relay-to-none", &datagram(Segment::NONE));
    lines.add("relay-longest-segment", &datagram(Segment::LONGEST));
    lines.add("state-request", &StateRequest { known: mark });
    lines.add("no-state", &None::<StateReply>);
    lines.add("state-steps", &Some(StateReply::new(mark, 250, false, changes(), None)));
    let whole = ConfigurationUpdate::Whole(Box::new(configuration()));
    lines.add("state-whole", &Some(StateReply::new(mark, 250, true, changes(), Some(whole))));
    let deltas = ConfigurationUpdate::Deltas(vec![delta()]);
    lines.add("state-deltas", &Some(StateReply::new(mark, 250, false, changes(), Some(deltas))));
    let evacuations = vec![evacuation(true), evacuation(false)];
    lines.add("state-evacuations", &Some(StateReply::new(mark, 250, false, evacuations, None)));
    expect_that!(lines.0, eq(GOLDEN));
}
