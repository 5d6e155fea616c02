//! Compares the encoding of messages between nodes with golden values, one for each message type and variant.

use {
    googletest::prelude::*,
    pointvane_core::{
        AccountRule, CallerLimits, Change, Evacuation, KeyDigest, Name, Quota, RouteKind, RouteRule,
        RoutingConfiguration, RoutingDelta, ServiceRule, UpstreamRecord, WeightedService,
    },
    pointvane_dispatch::{
        AccountShare, AccountUsage, ConfigurationUpdate, ContentionEntry, ContentionMessage, FleetUsage,
        PairId, QuotaMessage, ReadMark, Relay, RelayDatagram, Segment, StateOffer, StateReply, StateRequest,
        WireRelay,
    },
    pointvane_mesh::codec,
    serde::{Serialize, de::DeserializeOwned},
    std::{fmt::Write, sync::Arc},
};

/// The golden values, one `name hexadecimal-bytes` per line.
const GOLDEN: &str = include_str!("golden/wire_format.txt");

/// Encoded messages in the format of [`GOLDEN`].
#[derive(Default)]
struct Lines(String);

impl Lines {
    fn add<T: Serialize + DeserializeOwned>(&mut self, name: &str, message: &T) {
        let bytes = codec::encode(message).unwrap();
        let decoded: T = codec::decode(&bytes).unwrap();
        assert_eq!(codec::encode(&decoded).unwrap(), bytes, "{name} changes when decoded and encoded again");
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

fn account() -> AccountRule {
    AccountRule {
        name: "yard".into(),
        keys: vec![KeyDigest::of(b"key")],
        priority: Some(1),
        quota: Some(Quota { requests_per_1000_s: 8_500, burst: 4 }),
        allowed_regions: vec!["north".into()],
    }
}

fn configuration() -> RoutingConfiguration {
    let kinds = [RouteKind::Safe, RouteKind::Unsafe, RouteKind::Upload, RouteKind::Download];
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
        public: false,
        allowed_regions: vec!["south".into()],
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
        accounts: Some(vec![Arc::new(account())]),
    }
}

fn delta() -> RoutingDelta {
    let from = RoutingConfiguration { version: 9, routes: Vec::new(), ..configuration() };
    let to = RoutingConfiguration { routes: configuration().routes[..1].to_vec(), ..configuration() };
    RoutingDelta { removed: vec!["old".into()], ..RoutingDelta::between(&from, &to).unwrap() }
}

#[gtest]
fn message_encodings_match_the_golden_values() {
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
    lines.add("offer-nothing", &StateOffer::Nothing);
    lines.add("offer-reading", &StateOffer::Reading);
    lines.add("offer-state", &StateOffer::State { age_ms: 250 });
    lines.add("state-steps", &StateReply::new(mark, 250, false, changes(), None));
    let whole = ConfigurationUpdate::Whole(Box::new(configuration()));
    lines.add("state-whole", &StateReply::new(mark, 250, true, changes(), Some(whole)));
    let deltas = ConfigurationUpdate::Deltas(vec![delta()]);
    lines.add("state-deltas", &StateReply::new(mark, 250, false, changes(), Some(deltas)));
    let evacuations = vec![evacuation(true), evacuation(false)];
    lines.add("state-evacuations", &StateReply::new(mark, 250, false, evacuations, None));
    let usage = AccountUsage {
        account: "yard".into(),
        admitted: [300, 20, 0, 0, 1],
        mean_age_per_mille: [125, 500, 0, 0, 875],
        offered_per_1000_s: 8_500,
        fleet_usage: Some(FleetUsage { used_per_mille: 990, age_ms: 70 }),
    };
    lines.add("quota-usage", &QuotaMessage::Usage { incarnation: 1_700_000_000_123, accounts: vec![usage] });
    let share = AccountShare {
        account: "yard".into(),
        share_per_mille: 350,
        used_per_mille: 990,
        retry_after_ms: 1_200,
    };
    let origin = "10.0.0.1:7660".parse().unwrap();
    lines.add("quota-shares", &QuotaMessage::Shares { origin, segment: Segment::ALL, accounts: vec![share] });
    let entry = ContentionEntry {
        pair: PairId::of(&"board".into(), &"ub-1".into()),
        weight_millionths: 250_000,
        uncontended: 13,
        occupancy: 64,
        age: 12,
    };
    lines.add("contention", &ContentionMessage { entries: vec![entry] });
    expect_that!(lines.0, eq(GOLDEN));
}
