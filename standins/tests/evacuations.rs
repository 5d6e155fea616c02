//! Evacuation of a data centre with node processes: which upstreams get requests and what callers are told.

mod users_platform;

use {
    googletest::prelude::*,
    std::{thread, time::Duration},
    users_platform::{NodeProcess, Store, Upstream, UpstreamBehaviour, eventually},
};

/// Requests sent to observe how they are distributed.
const REQUESTS: usize = 40;
/// Interval between two requests: longer than a load report counts as fresh; otherwise the upstream that
/// served the last request would have the only fresh report and get all of them.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// Starts a store with one upstream in each of two data centres.
fn start_store() -> (Store, [Upstream; 2]) {
    let store = Store::start();
    let upstreams = ["i-0", "i-1"].map(|id| Upstream::start(id, UpstreamBehaviour::Normal));
    store.configure(5, &[("/", "safe", 5_000, "app")]);
    store.list_in(&upstreams[0], "one");
    store.list_in(&upstreams[1], "two");
    (store, upstreams)
}

/// Sends requests to a node; returns how many of them each upstream ran, and the status of the last response.
fn send_requests(node: &NodeProcess, upstreams: &[Upstream; 2]) -> ([usize; 2], u16) {
    let before = upstreams.each_ref().map(Upstream::run_count);
    let mut status = 0;
    for number in 0..REQUESTS {
        thread::sleep(REQUEST_INTERVAL);
        status = node.request("GET", "/a", &format!("r-{number}"), 2_000).unwrap().status();
    }
    let after = upstreams.each_ref().map(Upstream::run_count);
    ([after[0] - before[0], after[1] - before[1]], status)
}

#[gtest]
fn an_evacuated_data_centre_gets_no_requests_from_any_node_until_the_evacuation_ends() {
    let (store, upstreams) = start_store();
    let node = NodeProcess::start(&store);
    node.wait_until_ready();
    eventually(|| send_requests(&node, &upstreams).0[0] > 0);
    store.evacuate("one");
    eventually(|| send_requests(&node, &upstreams).0[0] == 0);
    let late_node = NodeProcess::start_in(&store, &[node.ip]);
    late_node.wait_until_ready();
    expect_that!(
        send_requests(&late_node, &upstreams),
        eq(([0, REQUESTS], 200)),
        "a node that starts during the evacuation"
    );
    expect_that!(send_requests(&node, &upstreams), eq(([0, REQUESTS], 200)));
    store.end_evacuation("one");
    eventually(|| send_requests(&node, &upstreams).0[0] > 0);
    eventually(|| send_requests(&late_node, &upstreams).0[0] > 0);
}

#[gtest]
fn requests_are_refused_at_once_when_all_data_centres_are_evacuated() {
    let (store, upstreams) = start_store();
    let node = NodeProcess::start(&store);
    node.wait_until_ready();
    store.evacuate("one");
    store.evacuate("two");
    eventually(|| send_requests(&node, &upstreams) == ([0, 0], 503));
    let response = node.request("GET", "/a", "last", 2_000).unwrap();
    expect_that!(response.body, eq(b"evacuated\n"));
    expect_that!(response.header("retry-after"), some(eq("1.000")));
    expect_that!(node.log_lines(), contains_substring("evacuation-changed"));
}
