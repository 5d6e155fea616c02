//! Upstreams that stop reading an upload for a while, and callers that do so behind a second node: no node takes them
//! for dead.

mod partitioned_fleet;
#[path = "soak/proxy.rs"]
#[allow(dead_code)]
mod proxy;
mod users_platform;

use {
    googletest::prelude::*,
    partitioned_fleet::Fleet,
    proxy::Partition,
    std::{
        io::{BufReader, Write},
        net::{SocketAddr, TcpStream},
        thread,
        time::Duration,
    },
    users_platform::{
        BodyEnd, BodyLength, ConfigurationOptions, HOST, Message, NodeProcess, Options, RespondTime, Store,
        Upstream, UpstreamBehaviour, eventually, read_message, request_head,
    },
};

const ROUTES: [(&str, &str, u64, &str); 2] =
    [("/safe/", "safe", 20_000, "app"), ("/unsafe/", "unsafe", 20_000, "app")];
const DEADLINE_MS: u64 = 20_000;
/// Longer than the kernel waits for an acknowledgement on connections to upstreams.
const PAUSE_MS: u64 = 4_000;
/// Time from the signal to stop to the end of the process at the latest: long enough for the pause.
const STOP_GRACE_S: u32 = 8;
/// A body that the node buffers whole, in bytes, and that no receive buffer holds.
const BUFFERED_BYTES: usize = 450_000;
/// A body that the node streams, in bytes, and that the buffers of no connection hold.
const STREAMED_BYTES: usize = 16_000_000;
/// Longest time that a caller waits for bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(15);

/// A node with one upstream.
struct Scene {
    node: NodeProcess,
    _store: Store,
    upstream: Upstream,
}

impl Scene {
    fn start(behaviour: UpstreamBehaviour) -> Self {
        let store = Store::start();
        let upstream = Upstream::start("i-0", behaviour);
        store.configure_with(5, &ROUTES, &configuration_options());
        store.list(&upstream, "ready", 1);
        let options = Options { stop_grace_s: Some(STOP_GRACE_S), ..Options::default() };
        let node = NodeProcess::start_with_options(&store, options);
        node.wait_until_ready();
        Self { node, _store: store, upstream }
    }
}

fn configuration_options() -> ConfigurationOptions {
    ConfigurationOptions { target_latency_ms: DEADLINE_MS, ..ConfigurationOptions::default() }
}

