//! Tests of queries between nodes: what is requested, answered and accepted.

mod common;

use {
    common::{configuration, configuration_change, page, record, route, upstream_change},
    googletest::prelude::*,
    pointvane_core::{Change, RouteKind, RouteRule, RoutingConfiguration, RoutingDelta, UpstreamRecord},
    pointvane_dispatch::{
        Broadcaster, CallFailure, FullStateLimit, KnownState, PeerQuery, PlatformReader, ReadMark,
        ReaderCall, ReaderOptions, ReaderQuery, ReaderRole, Relay, StateReply, StateRequest,
        fits_reply_limit,
    },
    pointvane_mesh::codec,
    std::{net::SocketAddr, sync::Arc},
};

const MS: u64 = 1_000;
const EMPTY_REQUEST: StateRequest = StateRequest { known: ReadMark { revision: 0, version: 0 } };

/// State held by a peer.
struct PeerState {
    ids: &'static [&'static str],
    version: u64,
}

impl KnownState for PeerState {
    fn entries(&self) -> Vec<Change> {
        self.ids.iter().map(|id| upstream_change(id, 1)).collect()
    }

    fn configuration(&self) -> RoutingConfiguration {
        configuration(self.version)
    }

    fn configuration_since(&self, _version: u64) -> Option<Vec<RoutingDelta>> {
        None
    }
}

/// A reader that has read everything up to a revision and configuration version from the platform.
fn reader_at(revision: u64, version: u64) -> PlatformReader {
    let mut reader = PlatformReader::new(ReaderOptions { start_queries: 0, ..ReaderOptions::default() }, 1);
    reader.receive_page(page(revision, vec![configuration_change(version)]), [].into_iter(), MS);
    reader.compare_with_peers(ReaderRole::Follower, 0, MS);
    reader
}

fn relay(revision: u64, version: u64, changes: Vec<Change>) -> Relay {
    Relay { since: revision - 1, mark: ReadMark { revision, version }, age_ms: 0, changes }
}

fn new_reader() -> PlatformReader {
    PlatformReader::new(ReaderOptions::default(), 1)
}

fn receive_reply(reader: &mut PlatformReader, reply: StateReply, now_us: u64) -> Vec<Change> {
    reader.receive_state(reply, [upstream_change("old", 1)].into_iter(), now_us)
}

#[gtest]
fn a_starting_node_queries_a_peer_before_the_platform() {
    let mut reader = new_reader();
    let call = reader.next(0);
    // When all nodes start together none has any state, so callers must not wait long.
    let short = matches_pattern!(ReaderCall::QueryPeer(matches_pattern!(PeerQuery {
        request: eq(&EMPTY_REQUEST),
        timeout_ms: le(&50),
        ..
    })));
    expect_that!(call, short);
    reader.query_failed(MS);
    expect_that!(reader.next(MS), matches_pattern!(ReaderCall::Snapshot { .. }));
}

#[gtest]
fn a_peers_full_state_saves_a_starting_node_the_call_to_the_platform() {
    let peer = reader_at(7, 3);
    let reply = peer.answer(&EMPTY_REQUEST, &PeerState { ids: &["a", "b"], version: 3 }, 300 * MS).unwrap();
    let mut reader = new_reader();
    reader.next(299 * MS);
    let changes = receive_reply(&mut reader, reply, 300 * MS);
    let gone = Change::UpstreamGone("old".into());
    expect_that!(
        changes,
        elements_are![
            eq(&configuration_change(3)),
            eq(&upstream_change("a", 1)),
            eq(&upstream_change("b", 1)),
            eq(&gone)
        ]
    );
    expect_that!(reader.mark(), eq(ReadMark { revision: 7, version: 3 }));
    reader.compare_with_peers(ReaderRole::Follower, 7, 400 * MS);
    expect_that!(reader.next(1_400 * MS), matches_pattern!(ReaderCall::Wait { .. }));
    expect_that!(reader.next(2_000 * MS), matches_pattern!(ReaderCall::Watch { after: eq(&7), .. }));
}

#[gtest]
fn a_peer_with_an_expired_lease_does_not_answer() {
    let peer = reader_at(7, 3);
    let state = PeerState { ids: &[], version: 3 };
    expect_that!(peer.answer(&EMPTY_REQUEST, &state, 1_000 * MS).is_some(), eq(true));
    expect_that!(peer.answer(&EMPTY_REQUEST, &state, 1_500 * MS).is_some(), eq(false));
}

/// A peer that holds many upstreams.
struct ManyUpstreams(usize);

