//! Tests of evacuations: an evacuated data centre gets no new requests until operators end the evacuation,
//! whichever way a node learned of it.

mod common;

use {
    common::{configuration_change, page, record, upstream_change, upstream_removal},
    googletest::prelude::*,
    pointvane_core::{Change, ErrorKind, Evacuation, Name, UpstreamLoad, UpstreamRecord},
    pointvane_dispatch::{
        AllowedRegions, CallFailure, CandidateCriteria, Found, Ineligible, KnownState, PlatformReader, Pool,
        RankingOptions, ReadMark, ReaderOptions, ReaderRole, Relay, Search, SearchGoal, SearchOptions,
        SearchRequest, SearchStep, StateReply, StateRequest, UpstreamKey,
    },
    std::iter,
};

const MS: u64 = 1_000;
const PROBES: SearchOptions = SearchOptions { probes: true, first_round: 2, second_round: 4 };

fn evacuation_change(data_centre: &str, active: bool, revision: u64) -> Change {
    Change::Evacuation(Evacuation { data_centre: data_centre.into(), active, revision })
}

fn upstream(id: &str, data_centre: &str) -> Change {
    let port: u16 = id.bytes().map(u16::from).sum();
    let address = format!("10.0.0.1:{port}").parse().unwrap();
    Change::Upstream(UpstreamRecord { data_centre: data_centre.into(), address, ..record(id, 1) })
}

/// A simulated node: its platform reader and its upstream pool.
struct Node {
    reader: PlatformReader,
    pool: Pool,
}

impl Node {
    /// A node without platform state.
    fn new() -> Self {
        let pool = Pool::new(RankingOptions::default(), "one".into(), 1);
        Self { reader: PlatformReader::new(ReaderOptions::default(), 1), pool }
    }

    /// A node that has read upstreams of two data centres at revision 5.
    fn with_upstreams() -> Self {
        let mut node = Self::new();
        node.read_page(page(5, vec![upstream("a", "one"), upstream("b", "one"), upstream("c", "two")]), MS);
        node
    }

    fn apply(&mut self, changes: Vec<Change>, now_us: u64) {
        for change in changes {
            match change {
                Change::Upstream(record) => _ = self.pool.upsert(record, now_us),
                Change::UpstreamGone(id) => _ = self.pool.remove(&id),
                Change::Evacuation(evacuation) => _ = self.pool.apply_evacuation(evacuation),
                Change::Configuration(_) | Change::ConfigurationDeltas(_) => {}
            }
        }
    }

    fn read_page(&mut self, page: pointvane_core::ChangePage, now_us: u64) {
        let changes = self.reader.receive_page(page, self.pool.listed_changes(), now_us);
        self.apply(changes, now_us);
    }

    fn receive_watch_answer(&mut self, revision: u64, changes: Vec<Change>, now_us: u64) {
        self.reader.next(now_us);
        let changes = self.reader.receive_watch_response(page(revision, changes), now_us);
        self.apply(changes, now_us);
    }

    fn receive_relay(&mut self, relay: Relay, now_us: u64) {
        let changes = self.reader.receive_relay(relay, 0.0, now_us);
        self.apply(changes, now_us);
    }

    fn query_peer(&mut self, peer: &Self, now_us: u64) {
        let request = StateRequest { known: self.reader.mark() };
        let reply = peer.reader.answer(&request, &peer.known_state(), now_us).unwrap();
        let changes = self.reader.receive_state(reply, self.pool.known_changes(), now_us);
        self.apply(changes, now_us);
    }

    fn known_state(&self) -> FixedState {
        FixedState(self.pool.listed_changes().collect())
    }

    /// The ids of the upstreams that are candidates, sorted.
    fn candidates(&mut self, now_us: u64) -> Vec<String> {
        let criteria = CandidateCriteria {
            priority: 0,
            tried: &[],
            body_bytes: 0,
            count: 9,
            regions: &AllowedRegions::ANY,
        };
        let keys = self.pool.candidates(&"dispatch".into(), &criteria, now_us);
        let mut names: Vec<String> = keys.iter().map(|key| self.name(*key)).collect();
        names.sort();
        names
    }

