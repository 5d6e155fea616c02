//! Property tests with corrupted messages and with valid ones that no node would send: they are rejected or
//! processed without a panic. A faulty peer may make a node's state wrong, but must not crash the process.
//!
//! `PROPTEST_CASES=1000000 cargo test --release -p pointvane-dispatch --test foreign_messages` runs more
//! cases.

mod common;

use {
    common::{configuration, page, record, upstream_change, upstream_removal},
    googletest::prelude::*,
    pointvane_core::{Change, Evacuation, LimitNotice, LimitRank, RouteKind, UpstreamRecord},
    pointvane_dispatch::{
        AllowedRegions, BodyFingerprint, CandidateCriteria, ConfigurationUpdate, FAN_OUT, HeadFingerprint,
        LimitAnnouncement, LimitMessage, OrderedNode, PlatformReader, Pool, Quarantine, QuarantineMessage,
        QuarantineOptions, QueryScope, RankingOptions, ReadMark, ReaderOptions, ReceivedRounds, Relay,
        RelayDatagram, RouteTable, Segment, StateReply, StateRequest, WireRelay, forwarders,
    },
    pointvane_mesh::codec,
    proptest::{
        collection::vec,
        prelude::*,
        sample::{Index, select},
        test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
    },
    rand::{SeedableRng, rngs::SmallRng},
    std::env,
};

/// Number of cases in CI, overridden by `PROPTEST_CASES`.
const CASES: u32 = 2_000;
const S: u64 = 1_000_000;
const NOW_US: u64 = 1_000 * S;
/// Values that provoke overflow and underflow.
const EDGE_VALUES: [u64; 9] =
    [0, 1, 5, 127, u32::MAX as u64, i64::MAX as u64, i64::MAX as u64 + 1, u64::MAX - 1, u64::MAX];

/// A node that has read the platform at revision 5 and receives messages.
struct Node {
    reader: PlatformReader,
    pool: Pool,
    routes: RouteTable,
    rounds: ReceivedRounds,
    quarantine: Quarantine,
}

impl Node {
    fn new() -> Self {
        let mut reader = PlatformReader::new(ReaderOptions::default(), 1);
        reader.receive_page(page(5, vec![upstream_change("a", 1)]), [].into_iter(), NOW_US);
        let mut pool = Pool::new(RankingOptions::default(), "one".into(), 1);
        pool.upsert(record("a", 1), NOW_US);
        Self {
            reader,
            pool,
            routes: RouteTable::new(configuration(3)),
            rounds: ReceivedRounds::default(),
            quarantine: Quarantine::new(QuarantineOptions::default(), 7, 0),
        }
    }

    fn apply(&mut self, changes: Vec<Change>, now_us: u64) {
        for change in changes {
            match change {
                Change::Upstream(record) => _ = self.pool.upsert(record, now_us),
                Change::UpstreamGone(id) => _ = self.pool.remove(&id),
                Change::Evacuation(evacuation) => _ = self.pool.apply_evacuation(evacuation),
                Change::Configuration(configuration) => self.routes = RouteTable::new(*configuration),
                // Deltas that do not fit the version in force are refused.
                Change::ConfigurationDeltas(_) => {}
            }
        }
    }

    fn receive_relay_datagram(&mut self, datagram: RelayDatagram) {
        if self.rounds.is_new(datagram.origin, datagram.round, NOW_US) {
            let mut nodes = [1, u64::MAX, 7 << 40].map(|position| OrderedNode { position, node: position });
            let mut rng = SmallRng::seed_from_u64(1);
            forwarders(datagram.segment, 7 << 40, &mut nodes, FAN_OUT, &mut rng);
            let relay = Relay::from(datagram.relay);
            let changes = self.reader.receive_relay(relay, 0.5, NOW_US);
            self.apply(changes, NOW_US);
        }
        self.run_node();
    }

    fn receive_state_reply(&mut self, reply: StateReply) {
        let known: Vec<Change> = self.pool.known_changes().collect();
        let changes = self.reader.receive_state(reply, known.into_iter(), NOW_US);
        self.apply(changes, NOW_US);
        self.run_node();
    }

    fn receive_quarantine_message(&mut self, message: QuarantineMessage) {
        if let QuarantineMessage::Reports(reports) = message {
            self.quarantine.receive(&reports, NOW_US);
            self.quarantine.expire(NOW_US + S);
            self.quarantine.next_page(NOW_US + S);
        }
    }

