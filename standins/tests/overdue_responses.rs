//! Responses that are not complete when the time of their route is over: their connections end, and their upstreams
//! are free again.

mod users_platform;

use {
    googletest::prelude::*,
    std::{
        io::{BufReader, ErrorKind, Read, Write},
        net::TcpStream,
        sync::atomic::Ordering,
        thread,
        time::{Duration, Instant},
    },
    users_platform::{
        BodyEnd, BodyLength, ConfigurationOptions, NodeProcess, Store, Upstream, UpstreamBehaviour,
        eventually, read_message, request_head,
    },
};

/// Time of the routes, in milliseconds.
const TIMEOUT_MS: u64 = 1_500;
/// What a caller waits, in milliseconds: longer.
const DEADLINE_MS: u64 = 20_000;
/// Time after the end of the route's time by which a request must have ended.
const SLACK: Duration = Duration::from_millis(500);
const ROUTES: [(&str, &str, u64, &str); 3] = [
    ("/safe/", "safe", TIMEOUT_MS, "app"),
    ("/unsafe/", "unsafe", TIMEOUT_MS, "app"),
    ("/download/", "download", TIMEOUT_MS, "app"),
];
const UPSTREAMS: usize = 3;
/// More than a node buffers before it sends the first byte.
const LONG_BYTES: usize = 200_000;
/// More than the buffers of the kernel and of the node hold.
const LARGEST_BYTES: usize = 20_000_000;

struct Scene {
    node: NodeProcess,
    _store: Store,
    upstreams: Vec<Upstream>,
}

impl Scene {
    fn start(length: BodyLength, end: BodyEnd) -> Self {
        let behaviour = UpstreamBehaviour::Long { after_ms: 0, length, end };
        let store = Store::start();
        let upstreams: Vec<Upstream> =
            (0..UPSTREAMS).map(|number| Upstream::start(&format!("i-{number}"), behaviour)).collect();
        let options =
            ConfigurationOptions { target_latency_ms: TIMEOUT_MS, ..ConfigurationOptions::default() };
        store.configure_with(5, &ROUTES, &options);
        upstreams.iter().for_each(|upstream| store.list(upstream, "ready", 1));
        let node = NodeProcess::start(&store);
        node.wait_until_ready();
        Self { node, _store: store, upstreams }
    }

    fn send(&self, method: &str, path: &str, version: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.node.traffic_address()).unwrap();
        stream.set_read_timeout(Some(Duration::from_millis(DEADLINE_MS))).unwrap();
        let head = request_head(method, path, "first", DEADLINE_MS).replacen("HTTP/1.1", version, 1);
        stream.write_all(head.as_bytes()).unwrap();
        stream
    }

    fn disconnects(&self) -> usize {
        self.upstreams.iter().map(|upstream| upstream.disconnects.load(Ordering::SeqCst)).sum()
    }

    fn run_count(&self) -> usize {
        self.upstreams.iter().map(Upstream::run_count).sum()
    }
}

/// Checks that a request ended when the time of its route was over.
#[track_caller]
fn expect_ended_in_time(began: Instant) {
    let timeout = Duration::from_millis(TIMEOUT_MS);
    expect_that!(began.elapsed(), all!(ge(timeout), le(timeout + SLACK)));
}

#[track_caller]
fn expect_end_of_hung_response(method: &str, path: &str, length: BodyLength) {
    let scene = Scene::start(length, BodyEnd::Hangs);
    let began = Instant::now();
    let stream = scene.send(method, path, "HTTP/1.1");
    let response = read_message(&mut BufReader::new(stream));
    expect_ended_in_time(began);
    expect_that!(response.map_err(|error| error.kind()), err(not(eq(&ErrorKind::WouldBlock))));
    eventually(|| scene.disconnects() == scene.run_count());
    let is_reported = |line: &str| line.contains("response-incomplete") && line.contains("overdue");
    eventually(|| scene.node.log_lines().lines().any(|line| is_reported(line) && line.contains("first")));
}

/// Guards against a response that an upstream never finishes and that holds its caller and its upstream for ever.
#[gtest]
fn a_response_that_hangs_ends_with_the_time_of_its_route() {
    expect_end_of_hung_response("GET", "/safe/a", BodyLength::Known(LONG_BYTES));
}

/// Guards against the same with a response of unknown length, to a request that may run only once.
#[gtest]
fn a_response_of_unknown_length_that_hangs_ends_with_the_time_of_its_route() {
    expect_end_of_hung_response("POST", "/unsafe/a", BodyLength::Chunked(LONG_BYTES));
}

