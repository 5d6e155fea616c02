//! Upstreams that report in their probe responses that they are cold, with a node process: their request rate
//! is limited.

mod users_platform;

use {
    googletest::prelude::*,
    std::{thread, time::Duration},
    users_platform::{NodeProcess, Store, Upstream, UpstreamBehaviour, eventually},
};

const ROUTES: [(&str, &str, u64, &str); 1] = [("/", "safe", 5_000, "app")];
/// Interval between two requests: longer than a load report counts as fresh, so that both upstreams are
/// candidates.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);
/// Time after its start during which a node sends nothing to cold upstreams.
const STARTUP_HOLD: Duration = Duration::from_millis(1_600);

/// Sends 60 requests to two upstreams, of which the second reports in its probe responses that it is cold, and
/// returns how many each of them ran.
fn run_counts(cold_per_s: f64) -> [usize; 2] {
    let store = Store::start();
    let upstreams = [("i-0", UpstreamBehaviour::Normal), ("i-1", UpstreamBehaviour::Cold)]
        .map(|(id, behaviour)| Upstream::start(id, behaviour));
    store.configure_cold(5, &ROUTES, cold_per_s);
    upstreams.iter().for_each(|upstream| store.list(upstream, "ready", 1));
    let node = NodeProcess::start(&store);
    node.wait_until_ready();
    thread::sleep(STARTUP_HOLD);
    eventually(|| {
        upstreams[1].health_probes.load(std::sync::atomic::Ordering::SeqCst) > 0
            || request(&node, "first") != 200
    });
    let before = upstreams.each_ref().map(Upstream::run_count);
    for number in 0..60 {
        thread::sleep(REQUEST_INTERVAL);
        expect_that!(request(&node, &format!("r-{number}")), eq(200));
    }
    let after = upstreams.each_ref().map(Upstream::run_count);
    [after[0] - before[0], after[1] - before[1]]
}

fn request(node: &NodeProcess, id: &str) -> u16 {
    node.request("GET", "/a", id, 2_000).unwrap().status()
}

/// The upstream takes only a few requests a second, of which this node's share is one in several minutes.
#[gtest]
fn a_cold_upstream_gets_no_more_than_this_nodes_share() {
    let [warm, cold] = run_counts(2.0);
    expect_that!(cold, le(1));
    expect_that!(warm + cold, eq(60));
}

#[gtest]
fn a_cold_upstream_of_a_service_without_a_rate_is_not_limited() {
    let [warm, cold] = run_counts(0.0);
    expect_that!(warm + cold, eq(60));
}
