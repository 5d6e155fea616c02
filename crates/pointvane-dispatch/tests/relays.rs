//! What a node makes of relays that repeat what it holds already.

mod common;

use {
    common::{gone, page, record, told},
    googletest::prelude::*,
    pointvane_core::{Change, Name, UpstreamRecord},
    pointvane_dispatch::{PlatformReader, Pool, RankingOptions, ReaderOptions, ReaderRole, Relay, Wanted},
};

const MS: u64 = 1_000;

/// A reader that has read everything at a revision.
fn read_up_to(revision: u64) -> PlatformReader {
    let mut reader = PlatformReader::new(ReaderOptions::default(), 1);
    reader.page_read(page(revision, Vec::new()), [].into_iter(), MS);
    reader
}

fn sentinel() -> PlatformReader {
    let mut reader = read_up_to(5);
    reader.compare_with_peers(ReaderRole::Watcher, 5, MS);
    reader
}

/// A node that hears relays, and the upstreams it knows.
struct Listener {
    reader: PlatformReader,
    pool: Pool,
}

impl Listener {
    fn new(ids: &[&str]) -> Self {
        let mut pool = Pool::new(RankingOptions::default(), "one".into(), 1);
        ids.iter().for_each(|id| _ = pool.upsert(record(id, 1), MS));
        Self { reader: read_up_to(5), pool }
    }

    fn hear(&mut self, relay: Relay, now_us: u64) {
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
fn an_upstream_that_lapsed_and_came_back_is_not_lost_when_a_later_relay_tells_it_again() {
    let mut sentinel = sentinel();
    let mut listener = Listener::new(&["a"]);
    sentinel.watch_answered(page(7, vec![gone("a"), told("a", 5)]), 10 * MS);
    listener.hear(sentinel.relay(10 * MS).unwrap(), 11 * MS);
    expect_that!(listener.knows("a"), eq(true));
    sentinel.watch_answered(page(8, vec![told("b", 1)]), 400 * MS);
    listener.hear(sentinel.relay(400 * MS).unwrap(), 401 * MS);
    expect_that!(listener.knows("a"), eq(true));
    expect_that!(listener.knows("b"), eq(true));
}

#[gtest]
fn a_relay_tells_only_the_last_word_on_each_upstream() {
    let mut sentinel = sentinel();
    sentinel.watch_answered(page(6, vec![told("a", 1), told("b", 1)]), 10 * MS);
    sentinel.watch_answered(page(8, vec![gone("a"), told("a", 5)]), 400 * MS);
    sentinel.watch_answered(page(9, vec![gone("b")]), 800 * MS);
    let relay = sentinel.relay(800 * MS).unwrap();
    expect_that!(relay.since, eq(5));
    expect_that!(relay.changes, elements_are![eq(&told("a", 5)), eq(&gone("b"))]);
}

#[gtest]
fn a_word_that_is_repeated_tells_nothing_new() {
    let mut pool = Pool::new(RankingOptions::default(), "one".into(), 1);
    let cold = UpstreamRecord { warm_up_left_ms: 3_000, ..record("a", 1) };
    expect_that!(pool.upsert(cold.clone(), 0), eq(true));
    expect_that!(pool.upsert(cold, 2_900 * MS), eq(false));
    let wanted = Wanted { tried: &[], body_bytes: 0, count: 1 };
    let key = pool.candidates(&"dispatch".into(), &wanted, 0)[0];
    expect_that!(pool.cost(key, 3_100 * MS), lt(pool.cost(key, 100 * MS)), "it is warm by then");
}