impl KnownState for ManyUpstreams {
    fn entries(&self) -> Vec<Change> {
        (0..self.0).map(|number| upstream_change(&format!("i-{number}"), 1)).collect()
    }

    fn configuration(&self) -> RoutingConfiguration {
        configuration(3)
    }

    fn configuration_since(&self, _version: u64) -> Option<Vec<RoutingDelta>> {
        None
    }
}

/// The limit applies to the encoded size, so a fleet four times the size of the largest known deployment can
/// still pass its state on.
#[gtest]
fn the_state_of_a_large_fleet_fits_in_an_answer_and_an_oversized_one_is_not_sent() {
    let peer = reader_at(7, 3);
    for upstreams in [326, 2_999, 9_000, 12_000, 24_000] {
        let reply = peer.answer(&EMPTY_REQUEST, &ManyUpstreams(upstreams), 2 * MS).unwrap();
        let bytes = codec::compressed_frame(&reply).unwrap().len();
        expect_that!(fits_reply_limit(bytes), eq(true), "{upstreams} upstreams, {bytes} bytes");
    }
    expect_that!(fits_reply_limit(1_500_000), eq(true));
    expect_that!(fits_reply_limit(1_500_001), eq(false));
}

#[gtest]
fn a_request_for_a_full_state_is_recognised_before_the_state_is_built() {
    let peer = reader_at(7, 3);
    expect_that!(peer.answers_with_full_state(&EMPTY_REQUEST), eq(true));
    expect_that!(peer.newer_age_ms(&EMPTY_REQUEST, 2 * MS), some(anything()));
    let current = StateRequest { known: peer.mark() };
    expect_that!(peer.answers_with_full_state(&current), eq(false));
    expect_that!(peer.newer_age_ms(&current, 2 * MS), none());
}

#[gtest]
fn a_compressed_state_round_trips_and_garbage_is_rejected() {
    let reply = reader_at(7, 3).answer(&EMPTY_REQUEST, &ManyUpstreams(1_080), 2 * MS).unwrap();
    let frame = codec::compressed_frame(&reply).unwrap();
    let decoded: StateReply = codec::decode_compressed(&frame[4..]).unwrap();
    expect_that!(codec::encode_frame(&decoded).unwrap(), eq(&codec::encode_frame(&reply).unwrap()));
    expect_that!(codec::decode_compressed::<StateReply>(&frame[5..]).is_err(), eq(true));
    expect_that!(codec::decode_compressed::<StateReply>(&[]).is_err(), eq(true));
}

#[gtest]
fn a_full_state_of_a_thousand_upstreams_is_small_and_few_are_sent_concurrently() {
    let peer = reader_at(7, 3);
    let reply = peer.answer(&EMPTY_REQUEST, &ManyUpstreams(1_080), 2 * MS).unwrap();
    expect_that!(codec::encode_frame(&reply).unwrap().len(), le(80_000));
    let mut limit = FullStateLimit::default();
    let accepted = (0..500).filter(|_| limit.begin()).count();
    expect_that!(accepted, eq(8));
    limit.end();
    expect_that!((limit.begin(), limit.begin()), eq((true, false)));
}

#[gtest]
fn a_peer_with_nothing_newer_does_not_answer() {
    let peer = reader_at(7, 3);
    let request = StateRequest { known: peer.mark() };
    expect_that!(peer.answer(&request, &PeerState { ids: &[], version: 3 }, 2 * MS).is_some(), eq(false));
}

#[gtest]
fn an_answer_without_the_newer_configuration_is_rejected() {
    let mut reader = reader_at(5, 2);
    let mark = ReadMark { revision: 9, version: 3 };
    let reply = StateReply::new(mark, 0, false, Vec::new(), None);
    expect_that!(receive_reply(&mut reader, reply, 10 * MS), is_empty());
    expect_that!(reader.mark(), eq(ReadMark { revision: 5, version: 2 }));
}

#[gtest]
fn an_older_answer_is_ignored() {
    let mut reader = reader_at(5, 2);
    let mark = ReadMark { revision: 4, version: 2 };
    let reply = StateReply::new(mark, 0, true, vec![upstream_change("a", 1)], None);
    expect_that!(receive_reply(&mut reader, reply, 10 * MS), is_empty());
    expect_that!(reader.mark().revision, eq(5));
}