    fn name(&self, key: UpstreamKey) -> String {
        self.pool.get(key).unwrap().id().to_string()
    }

    fn key(&mut self, id: &str, now_us: u64) -> UpstreamKey {
        let criteria = CandidateCriteria {
            priority: 0,
            tried: &[],
            body_bytes: 0,
            count: 9,
            regions: &AllowedRegions::ANY,
        };
        let keys = self.pool.candidates(&"dispatch".into(), &criteria, now_us);
        keys.into_iter().find(|key| self.name(*key) == id).unwrap()
    }
}

struct FixedState(Vec<Change>);

impl KnownState for FixedState {
    fn entries(&self) -> Vec<Change> {
        self.0.clone()
    }

    fn configuration(&self) -> pointvane_core::RoutingConfiguration {
        common::configuration(0)
    }

    fn configuration_since(&self, _version: u64) -> Option<Vec<pointvane_core::RoutingDelta>> {
        None
    }
}

fn relay(since: u64, revision: u64, changes: Vec<Change>) -> Relay {
    Relay { since, mark: ReadMark { revision, version: 0 }, age_ms: 0, changes }
}

#[gtest]
fn an_evacuated_data_centre_has_no_candidates_until_the_evacuation_ends() {
    let mut node = Node::with_upstreams();
    expect_that!(node.candidates(MS), elements_are![eq("a"), eq("b"), eq("c")]);
    node.receive_watch_answer(6, vec![evacuation_change("one", true, 6)], 10 * MS);
    expect_that!(node.candidates(10 * MS), elements_are![eq("c")]);
    node.receive_watch_answer(7, vec![evacuation_change("one", false, 7)], 20 * MS);
    expect_that!(node.candidates(20 * MS), elements_are![eq("a"), eq("b"), eq("c")]);
}

#[gtest]
fn an_evacuation_covers_upstreams_that_join_later_and_holds_while_all_others_are_ejected() {
    let mut node = Node::with_upstreams();
    node.receive_watch_answer(6, vec![evacuation_change("two", true, 6), upstream("d", "two")], 10 * MS);
    for id in ["a", "b"] {
        let key = node.key(id, 10 * MS);
        (0..3).for_each(|_| node.pool.get_mut(key).unwrap().record_unresponsive(10 * MS));
    }
    expect_that!(
        node.candidates(11 * MS),
        elements_are![eq("a"), eq("b")],
        "ejected upstreams only, none of the evacuated data centre"
    );
}

#[gtest]
fn an_evacuation_is_learned_from_relays_states_and_full_reads() {
    let evacuation_of_one = || vec![evacuation_change("one", true, 6)];
    let mut by_relay = Node::with_upstreams();
    by_relay.receive_relay(relay(5, 6, evacuation_of_one()), 10 * MS);
    expect_that!(by_relay.candidates(10 * MS), elements_are![eq("c")], "relay");

    let mut after_a_gap = Node::with_upstreams();
    after_a_gap.reader.compare_with_peers(ReaderRole::Follower, 5, MS);
    after_a_gap.receive_relay(relay(8, 9, evacuation_of_one()), 10 * MS);
    expect_that!(after_a_gap.candidates(10 * MS), elements_are![eq("c")], "relay after a gap");

    let mut by_delta = Node::with_upstreams();
    by_delta.query_peer(&by_relay, 20 * MS);
    expect_that!(by_delta.candidates(20 * MS), elements_are![eq("c")], "delta of a peer");

    let mut starting_node = Node::new();
    starting_node.query_peer(&by_relay, 20 * MS);
    expect_that!(starting_node.candidates(20 * MS), elements_are![eq("c")], "whole state of a peer");

    let mut reader = Node::new();
    reader.read_page(
        page(9, vec![evacuation_change("one", true, 6), upstream("a", "one"), upstream("c", "two")]),
        MS,
    );
    expect_that!(reader.candidates(MS), elements_are![eq("c")], "full read");

    let mut after_history_gone = Node::with_upstreams();
    after_history_gone.reader.call_failed(CallFailure::HistoryGone, 10 * MS);
    after_history_gone.read_page(
        page(9, vec![evacuation_change("one", true, 6), upstream("a", "one"), upstream("c", "two")]),
        20 * MS,
    );
    expect_that!(
        after_history_gone.candidates(20 * MS),
        elements_are![eq("c")],
        "full read after the platform dropped its history"
    );
}

