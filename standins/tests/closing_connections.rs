//! Closing callers' connections: a response that a node has sent arrives whole, whatever its caller still sends
//! and however slowly it reads.

mod users_platform;

use {
    googletest::prelude::*,
    socket2::{Domain, SockAddr, Socket, Type},
    std::{
        io::{self, BufReader, Read, Write},
        net::TcpStream,
        thread,
        time::{Duration, Instant},
    },
    users_platform::{
        BodyEnd, BodyLength, ConfigurationOptions, HOST, Message, NodeProcess, Options, Store, Upstream,
        UpstreamBehaviour, eventually, read_message, request_head,
    },
};

const ROUTES: [(&str, &str, u64, &str); 3] = [
    ("/safe/", "safe", 20_000, "app"),
    ("/unsafe/", "unsafe", 20_000, "app"),
    ("/upload/", "upload", 20_000, "app"),
];
const DEADLINE_MS: u64 = 20_000;
const UPSTREAMS: usize = 4;
/// Time that upstreams work, in milliseconds: long enough for a caller to send what it sends behind.
const WORK_MS: u64 = 500;
/// Receive buffer of a slow caller, in bytes: the rest of a response waits at the node.
const RECEIVE_BUFFER_BYTES: usize = 32 << 10;
/// Bytes that a caller reads at a time.
const READ_BYTES: usize = 16_384;
/// Rate of a slow caller, in bytes per second (3 Mbit/s).
const SLOW_BYTES_PER_S: usize = 3_000_000 / 8;
/// Grace period that suffices for a slow caller to read a long response, in seconds.
const STOP_GRACE_S: u32 = 8;
/// Longer than a node buffers before it sends the first byte.
const LONG_BYTES: usize = 1_000_000;
/// Shorter than that.
const SHORT_BYTES: usize = 50_000;
/// Longest time that a caller waits for bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(15);

/// A node with upstreams that all behave alike.
struct Scene {
    node: NodeProcess,
    _store: Store,
    upstreams: Vec<Upstream>,
}

impl Scene {
    fn start(behaviour: UpstreamBehaviour) -> Self {
        Self::start_with(behaviour, ConfigurationOptions::default(), STOP_GRACE_S)
    }

    fn start_with(
        behaviour: UpstreamBehaviour,
        configuration: ConfigurationOptions,
        stop_grace_s: u32,
    ) -> Self {
        let store = Store::start();
        let upstreams: Vec<Upstream> =
            (0..UPSTREAMS).map(|number| Upstream::start(&format!("i-{number}"), behaviour)).collect();
        store.configure_with(
            5,
            &ROUTES,
            &ConfigurationOptions { target_latency_ms: DEADLINE_MS, ..configuration },
        );
        upstreams.iter().for_each(|upstream| store.list(upstream, "ready", 1));
        let options = Options { stop_grace_s: Some(stop_grace_s), ..Options::default() };
        let node = NodeProcess::start_with_options(&store, options);
        node.wait_until_ready();
        Self { node, _store: store, upstreams }
    }

    fn run_count(&self) -> usize {
        self.upstreams.iter().map(Upstream::run_count).sum()
    }

    /// Stops the node as planned once `runs` requests run.
    fn stop_during(&self, runs: usize) {
        eventually(|| self.run_count() == runs);
        self.node.signal("TERM");
    }

    /// A caller that reads at a limited rate.
    fn caller(&self, bytes_per_s: usize) -> Caller {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
        socket.connect(&SockAddr::from(self.node.traffic_address())).unwrap();
        let stream = TcpStream::from(socket);
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        let reading = ThrottledReader { stream: stream.try_clone().unwrap(), bytes_per_s };
        Caller { stream, reader: BufReader::with_capacity(READ_BYTES, reading) }
    }
}

/// Reads at a limited rate, as over a slow link.
struct ThrottledReader {
    stream: TcpStream,
    bytes_per_s: usize,
}

impl Read for ThrottledReader {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let length = self.stream.read(buffer)?;
        thread::sleep(Duration::from_secs_f64(length as f64 / self.bytes_per_s as f64));
        Ok(length)
    }
}

/// A caller's connection.
struct Caller {
    stream: TcpStream,
    reader: BufReader<ThrottledReader>,
}

impl Caller {
    fn send(&mut self, bytes: impl AsRef<[u8]>) {
        self.stream.write_all(bytes.as_ref()).unwrap();
    }

    fn read(&mut self) -> io::Result<Message> {
        read_message(&mut self.reader)
    }