#[gtest]
fn a_relayed_configuration_is_queried_from_peers_then_read_from_the_platform() {
    let mut reader = reader_at(5, 2);
    reader.receive_relay(relay(6, 3, Vec::new()), 0.5, 700 * MS);
    expect_that!(reader.should_interrupt(), eq(true));
    let expected_wait = matches_pattern!(ReaderQuery::Wait { until_us: eq(&(850 * MS)) });
    expect_that!(reader.next_query(700 * MS), expected_wait);
    for _ in 0..2 {
        expect_that!(
            reader.next(850 * MS),
            matches_pattern!(ReaderCall::Wait { .. }),
            "peers are queried first"
        );
        expect_that!(reader.next_query(850 * MS), matches_pattern!(ReaderQuery::Peer(_)));
        reader.query_failed(860 * MS);
    }
    expect_that!(
        reader.next(870 * MS),
        matches_pattern!(ReaderCall::Watch { after: eq(&5), wait_ms: le(&5), .. })
    );
}

#[gtest]
fn a_slow_peer_does_not_delay_the_call_to_the_platform() {
    let mut reader = reader_at(5, 2);
    reader.receive_relay(relay(6, 3, Vec::new()), 0.0, 700 * MS);
    expect_that!(reader.next_query(700 * MS), matches_pattern!(ReaderQuery::Peer(_)));
    expect_that!(reader.next(700 * MS), matches_pattern!(ReaderCall::Wait { until_us: le(&(1_500 * MS)) }));
    expect_that!(reader.next(1_500 * MS), matches_pattern!(ReaderCall::Watch { after: eq(&5), .. }));
}

#[gtest]
fn peers_are_queried_while_a_slow_platform_response_arrives() {
    let mut follower = reader_at(5, 2);
    expect_that!(follower.next(5_000 * MS), matches_pattern!(ReaderCall::Watch { .. }), "no relay arrives");
    follower.receive_relay(relay(6, 3, Vec::new()), 0.0, 5_300 * MS);
    expect_that!(follower.should_interrupt(), eq(false));
    expect_that!(follower.next_query(5_300 * MS), matches_pattern!(ReaderQuery::Peer(_)));
    // A watcher first gives its own response some time to arrive.
    let mut watcher = reader_at(5, 2);
    watcher.compare_with_peers(ReaderRole::Watcher, 5, 5_000 * MS);
    watcher.next(5_000 * MS);
    watcher.response_started(5_100 * MS);
    watcher.receive_relay(relay(6, 3, Vec::new()), 0.0, 5_300 * MS);
    expect_that!(watcher.next_query(5_300 * MS), matches_pattern!(ReaderQuery::Wait { .. }));
    watcher.receive_relay(relay(7, 4, Vec::new()), 0.0, 5_600 * MS);
    expect_that!(watcher.next_query(5_600 * MS), matches_pattern!(ReaderQuery::Peer(_)));
}

#[gtest]
fn a_truncated_response_causes_a_snapshot() {
    let mut reader = reader_at(5, 2);
    expect_that!(reader.next(5_000 * MS), matches_pattern!(ReaderCall::Watch { .. }));
    reader.call_failed(CallFailure::Truncated, 9_500 * MS);
    expect_that!(reader.next(12_000 * MS), matches_pattern!(ReaderCall::Snapshot { next_page: none(), .. }));
}

#[gtest]
fn a_peer_sends_only_the_changes_that_the_querier_lacks() {
    let mut peer = reader_at(5, 2);
    peer.next(2_000 * MS);
    peer.receive_watch_response(page(6, vec![upstream_change("a", 1)]), 2_001 * MS);
    peer.next(4_000 * MS);
    peer.receive_watch_response(page(8, vec![configuration_change(4), upstream_change("b", 1)]), 4_001 * MS);
    let state = PeerState { ids: &["a", "b", "c"], version: 4 };
    let request = StateRequest { known: ReadMark { revision: 6, version: 2 } };
    let reply = peer.answer(&request, &state, 4_002 * MS).unwrap();
    expect_that!(reply.is_full, eq(false));
    let mut querier = reader_at(6, 2);
    let changes = receive_reply(&mut querier, reply, 4_003 * MS);
    expect_that!(changes, elements_are![eq(&configuration_change(4)), eq(&upstream_change("b", 1))]);
    expect_that!(querier.mark(), eq(ReadMark { revision: 8, version: 4 }));
    // A querier whose revision precedes the recorded changes receives the full state.
    let outdated = StateRequest { known: ReadMark { revision: 2, version: 1 } };
    expect_that!(peer.answer(&outdated, &state, 4_002 * MS).unwrap().is_full, eq(true));
}