    fn receive_limit_message(&mut self, message: LimitMessage) {
        let rank = LimitRank { rank: 0, processes: 1, reachable_share: 1.0 };
        for announced in &message.limits {
            self.pool.receive_limit(announced, NOW_US);
        }
        for now_us in [NOW_US, NOW_US + S, NOW_US + 40 * S, NOW_US + 3_600 * S] {
            for key in self.pool.limited() {
                self.pool.set_limit_rank(key, Some(rank), now_us);
                _ = self.pool.begin_send(key, now_us);
                self.pool.record_limit(key, LimitNotice::Advertised(u32::MAX), Some(now_us), now_us);
            }
            self.pool.withheld(&"dispatch".into(), u32::MAX, now_us);
            self.pool.take_limit_announcements(now_us);
            self.pool.expire_limits(now_us);
        }
        self.run_node();
    }

    /// Runs the node's periodic work on its resulting state, at several times.
    fn run_node(&mut self) {
        for now_us in [NOW_US, NOW_US + S, NOW_US + 3_600 * S] {
            self.reader.next(now_us);
            self.reader.next_query(now_us);
            self.reader.relay(now_us);
            let criteria = CandidateCriteria {
                priority: 0,
                tried: &[],
                body_bytes: 0,
                count: 4,
                regions: &AllowedRegions::ANY,
            };
            for key in self.pool.candidates(&"dispatch".into(), &criteria, now_us) {
                // Whether the upstream is eligible does not matter here.
                _ = self.pool.begin_send(key, now_us);
            }
            self.pool.remove_expired(now_us);
        }
    }
}

fn any_u64() -> impl Strategy<Value = u64> {
    prop_oneof![select(EDGE_VALUES.to_vec()), any::<u64>(), 0..20_u64]
}

fn any_record() -> impl Strategy<Value = UpstreamRecord> {
    (select(vec!["a", "b", ""]), prop::option::of(any_u64()), any_u64(), any_u64(), any::<bool>()).prop_map(
        |(id, born_ms, sequence, warm_up_left_ms, draining)| UpstreamRecord {
            born_ms,
            draining,
            warm_up_left_ms,
            slots: warm_up_left_ms as u32,
            ..record(id, sequence)
        },
    )
}

fn any_change() -> impl Strategy<Value = Change> {
    prop_oneof![
        4 => any_record().prop_map(Change::Upstream),
        1 => select(vec!["a", "b", ""]).prop_map(upstream_removal),
        1 => (any_u64(), any::<bool>()).prop_map(|(revision, active)| {
            Change::Evacuation(Evacuation { data_centre: "one".into(), active, revision })
        }),
    ]
}

fn any_mark() -> impl Strategy<Value = ReadMark> {
    (any_u64(), any_u64()).prop_map(|(revision, version)| ReadMark { revision, version })
}

fn any_relay() -> impl Strategy<Value = RelayDatagram> {
    (any_u64(), any_mark(), any_u64(), vec(any_change(), 0..5), any_u64(), (any_u64(), any_u64())).prop_map(
        |(since, mark, age_ms, changes, round, (first, last))| RelayDatagram {
            origin: "10.0.0.9:7660".parse().unwrap(),
            round,
            segment: Segment { first, last },
            relay: WireRelay::from(Relay { since, mark, age_ms, changes }),
        },
    )
}

fn any_state() -> impl Strategy<Value = StateReply> {
    (any_mark(), any_u64(), any::<bool>(), vec(any_change(), 0..5), prop::option::of(any_u64())).prop_map(
        |(mark, age_ms, whole, changes, version)| {
            let update = version.map(|version| {
                let mut configuration = configuration(version);
                configuration.routes.push(common::route(RouteKind::Safe).into());
                ConfigurationUpdate::Whole(Box::new(configuration))
            });
            StateReply::new(mark, age_ms, whole, changes, update)
        },
    )
}

/// Reports encoded by a node, of crashes at arbitrary times.
fn any_reports() -> impl Strategy<Value = QuarantineMessage> {
    vec((0..3_u64, 0..2_000 * S, 0..10 * S), 0..6).prop_map(|crashes| {
        let mut node = Quarantine::new(QuarantineOptions::default(), u64::MAX, u64::MAX - 10);
        for (number, began_us, took_us) in crashes {
            let head = HeadFingerprint::new("GET", "app.example", &format!("/{number}"), None);
            let request = head.with_query_and_body(QueryScope::Any, BodyFingerprint::new(b"", Some(0)));
            node.record_crash(request, began_us, began_us + took_us);
        }
        QuarantineMessage::Reports(node.next_page(NOW_US))
    })
}

