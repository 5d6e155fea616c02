//! Requests that a node forwards to another one, since it reaches no upstream itself.

mod partitioned_fleet;
#[path = "soak/proxy.rs"]
#[allow(dead_code)]
mod proxy;
mod users_platform;

use {
    googletest::prelude::*,
    partitioned_fleet::{Fleet, ROUTES},
    proxy::Partition,
    socket2::{Domain, Socket, Type},
    std::{
        io::{BufReader, Read, Write},
        net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpStream},
        sync::atomic::Ordering,
        thread,
        time::Duration,
    },
    users_platform::{
        Account, ConfigurationOptions, HOST, Message, UpstreamBehaviour, call, eventually, read_message,
        request_head,
    },
};

const FORWARD_PORT: u16 = 7_665;
const OPERATOR_PORT: u16 = 9_464;
const DEADLINE_MS: u64 = 2_000;
/// Longer than a node buffers, so that it is streamed.
const LARGE_BODY_BYTES: usize = 2 << 20;

/// A fleet whose first node is cut off and knows it.
fn fleet_with_a_cut_off_node(nodes: usize) -> Fleet {
    let fleet = Fleet::start(nodes, 3);
    fleet.partition(1, Partition::Silent);
    eventually(|| {
        _ = fleet.nodes[0].request("GET", "/safe/a", "first", 500);
        fleet.nodes[0].log_lines().contains("\"service-lost\"")
    });
    fleet
}

/// Opens a connection from a chosen address.
fn connect_from(source: Ipv4Addr, to: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.bind(&SocketAddr::new(IpAddr::V4(source), 0).into()).unwrap();
    socket.connect(&to.into()).unwrap();
    socket.into()
}

/// Sends a forwarded request to the second node as if from the first one.
fn forward(fleet: &Fleet, path: &str, id: &str, forwarded: &str) -> Message {
    let mut stream = connect_from(fleet.nodes[0].ip, (fleet.nodes[1].ip, FORWARD_PORT).into());
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let head = request_head("GET", path, id, DEADLINE_MS);
    let head = head.replacen("\r\n", &format!("\r\npointvane-forwarded: {forwarded}\r\n"), 1);
    stream.write_all(head.as_bytes()).unwrap();
    read_message(&mut BufReader::new(stream)).unwrap()
}

fn metrics(node: Ipv4Addr) -> String {
    let head = "GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    String::from_utf8(call((node, OPERATOR_PORT).into(), head).unwrap().body).unwrap()
}

#[gtest]
fn a_forwarded_request_is_cancelled_at_its_upstream_when_its_caller_disconnects() {
    let fleet = fleet_with_a_cut_off_node(2);
    for upstream in &fleet.upstreams {
        upstream.set_behaviour(UpstreamBehaviour::Delayed(5_000));
    }
    let arrived = || fleet.runs().iter().any(|id| id == "left");
    let mut stream = TcpStream::connect(fleet.nodes[0].traffic_address()).unwrap();
    stream.write_all(request_head("GET", "/safe/a", "left", 4_000).as_bytes()).unwrap();
    eventually(arrived);
    stream.shutdown(Shutdown::Both).unwrap();
    drop(stream);
    eventually(|| fleet.upstreams.iter().any(|one| one.disconnects.load(Ordering::SeqCst) > 0));
}

#[gtest]
fn the_quota_of_an_account_is_charged_by_the_first_node_alone() {
    let fleet = Fleet::start(2, 3);
    let account = Account { name: "one", keys: vec!["key-1"], rate_per_s: 1_000.0, burst: 1_000 };
    let options = ConfigurationOptions { accounts: Some(vec![account]), ..ConfigurationOptions::default() };
    fleet.store.configure_with(6, &ROUTES, &options);
    fleet.partition(1, Partition::Silent);
    let send = |id: &str| {
        let head = request_head("GET", "/safe/a", id, DEADLINE_MS);
        let head = head.replacen("\r\n", "\r\nauthorization: Bearer key-1\r\n", 1);
        call(fleet.nodes[0].traffic_address(), &head).unwrap().status()
    };
    eventually(|| send("first") == 200);
    expect_that!(send("second"), eq(200));
    expect_that!(metrics(fleet.nodes[0].ip), contains_substring("pointvane_node_quota_decisions"));
    expect_that!(metrics(fleet.nodes[1].ip), not(contains_substring("pointvane_node_quota_decisions")));
    let without_key = fleet.nodes[0].request("GET", "/safe/a", "third", DEADLINE_MS).unwrap();
    expect_that!(without_key.status(), eq(401));
}