    /// Reads a whole response with this id and body length.
    #[track_caller]
    fn expect_response(&mut self, id: &str, body_bytes: usize) -> Message {
        let response = self.read().unwrap_or_else(|error| panic!("{id}: {error}"));
        expect_that!(response.header("pointvane-request-id"), some(eq(id)));
        expect_that!(response.status(), eq(200));
        expect_that!(response.body.len(), eq(body_bytes));
        response
    }

    /// Expects that the node ends the connection without a reset.
    #[track_caller]
    fn expect_end(&mut self) {
        let end = self.reader.read(&mut [0; 1]);
        expect_that!(end.map_err(|error| error.kind()), ok(eq(0)));
    }
}

/// A safe request with a head of some length.
fn safe_request(id: &str, head_bytes: usize) -> String {
    let head = request_head("GET", "/safe/a", id, DEADLINE_MS);
    let padding = "p".repeat(head_bytes.saturating_sub(head.len()));
    head.replacen("\r\n\r\n", &format!("\r\ncookie: {padding}\r\n\r\n"), 1)
}

fn long(length: BodyLength) -> UpstreamBehaviour {
    UpstreamBehaviour::Long { after_ms: WORK_MS, length, end: BodyEnd::Complete }
}

/// Sends an unsafe request and others behind it, stops the node and reads the response at a limited rate.
#[track_caller]
fn expect_delivery_during_stop(length: BodyLength, behind: &[String], bytes_per_s: usize) {
    let scene = Scene::start(long(length));
    let mut caller = scene.caller(bytes_per_s);
    caller.send(request_head("POST", "/unsafe/a", "first", DEADLINE_MS));
    caller.send(behind.concat());
    scene.stop_during(1);
    let (BodyLength::Known(bytes) | BodyLength::Chunked(bytes)) = length;
    let response = caller.expect_response("first", bytes);
    expect_that!(response.header("connection"), some(eq("close")));
    caller.expect_end();
    expect_that!(
        scene.run_count(),
        eq(1),
        "requests behind a response that closes the connection do not run"
    );
}

fn few_large_requests() -> Vec<String> {
    (0..6).map(|number| safe_request(&format!("behind-{number}"), 6_000)).collect()
}

fn many_small_requests() -> Vec<String> {
    (0..200).map(|number| safe_request(&format!("behind-{number}"), 150)).collect()
}

/// Guards against a planned stop that resets a connection on which requests wait unread, so that its caller
/// loses the response that it is reading.
#[gtest]
fn a_planned_stop_delivers_a_long_response_to_a_slow_reader_with_large_requests_behind() {
    expect_delivery_during_stop(BodyLength::Known(LONG_BYTES), &few_large_requests(), SLOW_BYTES_PER_S);
}

/// Guards against the same with many requests in the place of large ones.
#[gtest]
fn a_planned_stop_delivers_a_response_with_many_small_requests_behind() {
    expect_delivery_during_stop(BodyLength::Known(LONG_BYTES), &many_small_requests(), SLOW_BYTES_PER_S);
}

/// Guards against the same with a response of unknown length.
#[gtest]
fn a_planned_stop_delivers_a_response_of_unknown_length() {
    expect_delivery_during_stop(BodyLength::Chunked(LONG_BYTES), &few_large_requests(), SLOW_BYTES_PER_S);
}

/// Guards against the same with a response that is buffered whole.
#[gtest]
fn a_planned_stop_delivers_a_buffered_response() {
    expect_delivery_during_stop(BodyLength::Known(SHORT_BYTES), &few_large_requests(), SLOW_BYTES_PER_S / 10);
}

/// Guards against the same with an upload in service.
#[gtest]
fn a_planned_stop_delivers_the_response_to_an_upload() {
    let scene = Scene::start(long(BodyLength::Known(LONG_BYTES)));
    let mut caller = scene.caller(SLOW_BYTES_PER_S);
    caller.send(upload_head("/upload/a", 1 << 20));
    caller.send(vec![b'u'; 1 << 20]);
    caller.send(few_large_requests().concat());
    scene.stop_during(1);
    caller.expect_response("upload", LONG_BYTES);
    caller.expect_end();
}

/// Guards against the same with safe requests that were forwarded before the first was answered.
#[gtest]
fn a_planned_stop_delivers_the_responses_to_pipelined_requests() {
    let scene = Scene::start(long(BodyLength::Known(200_000)));
    let mut caller = scene.caller(SLOW_BYTES_PER_S);
    caller.send(safe_request("first", 6_000));
    caller.send(few_large_requests().concat());
    eventually(|| scene.run_count() >= 2);
    let started = scene.run_count();
    scene.node.signal("TERM");
    let mut answered = 0;
    loop {
        let response = caller.read().unwrap();
        expect_that!(response.status(), eq(200));
        expect_that!(response.body.len(), eq(200_000));
        answered += 1;
        if response.header("connection") == Some("close") {
            break;
        }
    }
    caller.expect_end();
    // Hedges may run a request twice.
    expect_that!(answered, all!(ge(2), le(started.max(2))));
}

