//! Upstreams that start again under the identity that they had.
//!
//! An upstream that crashes may come back under its identity: it holds and knows nothing of before, and the count of its entry's updates starts
//! anew. Nodes that took a lower count for an older entry left it out for as long as its former life had lasted, and one that had been
//! draining in its former life for good.

mod users_platform;

use {
    googletest::prelude::*,
    std::{
        thread,
        time::{Duration, Instant},
    },
    users_platform::{Manner, NodeProcess, Store, Upstream, eventually},
};

const ROUTES: [(&str, &str, u64, &str); 1] = [("/safe/", "safe", 5_000, "app")];
/// Time within which an upstream whose entry is known gets work.
const WORK_WITHIN: Duration = Duration::from_secs(1);
/// Time after which an entry that changes nothing would have shown.
const SETTLED: Duration = Duration::from_secs(2);
/// Starts of two lives, in Unix milliseconds.
const FIRST_BORN_MS: u64 = 1_790_000_000_000;
const SECOND_BORN_MS: u64 = 1_790_000_060_000;

/// One upstream and a node that lists nothing else.
struct Site {
    node: NodeProcess,
    store: Store,
    upstream: Upstream,
}

impl Site {
    fn start() -> Self {
        let store = Store::start();
        store.configure(5, &ROUTES);
        let upstream = Upstream::start("i-0", Manner::Well);
        let node = NodeProcess::start(&store);
        Self { node, store, upstream }
    }

    fn list(&self, born_ms: u64, state: &str, sequence: u64) {
        let address = self.upstream.address;
        self.store.put(
            "servers/i-0",
            &format!(
                r#"{{"address":"{address}","born":{born_ms},"info":{{"service":"app","version":"v1","zone":"one","slots":3}},"status":{{"state":"{state}","sequence":{sequence},"warmup-left-ms":0}}}}"#
            ),
        );
    }

    fn is_served(&self) -> bool {
        self.node.request("GET", "/safe/a", "id", 1_000).is_ok_and(|answer| answer.status() == 200)
    }

    fn is_served_within(&self, time: Duration) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if self.is_served() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }
}

#[gtest]
fn an_upstream_that_starts_again_under_its_identity_gets_work_though_its_count_starts_anew() {
    let site = Site::start();
    site.list(FIRST_BORN_MS, "ready", 50);
    site.node.until_ready();
    expect_that!(site.is_served_within(WORK_WITHIN), eq(true));
    site.list(FIRST_BORN_MS, "draining", 51);
    eventually(|| !site.is_served());
    site.list(SECOND_BORN_MS, "ready", 1);
    expect_that!(site.is_served_within(WORK_WITHIN), eq(true));
}

#[gtest]
fn an_upstream_whose_entry_was_gone_gets_work_when_it_starts_again_under_its_identity() {
    let site = Site::start();
    site.list(FIRST_BORN_MS, "ready", 50);
    site.node.until_ready();
    expect_that!(site.is_served_within(WORK_WITHIN), eq(true));
    site.store.remove("servers/i-0");
    eventually(|| !site.is_served());
    site.list(SECOND_BORN_MS, "ready", 1);
    expect_that!(site.is_served_within(WORK_WITHIN), eq(true));
}

#[gtest]
fn a_late_entry_of_a_former_life_changes_nothing() {
    let site = Site::start();
    site.list(SECOND_BORN_MS, "ready", 1);
    site.node.until_ready();
    expect_that!(site.is_served_within(WORK_WITHIN), eq(true));
    site.list(FIRST_BORN_MS, "draining", 99);
    thread::sleep(SETTLED);
    expect_that!(site.is_served(), eq(true));
}