/// Guards against the same with a download.
#[gtest]
fn a_download_that_hangs_ends_with_the_time_of_its_route() {
    expect_end_of_hung_response("GET", "/download/a", BodyLength::Known(LONG_BYTES));
}

/// Guards against a response that is cut off at its deadline and looks complete to a caller of HTTP/1.0.
#[gtest]
fn a_hung_response_to_http_1_0_does_not_look_complete() {
    let scene = Scene::start(BodyLength::Chunked(LONG_BYTES), BodyEnd::Hangs);
    let began = Instant::now();
    let mut stream = scene.send("GET", "/safe/a", "HTTP/1.0");
    let end = stream.read_to_end(&mut Vec::new());
    expect_ended_in_time(began);
    expect_that!(end.map_err(|error| error.kind()), err(eq(ErrorKind::ConnectionReset)));
}

/// Guards against a caller that does not read and holds an upstream beyond the time of its route.
#[gtest]
fn a_caller_that_does_not_read_holds_no_upstream_beyond_the_time_of_its_route() {
    let scene = Scene::start(BodyLength::Known(LARGEST_BYTES), BodyEnd::Complete);
    let began = Instant::now();
    let _stream = scene.send("GET", "/safe/a", "HTTP/1.1");
    let is_reported = |line: &str| line.contains("response-incomplete") && line.contains("overdue");
    eventually(|| scene.node.log_lines().lines().any(is_reported));
    expect_ended_in_time(began);
}

/// Guards against a deadline that outlives its response and cuts off a later one on the connection.
#[gtest]
fn the_time_of_a_complete_response_does_not_end_later_ones() {
    let scene = Scene::start(BodyLength::Known(LONG_BYTES), BodyEnd::Complete);
    let mut stream = scene.send("GET", "/safe/a", "HTTP/1.1");
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    let step = Duration::from_millis(TIMEOUT_MS / 3);
    for number in 0..6 {
        expect_that!(read_message(&mut reader).unwrap().body.len(), eq(LONG_BYTES));
        thread::sleep(step);
        let head = request_head("GET", "/safe/a", &format!("later-{number}"), DEADLINE_MS);
        stream.write_all(head.as_bytes()).unwrap();
    }
    expect_that!(read_message(&mut reader).unwrap().body.len(), eq(LONG_BYTES));
}

/// Guards against a connection that is cut off since a response had to wait for the one before it until its
/// deadline was over, although nothing of it was sent.
#[gtest]
fn a_pipelined_response_that_waited_beyond_its_deadline_is_replaced_by_an_error() {
    let store = Store::start();
    let slow = Upstream::start("i-slow", UpstreamBehaviour::Delayed(1_000));
    let behaviour = UpstreamBehaviour::Long {
        after_ms: 0,
        length: BodyLength::Known(LONG_BYTES),
        end: BodyEnd::Complete,
    };
    let long = Upstream::start("i-long", behaviour);
    let routes = [("/safe/", "safe", 20_000, "app"), ("/download/", "download", 20_000, "long")];
    let options = ConfigurationOptions { target_latency_ms: DEADLINE_MS, ..ConfigurationOptions::default() };
    store.configure_with(5, &routes, &options);
    store.list(&slow, "ready", 1);
    store.put(
        "servers/i-long",
        &format!(
            r#"{{"address":"{}","info":{{"service":"long","version":"v1","zone":"one","slots":3}},"status":{{"state":"ready","sequence":1,"warmup-left-ms":0}}}}"#,
            long.address
        ),
    );
    let node = NodeProcess::start(&store);
    node.wait_until_ready();
    let mut stream = TcpStream::connect(node.traffic_address()).unwrap();
    let requests = [
        request_head("GET", "/safe/a", "first", DEADLINE_MS),
        request_head("GET", "/download/a", "waiting", 400),
        request_head("GET", "/safe/a", "last", DEADLINE_MS),
    ];
    stream.write_all(requests.concat().as_bytes()).unwrap();
    let mut reader = BufReader::new(stream);
    for (id, status) in [("first", 200), ("waiting", 504), ("last", 200)] {
        let response = read_message(&mut reader).unwrap();
        expect_that!(response.header("pointvane-request-id"), some(eq(id)));
        expect_that!(response.status(), eq(status), "{id}");
    }
}