#[gtest]
fn an_evacuation_ends_by_relay_whole_state_or_full_read() {
    let evacuated_node = || {
        let mut node = Node::with_upstreams();
        node.receive_watch_answer(6, vec![evacuation_change("one", true, 6)], 10 * MS);
        node
    };
    let all_upstreams = || vec![upstream("a", "one"), upstream("b", "one"), upstream("c", "two")];
    let mut by_read = evacuated_node();
    by_read.reader.call_failed(CallFailure::HistoryGone, 20 * MS);
    by_read.read_page(page(9, all_upstreams()), 30 * MS);
    expect_that!(by_read.candidates(30 * MS).len(), eq(3), "full read without it");

    let mut by_state = evacuated_node();
    let mark = ReadMark { revision: 9, version: 0 };
    let reply = StateReply::new(mark, 0, true, all_upstreams(), None);
    let changes = by_state.reader.receive_state(reply, by_state.pool.known_changes(), 30 * MS);
    by_state.apply(changes, 30 * MS);
    expect_that!(by_state.candidates(30 * MS).len(), eq(3), "whole state without it");

    let mut by_relay = evacuated_node();
    by_relay.receive_relay(relay(6, 7, vec![evacuation_change("one", false, 7)]), 30 * MS);
    expect_that!(by_relay.candidates(30 * MS).len(), eq(3), "relay");
}

#[gtest]
fn neither_an_outage_nor_an_older_state_ends_an_evacuation() {
    let mut node = Node::with_upstreams();
    node.reader.compare_with_peers(ReaderRole::Follower, 5, MS);
    // The evacuation arrives early, by a relay after a gap; then a peer sends a full state with a lower
    // revision.
    node.receive_relay(relay(8, 9, vec![evacuation_change("one", true, 9)]), 10 * MS);
    let mark = ReadMark { revision: 7, version: 0 };
    let older = StateReply::new(mark, 0, true, vec![upstream("a", "one"), upstream("c", "two")], None);
    let changes = node.reader.receive_state(older, node.pool.known_changes(), 20 * MS);
    node.apply(changes, 20 * MS);
    expect_that!(node.candidates(20 * MS), elements_are![eq("c")], "older state");

    for second in 0..30 {
        node.reader.next(second * 1_000 * MS);
        node.reader.call_failed(CallFailure::Unavailable, second * 1_000 * MS);
    }
    expect_that!(node.candidates(31_000 * MS), elements_are![eq("c")], "outage");

    node.pool.apply_evacuation(Evacuation { data_centre: "one".into(), active: false, revision: 10 });
    node.pool.apply_evacuation(Evacuation { data_centre: "one".into(), active: true, revision: 9 });
    expect_that!(node.candidates(31_000 * MS).len(), eq(2), "an older entry after the evacuation ended");
}

#[gtest]
fn only_the_last_change_of_a_data_centre_is_relayed() {
    let mut watcher = Node::with_upstreams();
    watcher.reader.compare_with_peers(ReaderRole::Watcher, 5, MS);
    watcher.receive_watch_answer(
        6,
        vec![evacuation_change("one", true, 6), evacuation_change("two", true, 6)],
        10 * MS,
    );
    watcher.receive_watch_answer(
        7,
        vec![evacuation_change("one", false, 7), upstream_change("d", 1), upstream_removal("d")],
        400 * MS,
    );
    let relay = watcher.reader.relay(400 * MS).unwrap();
    let expected =
        [evacuation_change("two", true, 6), evacuation_change("one", false, 7), upstream_removal("d")];
    expect_that!(relay.changes, elements_are![eq(&expected[0]), eq(&expected[1]), eq(&expected[2])]);
}