/// Guards against a response that is lost because its caller goes on sending while it reads.
#[gtest]
fn a_planned_stop_delivers_a_response_to_a_caller_that_goes_on_sending() {
    let scene = Scene::start(long(BodyLength::Known(LONG_BYTES)));
    let mut caller = scene.caller(SLOW_BYTES_PER_S);
    caller.send(request_head("POST", "/unsafe/a", "first", DEADLINE_MS));
    scene.stop_during(1);
    let mut sender = caller.stream.try_clone().unwrap();
    let sending = thread::spawn(move || {
        let mut sent = 0;
        while sender.write_all(safe_request("behind", 6_000).as_bytes()).is_ok() {
            sent += 1;
            thread::sleep(Duration::from_millis(20));
        }
        sent
    });
    caller.expect_response("first", LONG_BYTES);
    caller.expect_end();
    drop(caller.reader);
    caller.stream.shutdown(std::net::Shutdown::Both).unwrap();
    expect_that!(sending.join().unwrap(), gt(50));
}

/// Guards against a process that ends with unread requests, which discards what its callers have not read yet.
#[gtest]
fn a_response_that_is_not_read_before_the_process_ends_still_arrives() {
    let scene = Scene::start_with(long(BodyLength::Known(LONG_BYTES)), ConfigurationOptions::default(), 2);
    let mut caller = scene.caller(SLOW_BYTES_PER_S);
    caller.send(request_head("POST", "/unsafe/a", "first", DEADLINE_MS));
    caller.send(few_large_requests().concat());
    scene.stop_during(1);
    caller.expect_response("first", LONG_BYTES);
    let Scene { mut node, .. } = scene;
    expect_that!(node.wait_for_exit(), some(eq(0)));
    let lines = node.log_lines();
    let given_up = lines.lines().find(|line| line.contains("connection-given-up"));
    expect_that!(given_up, some(contains_substring("process-ends")));
    expect_that!(given_up, some(contains_substring("first")));
}

fn upload_head(path: &str, body_bytes: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: {HOST}\r\npointvane-request-id: upload\r\npointvane-deadline-ms: {DEADLINE_MS}\r\ncontent-length: {body_bytes}\r\n\r\n"
    )
}

/// Sends an upload at a limited rate, and reads the response only after all of it.
#[track_caller]
fn expect_refusal_of_upload(path: &str, status: u16, options: ConfigurationOptions) {
    const UPLOAD_BYTES: usize = 6_000_000;
    let scene = Scene::start_with(UpstreamBehaviour::Normal, options, STOP_GRACE_S);
    let mut caller = scene.caller(usize::MAX);
    caller.send(upload_head(path, UPLOAD_BYTES));
    for _ in 0..UPLOAD_BYTES / 50_000 {
        caller.send(vec![b'u'; 50_000]);
        thread::sleep(Duration::from_millis(30));
    }
    let response = caller.read().unwrap();
    expect_that!(response.status(), eq(status));
    caller.expect_end();
}

/// Guards against a connection that is reset while its caller sends an upload that was refused at its head.
#[gtest]
fn an_upload_to_an_unknown_path_is_refused_without_a_reset() {
    expect_refusal_of_upload("/unknown/a", 404, ConfigurationOptions::default());
}

/// Guards against the same with an upload whose length exceeds the limit.
#[gtest]
fn an_upload_that_is_too_large_is_refused_without_a_reset() {
    let options = ConfigurationOptions { body_bytes_max: 5_990_000, ..ConfigurationOptions::default() };
    expect_refusal_of_upload("/upload/a", 413, options);
}

/// Sends a request and then bytes that end the connection, and reads slowly.
#[track_caller]
fn expect_delivery_before(bytes: &[u8], status: u16) {
    let scene = Scene::start(long(BodyLength::Known(LONG_BYTES)));
    let mut caller = scene.caller(SLOW_BYTES_PER_S);
    caller.send(request_head("GET", "/safe/a", "first", DEADLINE_MS));
    caller.send(bytes);
    caller.expect_response("first", LONG_BYTES);
    expect_that!(caller.read().unwrap().status(), eq(status));
    caller.expect_end();
}

/// Guards against a response that is lost because a request behind it cannot be parsed.
#[gtest]
fn a_request_that_cannot_be_parsed_does_not_cost_the_response_before_it() {
    let mut bytes = b"NO REQUEST\r\n\r\n".to_vec();
    bytes.resize(200_000, b'x');
    expect_delivery_before(&bytes, 400);
}

