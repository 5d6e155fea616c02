//! The encoding of messages between processes must not change: compares one message of each kind and variant
//! with its golden bytes.

use {
    googletest::prelude::*,
    pointvane_core::{Incarnation, Name, Observation, ObservedLimit, VmIdentity, VmState},
    pointvane_mesh::{
        EntryReport, EntryRow, FeedHello, FeedRole, FeedUpdate, GossipMessage, ListedVm, LoadDatagram,
        LoadMessage, MemberRow, Payload, PeerAnswer, PeerRequest, ServiceLimits, ServiceLoad, Stamp,
        StampedValue, Stamps, VmList, codec,
    },
    serde::{Serialize, de::DeserializeOwned},
    std::fmt::Write,
};

/// Golden encodings, one per line: the name and the bytes in hexadecimal.
const GOLDEN: &str = include_str!("golden/wire_format.txt");

/// Encoded messages in the format of [`GOLDEN`].
#[derive(Default)]
struct Lines(String);

impl Lines {
    fn add<T: Serialize + DeserializeOwned + PartialEq + std::fmt::Debug>(
        &mut self,
        name: &str,
        message: &T,
    ) {
        let bytes = codec::encode(message).unwrap();
        assert_eq!(&codec::decode::<T>(&bytes).unwrap(), message, "{name} reads back");
        write!(self.0, "{name} ").unwrap();
        bytes.iter().for_each(|byte| write!(self.0, "{byte:02x}").unwrap());
        self.0.push('\n');
    }
}

fn row(state: VmState, entry: Option<EntryRow>) -> MemberRow {
    MemberRow {
        identity: VmIdentity {
            name: "entry-1".into(),
            data_centre: "ub-1".into(),
            address: "10.0.0.1".parse().unwrap(),
            incarnation: Incarnation(1_700_000_000_123),
        },
        control_port: 7_001,
        entry_port: 7_000,
        state,
        version: 300,
        entry,
        stamp: Stamp { revision: 5, index: 700 },
        link_mbps: 200,
    }
}

fn gossip(payload: Payload, rows: Vec<MemberRow>) -> GossipMessage {
    let stamps =
        Stamps { configuration: Stamp { revision: 5, index: 700 }, vm_list: Stamp { revision: 0, index: 9 } };
    GossipMessage { from: row(VmState::Live, None), stamps, payload, rows }
}

fn stamped() -> StampedValue {
    StampedValue { stamp: Stamp { revision: 5, index: 700 }, value: vec![1, 2, 255] }
}

#[gtest]
fn every_message_matches_its_golden_encoding() {
    let mut lines = Lines::default();
    let entry = EntryRow { incarnation: Incarnation(77), requests: 9, leaving: true };
    lines.add("gossip-ping", &gossip(Payload::Ping { sequence: 300 }, Vec::new()));
    lines.add("gossip-ack", &gossip(Payload::Ack { sequence: 300 }, Vec::new()));
    let target = Name::from("entry-2");
    lines.add("gossip-ping-request", &gossip(Payload::PingRequest { sequence: 300, target }, Vec::new()));
    let states = [VmState::Live, VmState::Suspect, VmState::Leaving, VmState::Dead];
    let rows = states.map(|state| row(state, Some(entry))).to_vec();
    lines.add("gossip-announce-rows", &gossip(Payload::Announce, rows));
    let mut v6 = row(VmState::Live, None);
    v6.identity.address = "fd00::1".parse().unwrap();
    lines.add("peer-request-configuration", &PeerRequest::Configuration);
    lines.add("peer-request-vm-list", &PeerRequest::VmList);
    lines.add("peer-request-rows", &PeerRequest::Rows(vec![v6]));
    lines.add("peer-answer-value", &PeerAnswer::Value(Some(stamped())));
    lines.add("peer-answer-no-value", &PeerAnswer::Value(None));
    lines.add("peer-answer-rows", &PeerAnswer::Rows(vec![row(VmState::Live, None)]));
    lines.add("hello-entry", &FeedHello { role: FeedRole::Entry });
    lines.add("hello-locate", &FeedHello { role: FeedRole::Locate });
    lines.add("hello-peer", &FeedHello { role: FeedRole::Peer });
    lines.add("entry-report", &EntryReport { incarnation: Incarnation(77), requests: 300, leaving: true });
    lines.add("update-configuration", &FeedUpdate::Configuration(stamped()));
    lines.add("update-members", &FeedUpdate::Members(vec![row(VmState::Live, Some(entry))]));
    let vms = vec![ListedVm { name: "entry-3".into(), leaving: true }];
    lines.add("update-vm-list", &FeedUpdate::VmList(VmList { vms }));
    lines.add("update-beat", &FeedUpdate::Beat);
    let observations = vec![Observation { position: 3, requests: 400, leaving: true, age_ms: 5 }];
    let services = vec![ServiceLoad { position: 2, observations }];
    let incarnation = Incarnation(77);
    let load = LoadDatagram { incarnation, sequence: 300, revision: 5, requests: 9, services };
    lines.add("load-datagram", &load);
    let limits = vec![ObservedLimit { position: 3, per_1000_s: Some(2_500), age_ms: 300 }];
    lines.add("load-with-limits", &LoadMessage { load, limits: vec![ServiceLimits { position: 2, limits }] });
    expect_that!(lines.0, eq(GOLDEN));
}

#[gtest]
fn a_frame_is_a_four_byte_length_and_the_message() {
    let frame = codec::encode_frame(&FeedHello { role: FeedRole::Peer }).unwrap();
    expect_that!(frame, eq(&vec![0, 0, 0, 2, codec::VERSION, 2]));
    expect_that!(codec::VERSION, eq(1));
    expect_that!(codec::DATAGRAM_LIMIT_BYTES, eq(1_400));
    expect_that!(codec::FRAME_LIMIT_BYTES, eq(4 << 20));
}

#[gtest]
fn the_published_list_of_vms_keeps_its_json_format() {
    let vms = vec![ListedVm { name: "entry-3".into(), leaving: true }];
    let text = r#"{"vms":[{"name":"entry-3","leaving":true}]}"#;
    expect_that!(serde_json::to_string(&VmList { vms: vms.clone() }).unwrap(), eq(text));
    expect_that!(serde_json::from_str::<VmList>(text).unwrap(), eq(&VmList { vms }));
}