/// Guards against a call that is aborted and repeated for each relay: a node whose platform responses took
/// longer than the interval between relays never caught up.
#[gtest]
fn a_catch_up_call_is_not_aborted_by_the_next_relay() {
    let mut watcher = reader_at(5, 1);
    let now_us = 10_000 * MS;
    watcher.compare_with_peers(ReaderRole::Watcher, 5, now_us);
    watcher.receive_relay(relay(6, 2, Vec::new()), 0.0, now_us);
    expect_that!(watcher.next(now_us), matches_pattern!(ReaderCall::Watch { .. }));
    watcher.receive_relay(relay(7, 3, Vec::new()), 0.0, now_us + 300 * MS);
    expect_that!(watcher.should_interrupt(), eq(false), "the call under way brings what is missing");
}

/// A configuration whose routes are the same in each version.
fn with_routes(version: u64, routes: usize) -> RoutingConfiguration {
    let rule = |number: usize| {
        Arc::new(RouteRule { name: format!("r{number}").as_str().into(), ..route(RouteKind::Safe) })
    };
    RoutingConfiguration { routes: (0..routes).map(rule).collect(), ..configuration(version) }
}

/// State of a peer that has followed the configuration from version 2 to 4.
struct PeerWithDeltas;

impl KnownState for PeerWithDeltas {
    fn entries(&self) -> Vec<Change> {
        Vec::new()
    }

    fn configuration(&self) -> RoutingConfiguration {
        with_routes(4, 3)
    }

    fn configuration_since(&self, version: u64) -> Option<Vec<RoutingDelta>> {
        let step = |from, to| RoutingDelta::between(&with_routes(from, 3), &with_routes(to, 3)).unwrap();
        // The delta from the first version is larger than the full configuration.
        let larger = RoutingDelta::between(&with_routes(1, 9), &with_routes(2, 3)).unwrap();
        match version {
            1 => Some(vec![larger, step(2, 3), step(3, 4)]),
            2 => Some(vec![step(2, 3), step(3, 4)]),
            _ => None,
        }
    }
}

#[gtest]
fn a_peer_sends_only_configuration_deltas() {
    let mut peer = reader_at(5, 2);
    peer.next(2_000 * MS);
    peer.receive_watch_response(page(8, vec![configuration_change(4)]), 2_001 * MS);
    let request = |revision, version| StateRequest { known: ReadMark { revision, version } };
    let reply = peer.answer(&request(5, 2), &PeerWithDeltas, 2_002 * MS).unwrap();
    let mut querier = reader_at(5, 2);
    let changes = receive_reply(&mut querier, reply.clone(), 2_003 * MS);
    expect_that!(changes, elements_are![matches_pattern!(Change::ConfigurationDeltas(len(eq(2))))]);
    expect_that!(querier.mark(), eq(ReadMark { revision: 8, version: 4 }));
    // A node with another version cannot apply the deltas.
    let mut other = reader_at(5, 1);
    expect_that!(receive_reply(&mut other, reply, 2_003 * MS), is_empty());
    // The full configuration is sent if it is smaller, or if the peer never had the version of the querier.
    for version in [1, 0] {
        let whole = peer.answer(&request(5, version), &PeerWithDeltas, 2_002 * MS).unwrap();
        let mut other = reader_at(5, version);
        let changes = receive_reply(&mut other, whole, 2_004 * MS);
        expect_that!(changes, elements_are![eq(&Change::Configuration(Box::new(with_routes(4, 3))))]);
    }
}

#[gtest]
fn a_missing_configuration_causes_a_snapshot() {
    let mut reader = reader_at(5, 4);
    reader.configuration_missing(2);
    expect_that!(reader.mark(), eq(ReadMark { revision: 5, version: 2 }));
    expect_that!(reader.next(1_000 * MS), matches_pattern!(ReaderCall::Snapshot { next_page: none(), .. }));
}

#[gtest]
fn a_watcher_connected_to_the_platform_fetches_relayed_changes_by_its_own_watch() {
    let mut watcher = reader_at(5, 1);
    watcher.compare_with_peers(ReaderRole::Watcher, 5, 10_000 * MS);
    watcher.next(10_000 * MS);
    watcher.receive_watch_response(page(6, vec![configuration_change(2)]), 10_100 * MS);
    watcher.receive_relay(relay(7, 3, Vec::new()), 0.0, 10_150 * MS);
    expect_that!(
        watcher.next(10_150 * MS),
        matches_pattern!(ReaderCall::Wait { .. }),
        "it pauses between responses"
    );
    expect_that!(watcher.next(10_400 * MS), matches_pattern!(ReaderCall::Watch { after: eq(&6), .. }));
}

