//! Tests of relays and of the log behind them: repeated changes, and changes that not every node can apply.

mod common;

use {
    common::{configuration, page, record, upstream_change, upstream_removal},
    googletest::prelude::*,
    pointvane_core::{Change, Name, RoutingConfiguration, RoutingDelta, UpstreamRecord},
    pointvane_dispatch::{
        AllowedRegions, CallFailure, CandidateCriteria, KnownState, PlatformReader, Pool, RankingOptions,
        ReadMark, ReaderOptions, ReaderQuery, ReaderRole, Relay, StateReply, StateRequest,
    },
};

const MS: u64 = 1_000;

/// A reader after a full read at a revision.
fn read_up_to(revision: u64) -> PlatformReader {
    let mut reader = PlatformReader::new(ReaderOptions::default(), 1);
    reader.receive_page(page(revision, Vec::new()), [].into_iter(), MS);
    reader
}

fn watcher() -> PlatformReader {
    let mut reader = read_up_to(5);
    reader.compare_with_peers(ReaderRole::Watcher, 5, MS);
    reader
}

/// A node that receives relays, with its upstream pool.
struct Receiver {
    reader: PlatformReader,
    pool: Pool,
}

impl Receiver {
    fn new(ids: &[&str]) -> Self {
        let mut pool = Pool::new(RankingOptions::default(), "one".into(), 1);
        ids.iter().for_each(|id| _ = pool.upsert(record(id, 1), MS));
        Self { reader: read_up_to(5), pool }
    }

    fn receive(&mut self, relay: Relay, now_us: u64) {
        for change in self.reader.receive_relay(relay, 0.0, now_us) {
            match change {
                Change::Upstream(record) => _ = self.pool.upsert(record, now_us),
                Change::UpstreamGone(id) => _ = self.pool.remove(&id),
                Change::Evacuation(_) | Change::Configuration(_) | Change::ConfigurationDeltas(_) => {}
            }
        }
    }

    fn knows(&self, id: &str) -> bool {
        let id: Name = id.into();
        self.pool.ids().any(|known| *known == id)
    }
}

#[gtest]
fn an_upstream_that_expired_and_returned_is_kept_when_a_later_relay_repeats_the_changes() {
    let mut watcher = watcher();
    let mut receiver = Receiver::new(&["a"]);
    watcher.receive_watch_response(page(7, vec![upstream_removal("a"), upstream_change("a", 5)]), 10 * MS);
    receiver.receive(watcher.relay(10 * MS).unwrap(), 11 * MS);
    expect_that!(receiver.knows("a"), eq(true));
    watcher.receive_watch_response(page(8, vec![upstream_change("b", 1)]), 400 * MS);
    receiver.receive(watcher.relay(400 * MS).unwrap(), 401 * MS);
    expect_that!(receiver.knows("a"), eq(true));
    expect_that!(receiver.knows("b"), eq(true));
}

#[gtest]
fn a_relay_contains_only_the_last_change_of_each_upstream() {
    let mut watcher = watcher();
    watcher.receive_watch_response(page(6, vec![upstream_change("a", 1), upstream_change("b", 1)]), 10 * MS);
    watcher.receive_watch_response(page(8, vec![upstream_removal("a"), upstream_change("a", 5)]), 400 * MS);
    watcher.receive_watch_response(page(9, vec![upstream_removal("b")]), 800 * MS);
    let relay = watcher.relay(800 * MS).unwrap();
    expect_that!(relay.since, eq(5));
    expect_that!(relay.changes, elements_are![eq(&upstream_change("a", 5)), eq(&upstream_removal("b"))]);
}

/// Changes that were relayed for seconds made up nine tenths of the bytes between the data centres of a calm
/// fleet.
#[gtest]
fn a_change_is_relayed_for_three_seconds() {
    let mut watcher = watcher();
    watcher.receive_watch_response(page(6, vec![upstream_change("a", 1)]), 10 * MS);
    watcher.receive_watch_response(page(6, Vec::new()), 2_900 * MS);
    let relay = watcher.relay(3_000 * MS).unwrap();
    expect_that!((relay.since, relay.changes.len()), eq((5, 1)));
    let relay = watcher.relay(3_010 * MS).unwrap();
    expect_that!((relay.since, relay.changes.len()), eq((6, 0)));
}

