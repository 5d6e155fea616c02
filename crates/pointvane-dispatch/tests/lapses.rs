//! Entries that went while the platform was away: their upstreams may live, and come back.

mod common;

use {
    common::{gone, page, record, told},
    googletest::prelude::*,
    pointvane_core::{Change, ChangePage, Name, UpstreamRecord},
    pointvane_dispatch::{CallFailure, Feed, FeedOptions, Pool, RankingOptions, ReaderRole, Wanted},
};

const MS: u64 = 1_000;

/// A node that has read a platform with some upstreams.
struct Reader {
    feed: Feed,
    pool: Pool,
}

impl Reader {
    fn new(ids: &[&str], now_us: u64) -> Self {
        let mut feed = Feed::new(FeedOptions { start_asks: 0, ..FeedOptions::default() }, 1);
        feed.read(page(5, Vec::new()), [].iter(), now_us);
        let mut pool = Pool::new(RankingOptions::default(), "one".into(), 1);
        ids.iter().for_each(|id| _ = pool.upsert(record(id, 1), now_us));
        feed.hear_peers(ReaderRole::Sentinel, 5, now_us);
        Self { feed, pool }
    }

    /// The platform fails to answer, every half second of a time.
    fn silence(&mut self, from_ms: u64, until_ms: u64) {
        for now_ms in (from_ms..until_ms).step_by(500) {
            self.feed.next(now_ms * MS);
            self.feed.failed(CallFailure::Unavailable, now_ms * MS);
        }
    }

    fn watched(&mut self, page: ChangePage, now_ms: u64) {
        let now_us = now_ms * MS;
        self.feed.next(now_us);
        let changes = self.feed.watched(page, now_us);
        for change in changes {
            match change {
                Change::Upstream(record) => _ = self.pool.upsert(record, now_us),
                Change::UpstreamGone(id) => {
                    _ = self.pool.entry_removed(&id, self.feed.reentry_until_us(), now_us)
                }
                Change::Configuration(_) => {}
            }
        }
    }

    fn usable(&mut self, now_ms: u64) -> usize {
        self.pool.forget_expired(now_ms * MS);
        let wanted = Wanted { tried: &[], body_bytes: 0, count: 9 };
        self.pool.candidates(&"dispatch".into(), &wanted, now_ms * MS).len()
    }
}

#[gtest]
fn upstreams_whose_entries_lapsed_while_the_platform_was_away_stay_in_use_until_they_are_back() {
    let mut reader = Reader::new(&["a", "b"], MS);
    reader.silence(1_000, 5_500);
    reader.watched(page(7, vec![gone("a"), gone("b")]), 5_500);
    expect_that!(reader.usable(5_600), eq(2));
    reader.watched(page(8, vec![told("a", 9)]), 7_000);
    expect_that!(reader.usable(7_600), eq(2));
    expect_that!(reader.usable(7_800), eq(1), "the other is gone");
    expect_that!(reader.usable(20_000), eq(1));
}

#[gtest]
fn without_a_silence_an_upstream_is_gone_at_once() {
    let mut reader = Reader::new(&["a"], MS);
    reader.watched(page(6, Vec::new()), 2_000);
    reader.watched(page(7, vec![gone("a")]), 3_900);
    expect_that!(reader.usable(3_900), eq(0));
}

#[gtest]
fn long_after_a_silence_an_upstream_is_gone_at_once() {
    let mut reader = Reader::new(&["a"], MS);
    reader.silence(1_000, 5_500);
    reader.watched(page(6, Vec::new()), 5_500);
    reader.watched(page(7, vec![gone("a")]), 7_800);
    expect_that!(reader.usable(7_800), eq(0));
}

#[gtest]
fn after_a_silence_towards_this_node_alone_an_upstream_is_gone_at_once() {
    let mut reader = Reader::new(&["a"], MS);
    reader.silence(1_000, 4_000);
    // Peers have read on: the platform was there.
    reader.feed.hear_peers(ReaderRole::Sentinel, 7, 4_000 * MS);
    reader.silence(4_000, 5_500);
    reader.watched(page(7, vec![gone("a")]), 5_500);
    expect_that!(reader.usable(5_500), eq(0));
}

#[gtest]
fn peers_that_read_the_platform_a_little_earlier_after_its_return_change_nothing() {
    let mut reader = Reader::new(&["a"], MS);
    reader.silence(1_000, 5_000);
    reader.feed.hear_peers(ReaderRole::Sentinel, 7, 5_000 * MS);
    reader.watched(page(7, vec![gone("a")]), 5_500);
    expect_that!(reader.usable(5_500), eq(1));
}

#[gtest]
fn one_that_was_draining_is_gone_at_once_whatever_the_platform_did() {
    let mut reader = Reader::new(&["a", "b"], MS);
    reader.pool.upsert(UpstreamRecord { draining: true, ..record("a", 2) }, MS);
    reader.silence(1_000, 5_500);
    reader.watched(page(7, vec![gone("a")]), 5_500);
    let a: Name = "a".into();
    expect_that!(reader.pool.ids().any(|id| *id == a), eq(false));
}

#[gtest]
fn an_upstream_that_lapsed_is_not_told_to_other_nodes() {
    let mut reader = Reader::new(&["a", "b"], MS);
    reader.silence(1_000, 5_500);
    reader.watched(page(7, vec![gone("a")]), 5_500);
    let told: Vec<_> = reader.pool.records().map(|record| record.id.to_string()).collect();
    expect_that!(told, elements_are![eq("b")]);
}
