//! Cold upstreams, with a node as a real process: what they say of it is heeded.

mod users_platform;

use {
    googletest::prelude::*,
    std::{thread, time::Duration},
    users_platform::{Manner, NodeProcess, Store, Upstream, eventually},
};

const ROUTES: [(&str, &str, u64, &str); 1] = [("/", "safe", 5_000, "app")];
/// Pause between two requests: longer than a load report counts as fresh, so that both upstreams are candidates.
const PAUSE: Duration = Duration::from_millis(25);
/// Time after its start for which a node sends cold upstreams nothing.
const SETTLES: Duration = Duration::from_millis(1_600);

/// How many of some requests each of two upstreams ran, of which the second says in its answers to probes that it is cold.
fn ran(cold_per_s: f64) -> [usize; 2] {
    let store = Store::start();
    let upstreams =
        [("i-0", Manner::Well), ("i-1", Manner::Cold)].map(|(id, manner)| Upstream::start(id, manner));
    store.configure_cold(5, &ROUTES, cold_per_s);
    upstreams.iter().for_each(|upstream| store.list(upstream, "ready", 1));
    let node = NodeProcess::start(&store);
    node.until_ready();
    thread::sleep(SETTLES);
    eventually(|| {
        upstreams[1].asked.load(std::sync::atomic::Ordering::SeqCst) > 0 || request(&node, "first") != 200
    });
    let before = upstreams.each_ref().map(Upstream::runs);
    for number in 0..60 {
        thread::sleep(PAUSE);
        expect_that!(request(&node, &format!("r-{number}")), eq(200));
    }
    let after = upstreams.each_ref().map(Upstream::runs);
    [after[0] - before[0], after[1] - before[1]]
}

fn request(node: &NodeProcess, id: &str) -> u16 {
    node.request("GET", "/a", id, 2_000).unwrap().status()
}

/// Of the few requests a second that the upstream bears this node's share is one in minutes.
#[gtest]
fn one_that_says_it_is_cold_gets_no_more_than_this_nodes_share() {
    let [warm, cold] = ran(2.0);
    expect_that!(cold, le(1));
    expect_that!(warm + cold, eq(60));
}

#[gtest]
fn one_whose_service_names_no_rate_is_not_limited() {
    let [warm, cold] = ran(0.0);
    expect_that!(warm + cold, eq(60));
}