#[gtest]
fn a_node_that_missed_a_change_while_it_was_relayed_queries_a_peer() {
    let mut watcher = watcher();
    watcher.receive_watch_response(page(6, vec![upstream_change("a", 1)]), 10 * MS);
    watcher.receive_watch_response(page(6, Vec::new()), 3_900 * MS);
    let mut reader = read_up_to(5);
    reader.compare_with_peers(ReaderRole::Follower, 5, 3_900 * MS);
    let changes = reader.receive_relay(watcher.relay(4_000 * MS).unwrap(), 0.0, 4_000 * MS);
    expect_that!(changes, is_empty());
    expect_that!(reader.mark().revision, eq(5), "it does not take the change for known");
    expect_that!(reader.next_query(4_001 * MS), matches_pattern!(ReaderQuery::Peer(_)));
    let request = StateRequest { known: reader.mark() };
    let reply = watcher.answer(&request, &FixedState(Vec::new()), 4_002 * MS).unwrap();
    expect_that!(reply.is_full, eq(false));
    let changes = reader.receive_state(reply, [].into_iter(), 4_003 * MS);
    expect_that!(changes, contains(eq(&upstream_change("a", 1))));
}

#[gtest]
fn a_repeated_record_does_not_restart_the_warm_up() {
    let mut pool = Pool::new(RankingOptions::default(), "one".into(), 1);
    let cold = UpstreamRecord { warm_up_left_ms: 3_000, ..record("a", 1) };
    expect_that!(pool.upsert(cold.clone(), 0), eq(true));
    expect_that!(pool.upsert(cold, 2_900 * MS), eq(false));
    let criteria =
        CandidateCriteria { priority: 0, tried: &[], body_bytes: 0, count: 1, regions: &AllowedRegions::ANY };
    let key = pool.candidates(&"dispatch".into(), &criteria, 0)[0];
    expect_that!(pool.cost(key, 3_100 * MS), lt(pool.cost(key, 100 * MS)), "the warm-up is over");
}

/// A reader that knew `a` at revision 47 and then made a full read at revision 56, which lists only `b`.
fn read_in_full_twice() -> PlatformReader {
    let mut reader = read_up_to(47);
    reader.compare_with_peers(ReaderRole::Watcher, 47, MS);
    reader.call_failed(CallFailure::ExceedsSnapshotSize, 10 * MS);
    reader.next(10 * MS);
    reader.receive_page(
        page(56, vec![upstream_change("b", 1)]),
        [upstream_change("a", 1)].into_iter(),
        20 * MS,
    );
    reader
}

struct FixedState(Vec<Change>);

impl KnownState for FixedState {
    fn entries(&self) -> Vec<Change> {
        self.0.clone()
    }

    fn configuration(&self) -> RoutingConfiguration {
        configuration(0)
    }

    fn configuration_since(&self, _version: u64) -> Option<Vec<RoutingDelta>> {
        None
    }
}

/// An upstream that joined and left between two full reads is in neither. A node that learned of it in
/// between from another reader and then got the difference of the two reads kept it: in a soak test such a
/// node sent it requests for 7.7 s.
#[gtest]
fn the_difference_of_two_full_reads_is_not_sent_to_nodes_at_revisions_in_between() {
    let reader = read_in_full_twice();
    let answer = |revision| {
        let request = StateRequest { known: ReadMark { revision, version: 0 } };
        reader.answer(&request, &FixedState(vec![upstream_change("b", 1)]), 30 * MS).unwrap()
    };
    let known = || [upstream_change("a", 1), upstream_change("joined-and-left", 1)].into_iter();
    let changes_for_52 = answer(52).into_changes(known());
    expect_that!(changes_for_52, contains(eq(&upstream_removal("joined-and-left"))));
    expect_that!(
        answer(47).is_full,
        eq(false),
        "at the revision of the first read the difference is complete"
    );
    expect_that!(
        answer(47).into_changes(known()),
        unordered_elements_are![eq(&upstream_change("b", 1)), eq(&upstream_removal("a"))]
    );
}

#[gtest]
fn a_relay_contains_no_difference_of_two_full_reads() {
    let mut reader = read_in_full_twice();
    let relay = reader.relay(30 * MS).unwrap();
    expect_that!((relay.since, relay.changes.len()), eq((56, 0)));
    reader.next(400 * MS);
    reader.receive_watch_response(page(58, vec![upstream_change("c", 1)]), 500 * MS);
    let relay = reader.relay(500 * MS).unwrap();
    expect_that!((relay.since, relay.changes.len()), eq((56, 1)));
}

/// A delta received from another node is also a difference between two states.
#[gtest]
fn a_received_delta_is_not_sent_to_nodes_at_revisions_in_between() {
    let mut node = read_up_to(47);
    let mark = ReadMark { revision: 56, version: 0 };
    let delta = StateReply::new(mark, 0, false, vec![upstream_change("b", 1)], None);
    node.receive_state(delta, [].into_iter(), 10 * MS);
    let answer = |revision| {
        let request = StateRequest { known: ReadMark { revision, version: 0 } };
        node.answer(&request, &FixedState(vec![upstream_change("b", 1)]), 20 * MS).unwrap()
    };
    expect_that!(answer(52).is_full, eq(true));
    expect_that!(answer(47).is_full, eq(false));
}