#[gtest]
fn a_send_selected_before_an_evacuation_is_withheld() {
    let mut node = Node::with_upstreams();
    let key = node.key("a", MS);
    expect_that!(node.pool.begin_send(key, MS), ok(()));
    node.receive_watch_answer(6, vec![evacuation_change("one", true, 6)], 10 * MS);
    expect_that!(node.pool.begin_send(key, 10 * MS), err(eq(Ineligible::Evacuated)));
    node.receive_watch_answer(7, vec![evacuation_change("one", false, 7)], 20 * MS);
    expect_that!(node.pool.begin_send(key, 20 * MS), ok(()));
    node.pool.remove(&Name::from("a"));
    expect_that!(node.pool.begin_send(key, 30 * MS), err(eq(Ineligible::Gone)));
}

fn new_search(node: &Node, goal: SearchGoal) -> Search {
    _ = node;
    let request = SearchRequest {
        service: "dispatch".into(),
        tried: Vec::new(),
        body_bytes: 0,
        goal,
        regions: AllowedRegions::ANY,
        priority: 0,
    };
    Search::new(PROBES, request)
}

#[gtest]
fn a_probe_sent_before_an_evacuation_does_not_select_its_upstream() {
    let mut node = Node::with_upstreams();
    for goal in [SearchGoal::UncontendedOnly, SearchGoal::Best { until_us: 50 * MS }] {
        let mut search = new_search(&node, goal);
        let SearchStep::Probe { upstreams, .. } = search.next(&mut node.pool, MS) else { panic!("no probe") };
        let key = node.key("a", MS);
        expect_that!(upstreams.is_empty(), eq(false));
        node.pool.apply_evacuation(Evacuation { data_centre: "one".into(), active: true, revision: MS });
        let load = UpstreamLoad { running: 0, waiting: 0, slots: 3, slowdown_percent: 100 };
        node.pool.record_load(key, load, 2 * MS);
        expect_that!(search.record_probe_response(key, &node.pool, 2 * MS), eq(false));
        node.pool.apply_evacuation(Evacuation { data_centre: "one".into(), active: false, revision: 2 * MS });
        node.pool.record_load(key, load, 3 * MS);
        expect_that!(search.record_probe_response(key, &node.pool, 3 * MS), eq(true));
        node = Node::with_upstreams();
    }
}

#[gtest]
fn if_all_data_centres_are_evacuated_the_refusal_names_the_reason() {
    let mut node = Node::with_upstreams();
    node.receive_watch_answer(
        6,
        vec![evacuation_change("one", true, 6), evacuation_change("two", true, 6)],
        10 * MS,
    );
    let mut search = new_search(&node, SearchGoal::Best { until_us: 20 * MS });
    let step = search.next(&mut node.pool, 30 * MS);
    expect_that!(step, eq(&SearchStep::Done(Found::NoUpstream(Ineligible::Evacuated))));
    expect_that!(Ineligible::Evacuated.error(), eq(ErrorKind::Evacuated));
    let row = ErrorKind::Evacuated.answer();
    expect_that!((row.status, row.name, row.retry_after), eq((503, "evacuated", true)));
}

#[gtest]
fn ended_evacuations_use_bounded_memory() {
    let mut node = Node::with_upstreams();
    for revision in 0..10_000 {
        let data_centre = Name::from(format!("dc-{revision}").as_str());
        node.pool.apply_evacuation(Evacuation { data_centre: data_centre.clone(), active: true, revision });
        node.pool.apply_evacuation(Evacuation { data_centre, active: false, revision: revision + 1 });
    }
    expect_that!(node.pool.evacuations().count(), eq(0));
    expect_that!(node.pool.listed_changes().count(), eq(3));
    let configuration = iter::once(configuration_change(1)).filter_map(|change| change.entry()).count();
    expect_that!(configuration, eq(0));
}