/// Overwrites some bytes of an encoded message and truncates it at `cut`.
fn damaged(mut bytes: Vec<u8>, flips: &[(Index, u8)], cut: Option<Index>) -> Vec<u8> {
    if bytes.len() > 1 {
        for (at, value) in flips {
            // The first byte, the version, is left as it is.
            let at = 1 + at.index(bytes.len() - 1);
            bytes[at] = *value;
        }
    }
    if let Some(cut) = cut {
        bytes.truncate(cut.index(bytes.len() + 1));
    }
    bytes
}

fn any_damage() -> impl Strategy<Value = (Vec<(Index, u8)>, Option<Index>)> {
    (vec((any::<Index>(), any::<u8>()), 0..4), prop::option::weighted(0.1, any::<Index>()))
}

fn runner() -> TestRunner {
    let cases = env::var("PROPTEST_CASES").map_or(CASES, |cases| cases.parse().unwrap());
    let config = Config { cases, failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha))
}

#[gtest]
fn no_relay_causes_a_panic() {
    let result = runner().run(&(vec(any_relay(), 1..4), any_damage()), |(relays, (flips, cut))| {
        let mut node = Node::new();
        for relay in relays {
            let bytes = damaged(codec::encode(&relay).unwrap(), &flips, cut);
            node.receive_relay_datagram(relay);
            if let Ok(relay) = codec::decode::<RelayDatagram>(&bytes) {
                node.receive_relay_datagram(relay);
            }
        }
        Ok(())
    });
    result.unwrap();
}

#[gtest]
fn no_state_reply_causes_a_panic() {
    let result = runner().run(&(vec(any_state(), 1..4), any_damage()), |(states, (flips, cut))| {
        let mut node = Node::new();
        for state in states {
            let bytes = damaged(codec::encode(&state).unwrap(), &flips, cut);
            node.receive_state_reply(state);
            if let Ok(state) = codec::decode::<StateReply>(&bytes) {
                node.receive_state_reply(state);
            }
        }
        Ok(())
    });
    result.unwrap();
}

fn any_limits() -> impl Strategy<Value = LimitMessage> {
    let limit =
        (select(vec!["a", "b", ""]), prop::option::of(any_u64()), prop::option::of(any_u64()), any_u64())
            .prop_map(|(upstream, born_ms, per_1000_s, age_ms)| LimitAnnouncement {
                upstream: upstream.into(),
                born_ms,
                per_1000_s: per_1000_s.map(|per_1000_s| per_1000_s as u32),
                age_ms: age_ms as u32,
            });
    (vec(limit, 0..4), any_u64(), any_u64()).prop_map(|(limits, first, last)| LimitMessage {
        origin: "10.0.0.1:7664".parse().unwrap(),
        segment: Segment { first, last },
        limits,
    })
}

#[gtest]
fn no_limit_message_causes_a_panic() {
    let result = runner().run(&(any_limits(), any_damage()), |(message, (flips, cut))| {
        let mut node = Node::new();
        let bytes = damaged(codec::encode(&message).unwrap(), &flips, cut);
        node.receive_limit_message(message);
        if let Ok(message) = codec::decode::<LimitMessage>(&bytes) {
            node.receive_limit_message(message);
        }
        Ok(())
    });
    result.unwrap();
}

#[gtest]
fn no_quarantine_message_or_state_request_causes_a_panic() {
    let result =
        runner().run(&(any_reports(), any_damage(), any_u64()), |(reports, (flips, cut), number)| {
            let mut node = Node::new();
            let bytes = damaged(codec::encode(&reports).unwrap(), &flips, cut);
            node.receive_quarantine_message(reports);
            if let Ok(reports) = codec::decode::<QuarantineMessage>(&bytes) {
                node.receive_quarantine_message(reports);
            }
            let request = StateRequest { known: ReadMark { revision: number, version: number } };
            let bytes = damaged(codec::encode(&request).unwrap(), &flips, cut);
            _ = codec::decode::<StateRequest>(&bytes);
            Ok(())
        });
    result.unwrap();
}
