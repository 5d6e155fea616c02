//! Upstreams that restart under the same identity.
//!
//! An upstream that restarts after a crash has no state, and the sequence number of its entry starts from the
//! beginning. Guards against nodes that take the lower sequence number for an older entry: they ignored such
//! an upstream for as long as its previous incarnation had lasted, and for good if that had been draining.

mod users_platform;

use {
    googletest::prelude::*,
    std::{
        thread,
        time::{Duration, Instant},
    },
    users_platform::{NodeProcess, Store, Upstream, UpstreamBehaviour, eventually},
};

const ROUTES: [(&str, &str, u64, &str); 1] = [("/safe/", "safe", 5_000, "app")];
/// Time within which an upstream gets requests once its entry is listed.
const SERVED_WITHIN: Duration = Duration::from_secs(1);
/// Time after which the effect of an entry, if it had any, would be visible.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// Start times of two incarnations, in Unix milliseconds.
const FIRST_START_MS: u64 = 1_790_000_000_000;
const SECOND_START_MS: u64 = 1_790_000_060_000;

/// A node and its only upstream.
struct Fixture {
    node: NodeProcess,
    store: Store,
    upstream: Upstream,
}

impl Fixture {
    fn start() -> Self {
        let store = Store::start();
        store.configure(5, &ROUTES);
        let upstream = Upstream::start("i-0", UpstreamBehaviour::Normal);
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
        self.node.request("GET", "/safe/a", "id", 1_000).is_ok_and(|response| response.status() == 200)
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
fn a_restarted_upstream_gets_requests_although_its_sequence_number_starts_over() {
    let fixture = Fixture::start();
    fixture.list(FIRST_START_MS, "ready", 50);
    fixture.node.wait_until_ready();
    expect_that!(fixture.is_served_within(SERVED_WITHIN), eq(true));
    fixture.list(FIRST_START_MS, "draining", 51);
    eventually(|| !fixture.is_served());
    fixture.list(SECOND_START_MS, "ready", 1);
    expect_that!(fixture.is_served_within(SERVED_WITHIN), eq(true));
}

#[gtest]
fn a_restarted_upstream_whose_entry_had_been_removed_gets_requests() {
    let fixture = Fixture::start();
    fixture.list(FIRST_START_MS, "ready", 50);
    fixture.node.wait_until_ready();
    expect_that!(fixture.is_served_within(SERVED_WITHIN), eq(true));
    fixture.store.remove("servers/i-0");
    eventually(|| !fixture.is_served());
    fixture.list(SECOND_START_MS, "ready", 1);
    expect_that!(fixture.is_served_within(SERVED_WITHIN), eq(true));
}

#[gtest]
fn a_late_entry_of_a_previous_incarnation_is_ignored() {
    let fixture = Fixture::start();
    fixture.list(SECOND_START_MS, "ready", 1);
    fixture.node.wait_until_ready();
    expect_that!(fixture.is_served_within(SERVED_WITHIN), eq(true));
    fixture.list(FIRST_START_MS, "draining", 99);
    thread::sleep(SETTLE_TIME);
    expect_that!(fixture.is_served(), eq(true));
}