#[gtest]
fn a_watcher_that_lost_the_platform_queries_peers_for_the_configuration() {
    let mut watcher = reader_at(5, 1);
    watcher.compare_with_peers(ReaderRole::Watcher, 5, 10_000 * MS);
    watcher.next(10_000 * MS);
    watcher.call_failed(CallFailure::Unavailable, 10_700 * MS);
    watcher.receive_relay(relay(6, 2, Vec::new()), 0.0, 10_750 * MS);
    expect_that!(watcher.next_query(10_750 * MS), matches_pattern!(ReaderQuery::Peer(_)));
}

#[gtest]
fn the_broadcaster_is_the_active_node_with_the_highest_revision() {
    let relayed = |port: u16, revision, at_ms| Broadcaster {
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        revision,
        received_at_us: at_ms * MS,
    };
    let ahead = relayed(1, 9, 1_000);
    expect_that!(relayed(2, 8, 1_300).most_advanced(Some(ahead)), eq(ahead));
    expect_that!(
        relayed(2, 9, 1_300).most_advanced(Some(ahead)),
        eq(relayed(2, 9, 1_300)),
        "a newer relay of the same revision wins"
    );
    expect_that!(
        relayed(1, 3, 1_300).most_advanced(Some(ahead)),
        eq(relayed(1, 3, 1_300)),
        "it reports its own revision"
    );
    expect_that!(
        relayed(2, 8, 2_450).most_advanced(Some(ahead)),
        eq(relayed(2, 8, 2_450)),
        "relays of the other have stopped"
    );
    expect_that!(relayed(2, 8, 1_300).most_advanced(None), eq(relayed(2, 8, 1_300)));
}

#[gtest]
fn a_relayed_drain_takes_effect_though_the_configuration_is_missing() {
    let mut reader = reader_at(5, 2);
    let draining = Change::Upstream(UpstreamRecord { draining: true, ..record("a", 2) });
    let changes = vec![draining.clone(), upstream_change("b", 1), Change::UpstreamGone("c".into())];
    // Upstreams that joined or were removed arrive with the queried state.
    expect_that!(reader.receive_relay(relay(6, 3, changes), 0.5, 700 * MS), elements_are![eq(&draining)]);
    expect_that!(reader.mark(), eq(ReadMark { revision: 5, version: 2 }));
    expect_that!(reader.should_interrupt(), eq(true));
}

#[gtest]
fn a_starting_node_refused_by_the_platform_queries_peers_again() {
    let mut reader = new_reader();
    expect_that!(reader.next(0), matches_pattern!(ReaderCall::QueryPeer(_)));
    reader.query_failed(40 * MS);
    expect_that!(reader.next(40 * MS), matches_pattern!(ReaderCall::Snapshot { .. }));
    reader.call_failed(CallFailure::Unavailable, 50 * MS);
    expect_that!(
        reader.next(2_000 * MS),
        matches_pattern!(ReaderCall::QueryPeer(matches_pattern!(PeerQuery {
            request: eq(&EMPTY_REQUEST),
            ..
        })))
    );
    reader.query_failed(2_040 * MS);
    expect_that!(reader.next(2_040 * MS), matches_pattern!(ReaderCall::Snapshot { .. }));
}

#[gtest]
fn a_watcher_without_the_platform_queries_peers_again_when_all_queries_failed() {
    let mut watcher = reader_at(5, 1);
    watcher.compare_with_peers(ReaderRole::Watcher, 5, 10_000 * MS);
    watcher.next(10_000 * MS);
    watcher.call_failed(CallFailure::Unavailable, 10_700 * MS);
    watcher.receive_relay(relay(6, 2, Vec::new()), 0.0, 10_750 * MS);
    for _ in 0..2 {
        expect_that!(watcher.next_query(10_750 * MS), matches_pattern!(ReaderQuery::Peer(_)));
        watcher.query_failed(10_760 * MS);
    }
    expect_that!(watcher.next_query(10_800 * MS), matches_pattern!(ReaderQuery::Wait { .. }));
    // It continues with its own watch, which fails as well.
    expect_that!(watcher.next(11_000 * MS), matches_pattern!(ReaderCall::Watch { .. }));
    watcher.call_failed(CallFailure::Unavailable, 11_700 * MS);
    watcher.receive_relay(relay(7, 3, Vec::new()), 0.0, 11_750 * MS);
    expect_that!(watcher.next_query(11_750 * MS), matches_pattern!(ReaderQuery::Peer(_)));
}