/// Sends an upload; its connection stays open until the caller drops it.
fn send_upload(node: SocketAddr, bytes: usize) -> TcpStream {
    let mut stream = TcpStream::connect(node).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let head = format!(
        "POST /unsafe/a HTTP/1.1\r\nhost: {HOST}\r\npointvane-request-id: upload\r\npointvane-deadline-ms: {DEADLINE_MS}\r\ncontent-length: {bytes}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).unwrap();
    stream.write_all(&vec![b'x'; bytes]).unwrap();
    stream
}

fn read_response(stream: &TcpStream) -> Message {
    read_message(&mut BufReader::new(stream)).unwrap()
}

fn last_body_bytes(upstream: &Upstream) -> usize {
    upstream.last.lock().unwrap().body.len()
}

/// Sends an upload to an upstream that pauses, and expects that it arrives whole and is answered.
#[track_caller]
fn expect_whole_upload(bytes: usize, respond: RespondTime) {
    let behaviour = UpstreamBehaviour::PauseReading { pause_ms: PAUSE_MS, respond };
    let scene = Scene::start(behaviour);
    let stream = send_upload(scene.node.traffic_address(), bytes);
    expect_that!(read_response(&stream).status(), eq(200));
    eventually(|| last_body_bytes(&scene.upstream) == bytes);
}

/// Guards against an upstream that pauses while it reads an upload and is taken for dead, so that its caller gets an
/// error for a request that runs.
#[gtest]
fn an_upload_is_answered_although_its_upstream_pauses_while_it_reads() {
    expect_whole_upload(BUFFERED_BYTES, RespondTime::AfterBody);
}

/// Guards against the same with an upload that is streamed.
#[gtest]
fn a_streamed_upload_is_answered_although_its_upstream_pauses_while_it_reads() {
    expect_whole_upload(STREAMED_BYTES, RespondTime::AfterBody);
}

/// Guards against an upload that was answered early and loses its rest when its upstream pauses.
#[gtest]
fn an_upload_that_was_answered_early_arrives_whole_although_its_upstream_pauses() {
    expect_whole_upload(BUFFERED_BYTES, RespondTime::BeforeBody);
}

/// Guards against the same with an upload that is streamed.
#[gtest]
fn a_streamed_upload_that_was_answered_early_arrives_whole_although_its_upstream_pauses() {
    expect_whole_upload(STREAMED_BYTES, RespondTime::BeforeBody);
}

/// Guards against uploads in progress that are broken off at a planned stop because their upstream pauses.
#[gtest]
fn an_upload_to_an_upstream_that_pauses_is_answered_during_a_planned_stop() {
    let behaviour = UpstreamBehaviour::PauseReading { pause_ms: PAUSE_MS, respond: RespondTime::AfterBody };
    let scene = Scene::start(behaviour);
    let stream = send_upload(scene.node.traffic_address(), BUFFERED_BYTES);
    thread::sleep(Duration::from_millis(300));
    scene.node.signal("TERM");
    expect_that!(read_response(&stream).status(), eq(200));
}

fn accepts_new_configuration(line: &str) -> bool {
    line.contains("\"configuration-accepted\"") && line.contains("\"revision\":6")
}

/// A fleet whose first node is cut off from all upstreams and knows it, with time for long requests.
fn fleet_with_a_cut_off_node(behaviour: UpstreamBehaviour) -> Fleet {
    let fleet = Fleet::start(2, 3);
    fleet.partition(1, Partition::Silent);
    eventually(|| {
        _ = fleet.nodes[0].request("GET", "/safe/a", "first", 500);
        fleet.nodes[0].log_lines().contains("\"service-lost\"")
    });
    fleet.store.configure_with(6, &ROUTES, &configuration_options());
    fleet.upstreams.iter().for_each(|upstream| upstream.set_behaviour(behaviour));
    for node in &fleet.nodes {
        eventually(|| node.log_lines().lines().any(accepts_new_configuration));
    }
    fleet
}

/// Guards against a second node that takes the first one for dead while their caller pauses.
#[gtest]
fn a_caller_that_pauses_gets_a_whole_response_through_a_second_node() {
    let behaviour = UpstreamBehaviour::Long {
        after_ms: 0,
        length: BodyLength::Known(STREAMED_BYTES),
        end: BodyEnd::Complete,
    };
    let fleet = fleet_with_a_cut_off_node(behaviour);
    let mut stream = TcpStream::connect(fleet.nodes[0].traffic_address()).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    stream.write_all(request_head("GET", "/safe/a", "paused", DEADLINE_MS).as_bytes()).unwrap();
    stream.peek(&mut [0; 1]).unwrap();
    thread::sleep(Duration::from_millis(PAUSE_MS));
    expect_that!(read_response(&stream).body.len(), eq(STREAMED_BYTES));
}

/// Guards against a first node that takes the second one for dead while their upstream pauses.
#[gtest]
fn an_upload_through_a_second_node_is_answered_although_its_upstream_pauses() {
    let behaviour = UpstreamBehaviour::PauseReading { pause_ms: PAUSE_MS, respond: RespondTime::AfterBody };
    let fleet = fleet_with_a_cut_off_node(behaviour);
    let stream = send_upload(fleet.nodes[0].traffic_address(), STREAMED_BYTES);
    expect_that!(read_response(&stream).status(), eq(200));
    expect_that!(fleet.upstreams.iter().any(|one| last_body_bytes(one) == STREAMED_BYTES), eq(true));
}
