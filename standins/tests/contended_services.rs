//! Nodes exchange what they know of services whose upstreams have too little room.

mod users_platform;

use {
    googletest::prelude::*,
    serde_json::Value,
    std::{
        net::SocketAddr,
        thread,
        time::{Duration, Instant},
    },
    users_platform::{NodeProcess, Store, Upstream, UpstreamBehaviour, call, eventually},
};

const NODE_OPERATOR_PORT: u16 = 9_464;
/// Time after a change within which all nodes must know: 1 s by the design, and as much again for a busy
/// machine.
const KNOWN_WITHIN: Duration = Duration::from_secs(2);
/// Interval between two requests of the caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

fn get(node: &NodeProcess, path: &str) -> String {
    let head = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    let address = SocketAddr::from((node.ip, NODE_OPERATOR_PORT));
    String::from_utf8(call(address, &head).unwrap().body).unwrap()
}

/// Whether a node counts the service as contended.
fn is_contended(node: &NodeProcess) -> bool {
    let status: Value = serde_json::from_str(&get(node, "/status")).unwrap();
    let contended = status["contended_services"].as_array().unwrap();
    contended.iter().any(|row| row["service"] == "app")
}

/// Sends requests to the first node until all nodes pass a check; returns whether they did within
/// [`KNOWN_WITHIN`].
fn send_until(nodes: &[NodeProcess], check: impl Fn(&NodeProcess) -> bool) -> bool {
    let until = Instant::now() + KNOWN_WITHIN;
    for number in 0.. {
        _ = nodes[0].request("GET", "/safe/a", &format!("r-{number}"), 500);
        if nodes.iter().all(&check) {
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
        thread::sleep(REQUEST_INTERVAL);
    }
    unreachable!("the numbers do not end")
}

#[gtest]
fn nodes_without_requests_know_of_a_contended_service_and_of_its_end() {
    let store = Store::start();
    store.configure(5, &[("/safe/", "safe", 5_000, "app")]);
    let upstreams: Vec<Upstream> =
        (0..3).map(|number| Upstream::start(&format!("i-{number}"), UpstreamBehaviour::Normal)).collect();
    upstreams.iter().for_each(|upstream| store.list(upstream, "ready", 1));
    let mut nodes = vec![NodeProcess::start(&store)];
    let seeds = [nodes[0].ip];
    nodes.extend((1..4).map(|_| NodeProcess::start_in(&store, &seeds)));
    nodes.iter().for_each(NodeProcess::wait_until_ready);
    eventually(|| nodes.iter().all(|node| node.directory().matches(":8144").count() == 4));
    expect_that!(send_until(&nodes, |node| !is_contended(node)), eq(true), "calm at first");
    upstreams.iter().for_each(|upstream| upstream.set_behaviour(UpstreamBehaviour::ReportFull));
    expect_that!(send_until(&nodes, is_contended), eq(true), "known to all nodes");
    upstreams.iter().for_each(|upstream| upstream.set_behaviour(UpstreamBehaviour::Normal));
    expect_that!(send_until(&nodes, |node| !is_contended(node)), eq(true), "over for all nodes");
    eventually(|| nodes.iter().all(|node| node.log_lines().matches("contention-changed").count() >= 2));
    let received = get(&nodes[1], "/metrics");
    expect_that!(
        received,
        contains_substring(r#"pointvane_node_contention_datagrams_total{direction="received""#)
    );
}
