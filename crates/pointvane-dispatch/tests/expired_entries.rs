//! Tests of entries that expired during a platform outage: their upstreams may be alive and register again.

mod common;

use {
    common::{page, record, upstream_change, upstream_removal},
    googletest::prelude::*,
    pointvane_core::{Change, ChangePage, Name, UpstreamRecord},
    pointvane_dispatch::{
        AllowedRegions, CallFailure, CandidateCriteria, PlatformReader, Pool, RankingOptions, ReaderOptions,
        ReaderRole,
    },
};

const MS: u64 = 1_000;

/// A node that has read a platform with some upstreams.
struct TestNode {
    reader: PlatformReader,
    pool: Pool,
}

impl TestNode {
    fn new(ids: &[&str], now_us: u64) -> Self {
        let mut reader =
            PlatformReader::new(ReaderOptions { start_queries: 0, ..ReaderOptions::default() }, 1);
        reader.receive_page(page(5, Vec::new()), [].into_iter(), now_us);
        let mut pool = Pool::new(RankingOptions::default(), "one".into(), 1);
        ids.iter().for_each(|id| _ = pool.upsert(record(id, 1), now_us));
        reader.compare_with_peers(ReaderRole::Watcher, 5, now_us);
        Self { reader, pool }
    }

    /// Fails a platform call every 500 ms of a period.
    fn fail_calls(&mut self, from_ms: u64, until_ms: u64) {
        for now_ms in (from_ms..until_ms).step_by(500) {
            self.reader.next(now_ms * MS);
            self.reader.call_failed(CallFailure::Unavailable, now_ms * MS);
        }
    }

    fn receive_watch_response(&mut self, page: ChangePage, now_ms: u64) {
        let now_us = now_ms * MS;
        self.reader.next(now_us);
        let changes = self.reader.receive_watch_response(page, now_us);
        for change in changes {
            match change {
                Change::Upstream(record) => _ = self.pool.upsert(record, now_us),
                Change::UpstreamGone(id) => {
                    _ = self.pool.handle_entry_removal(&id, self.reader.grace_until_us(), now_us)
                }
                Change::Evacuation(_) | Change::Configuration(_) | Change::ConfigurationDeltas(_) => {}
            }
        }
    }

    fn usable_upstreams(&mut self, now_ms: u64) -> usize {
        self.pool.remove_expired(now_ms * MS);
        let criteria = CandidateCriteria {
            priority: 0,
            tried: &[],
            body_bytes: 0,
            count: 9,
            regions: &AllowedRegions::ANY,
        };
        self.pool.candidates(&"dispatch".into(), &criteria, now_ms * MS).len()
    }
}

#[gtest]
fn upstreams_whose_entries_expired_in_an_outage_stay_usable_for_the_grace_period() {
    let mut node = TestNode::new(&["a", "b"], MS);
    node.fail_calls(1_000, 5_500);
    node.receive_watch_response(page(7, vec![upstream_removal("a"), upstream_removal("b")]), 5_500);
    expect_that!(node.usable_upstreams(5_600), eq(2));
    node.receive_watch_response(page(8, vec![upstream_change("a", 9)]), 7_000);
    expect_that!(node.usable_upstreams(7_600), eq(2));
    expect_that!(node.usable_upstreams(7_800), eq(1), "the other has expired");
    expect_that!(node.usable_upstreams(20_000), eq(1));
}

#[gtest]
fn without_an_outage_a_removed_upstream_is_dropped_at_once() {
    let mut node = TestNode::new(&["a"], MS);
    node.receive_watch_response(page(6, Vec::new()), 2_000);
    node.receive_watch_response(page(7, vec![upstream_removal("a")]), 3_900);
    expect_that!(node.usable_upstreams(3_900), eq(0));
}

#[gtest]
fn long_after_an_outage_a_removed_upstream_is_dropped_at_once() {
    let mut node = TestNode::new(&["a"], MS);
    node.fail_calls(1_000, 5_500);
    node.receive_watch_response(page(6, Vec::new()), 5_500);
    node.receive_watch_response(page(7, vec![upstream_removal("a")]), 7_800);
    expect_that!(node.usable_upstreams(7_800), eq(0));
}

#[gtest]
fn after_an_outage_local_to_this_node_a_removed_upstream_is_dropped_at_once() {
    let mut node = TestNode::new(&["a"], MS);
    node.fail_calls(1_000, 4_000);
    // Peers have kept reading: the platform was available.
    node.reader.compare_with_peers(ReaderRole::Watcher, 7, 4_000 * MS);
    node.fail_calls(4_000, 5_500);
    node.receive_watch_response(page(7, vec![upstream_removal("a")]), 5_500);
    expect_that!(node.usable_upstreams(5_500), eq(0));
}

#[gtest]
fn peers_that_reconnect_slightly_earlier_do_not_cancel_the_grace_period() {
    let mut node = TestNode::new(&["a"], MS);
    node.fail_calls(1_000, 5_000);
    node.reader.compare_with_peers(ReaderRole::Watcher, 7, 5_000 * MS);
    node.receive_watch_response(page(7, vec![upstream_removal("a")]), 5_500);
    expect_that!(node.usable_upstreams(5_500), eq(1));
}

#[gtest]
fn a_draining_upstream_is_dropped_at_once_after_an_outage() {
    let mut node = TestNode::new(&["a", "b"], MS);
    node.pool.upsert(UpstreamRecord { draining: true, ..record("a", 2) }, MS);
    node.fail_calls(1_000, 5_500);
    node.receive_watch_response(page(7, vec![upstream_removal("a")]), 5_500);
    let a: Name = "a".into();
    expect_that!(node.pool.ids().any(|id| *id == a), eq(false));
}

#[gtest]
fn an_expired_upstream_is_not_sent_to_other_nodes() {
    let mut node = TestNode::new(&["a", "b"], MS);
    node.fail_calls(1_000, 5_500);
    node.receive_watch_response(page(7, vec![upstream_removal("a")]), 5_500);
    let sent: Vec<_> = node.pool.records().map(|record| record.id.to_string()).collect();
    expect_that!(sent, elements_are![eq("b")]);
}

/// Guards against a process that takes its own suspension for a platform outage: after 7 s of suspension a
/// node sent requests for another 2.3 s to upstreams that had been removed meanwhile.
#[gtest]
fn after_a_suspension_of_the_process_a_removed_upstream_is_dropped_at_once() {
    let mut node = TestNode::new(&["a"], MS);
    for now_ms in (100..3_000).step_by(100) {
        node.reader.compare_with_peers(ReaderRole::Watcher, 5, now_ms * MS);
    }
    node.receive_watch_response(page(5, Vec::new()), 2_900);
    // The process is suspended.
    node.reader.compare_with_peers(ReaderRole::Watcher, 7, 10_000 * MS);
    node.receive_watch_response(page(7, vec![upstream_removal("a")]), 10_100);
    expect_that!(node.usable_upstreams(10_200), eq(0));
}