/// Guards against the same with a head that is too large.
#[gtest]
fn a_head_that_is_too_large_does_not_cost_the_response_before_it() {
    expect_delivery_before(safe_request("large", 200_000).as_bytes(), 431);
}

/// Sends a request that closes its connection, bytes behind it, and reads slowly.
#[track_caller]
fn expect_delivery_of_last(request: &str) {
    let scene = Scene::start(long(BodyLength::Known(LONG_BYTES)));
    let mut caller = scene.caller(SLOW_BYTES_PER_S);
    caller.send(request);
    caller.send(few_large_requests().concat());
    caller.expect_response("first", LONG_BYTES);
    caller.expect_end();
}

/// Guards against a response that is lost because its request had `Connection: close` and more bytes follow it.
#[gtest]
fn a_response_to_a_request_with_connection_close_arrives_whole() {
    let head = request_head("GET", "/safe/a", "first", DEADLINE_MS);
    expect_delivery_of_last(&head.replacen("\r\n\r\n", "\r\nconnection: close\r\n\r\n", 1));
}

/// Guards against the same with HTTP/1.0, where each response closes the connection.
#[gtest]
fn a_response_to_http_1_0_arrives_whole() {
    let head = request_head("GET", "/safe/a", "first", DEADLINE_MS);
    expect_delivery_of_last(&head.replacen("HTTP/1.1", "HTTP/1.0", 1));
}

/// Guards against a response that is lost because its connection becomes idle, and is closed, before its caller
/// has read it and sends the next request.
#[gtest]
fn a_connection_that_is_idle_for_too_long_is_closed_without_a_reset() {
    let options = ConfigurationOptions { idle_timeout_ms: 1_000, ..ConfigurationOptions::default() };
    let scene = Scene::start_with(long(BodyLength::Known(LONG_BYTES)), options, STOP_GRACE_S);
    let mut caller = scene.caller(SLOW_BYTES_PER_S);
    caller.send(request_head("GET", "/safe/a", "first", DEADLINE_MS));
    let mut sender = caller.stream.try_clone().unwrap();
    let sending = thread::spawn(move || {
        thread::sleep(Duration::from_millis(WORK_MS + 1_500));
        sender.write_all(safe_request("next", 150).as_bytes())
    });
    caller.expect_response("first", LONG_BYTES);
    caller.expect_end();
    expect_that!(sending.join().unwrap(), ok(anything()));
}

/// Guards against a response that broke off at its upstream and looks complete to a caller that takes the end of
/// the connection for its end.
#[gtest]
fn a_response_that_broke_off_never_looks_complete() {
    for length in [BodyLength::Known(LONG_BYTES), BodyLength::Chunked(LONG_BYTES)] {
        let behaviour = UpstreamBehaviour::Long { after_ms: 0, length, end: BodyEnd::BreaksOff };
        let scene = Scene::start(behaviour);
        for version in ["HTTP/1.1", "HTTP/1.0"] {
            let mut caller = scene.caller(usize::MAX);
            let head = request_head("GET", "/safe/a", "first", DEADLINE_MS);
            caller.send(head.replacen("HTTP/1.1", version, 1));
            let mut bytes = Vec::new();
            let end = caller.reader.read_to_end(&mut bytes);
            let text = String::from_utf8_lossy(&bytes).to_ascii_lowercase();
            let is_delimited = text.contains("content-length: ") || text.contains("transfer-encoding: ");
            expect_that!(is_delimited || end.is_err(), eq(true), "{version}, {length:?}");
            expect_that!(text.ends_with("0\r\n\r\n"), eq(false), "{version}, {length:?}");
        }
    }
}

/// Guards against a caller that sends without end and never reads, which would hold its connection for ever.
#[gtest]
fn a_caller_that_sends_without_end_is_cut_off_at_the_largest_body() {
    const BODY_BYTES_MAX: u64 = 1 << 20;
    let options = ConfigurationOptions { body_bytes_max: BODY_BYTES_MAX, ..ConfigurationOptions::default() };
    let scene = Scene::start_with(UpstreamBehaviour::Normal, options, STOP_GRACE_S);
    let mut caller = scene.caller(usize::MAX);
    caller.send(upload_head("/unknown/a", 1 << 40));
    caller.stream.set_write_timeout(Some(READ_TIMEOUT)).unwrap();
    let until = Instant::now() + READ_TIMEOUT;
    let mut sent = 0;
    while caller.stream.write_all(&[b'u'; 100_000]).is_ok() {
        sent += 100_000;
        assert!(Instant::now() < until, "{sent} bytes sent");
    }
    eventually(|| scene.node.log_lines().contains("too-many-bytes"));
}