#[gtest]
fn nobody_but_nodes_may_forward_requests() {
    let fleet = Fleet::start(2, 3);
    let stranger = Ipv4Addr::new(127, 0, 0, 1);
    let mut stream = connect_from(stranger, (fleet.nodes[1].ip, FORWARD_PORT).into());
    let head = request_head("GET", "/safe/a", "stranger", DEADLINE_MS);
    _ = stream.write_all(head.replacen("\r\n", "\r\npointvane-forwarded: 5 1 app\r\n", 1).as_bytes());
    let mut answer = Vec::new();
    _ = stream.read_to_end(&mut answer);
    expect_that!(answer, is_empty());
    expect_that!(fleet.runs(), not(contains(eq("stranger"))));
    eventually(|| fleet.nodes[1].log_lines().contains("\"peer-connection-refused\""));
}

#[gtest]
fn a_second_node_checks_configuration_evacuations_and_input_of_its_own() {
    let fleet = Fleet::start(2, 3);
    let answer = forward(&fleet, "/safe/a", "good", "5 1 app");
    expect_that!(answer.status(), eq(200));
    expect_that!(answer.header("pointvane-version"), some(eq("5")));
    expect_that!(answer.header("pointvane-refused"), none());
    let refused = |id: &str, path: &str, forwarded: &str, status: u16, error: &str| {
        let answer = forward(&fleet, path, id, forwarded);
        expect_that!(answer.status(), eq(status), "{id}");
        expect_that!(answer.header("pointvane-refused"), some(eq(error)), "{id}");
    };
    refused("newer", "/safe/a", "6 1 app", 503, "not-ready");
    refused("no-route", "/none/", "5 1 app", 404, "no-such-service");
    refused("malformed", "/safe/a", "rubbish", 400, "bad-request");
    fleet.store.evacuate("one");
    eventually(|| fleet.nodes[1].request("GET", "/safe/a", "x", 500).unwrap().status() == 503);
    refused("evacuated", "/safe/a", "5 1 app", 503, "evacuated");
    let ran = fleet.runs();
    for id in ["newer", "no-route", "malformed", "evacuated"] {
        expect_that!(ran.iter().any(|one| one == id), eq(false), "{id}");
    }
}

#[gtest]
fn a_large_body_is_streamed_through_both_nodes() {
    let fleet = fleet_with_a_cut_off_node(2);
    let mut stream = TcpStream::connect(fleet.nodes[0].traffic_address()).unwrap();
    let head = format!(
        "POST /unsafe/a HTTP/1.1\r\nhost: {HOST}\r\npointvane-request-id: large\r\npointvane-deadline-ms: 8000\r\ncontent-length: {LARGE_BODY_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(&vec![b'x'; LARGE_BODY_BYTES]).unwrap();
    let answer = read_message(&mut BufReader::new(stream)).unwrap();
    expect_that!(answer.status(), eq(200));
    let ran = fleet.upstreams.iter().find(|one| one.last.lock().unwrap().body.len() == LARGE_BODY_BYTES);
    expect_that!(ran.is_some(), eq(true));
}

#[gtest]
fn callers_are_served_although_a_node_that_requests_are_forwarded_to_freezes() {
    let fleet = fleet_with_a_cut_off_node(3);
    fleet.nodes[1].signal("STOP");
    thread::sleep(Duration::from_secs(3));
    let statuses: Vec<u16> = (0..30)
        .map(|number| {
            let answer =
                fleet.nodes[0].request("POST", "/unsafe/a", &format!("frozen-{number}"), DEADLINE_MS);
            answer.map_or(0, |answer| answer.status())
        })
        .collect();
    fleet.nodes[1].signal("CONT");
    expect_that!(statuses, each(eq(&200)));
}

#[gtest]
fn both_nodes_log_a_forwarded_request_under_its_id() {
    let fleet = fleet_with_a_cut_off_node(2);
    fleet.upstreams.iter().for_each(|one| one.set_behaviour(UpstreamBehaviour::LoseResponse));
    _ = fleet.nodes[0].request("POST", "/unsafe/a", "both-logs", DEADLINE_MS);
    for node in &fleet.nodes {
        eventually(|| node.log_lines().lines().any(|line| line.contains("\"request\":\"both-logs\"")));
    }
}
