//! Callers that stop reading for a while: a node does not take them for dead, and does not hold their connections
//! for ever.

mod users_platform;

use {
    googletest::prelude::*,
    socket2::{Domain, SockAddr, Socket, Type},
    std::{
        fs,
        io::{BufReader, Write},
        net::{IpAddr, SocketAddr, TcpStream},
        thread,
        time::Duration,
    },
    users_platform::{
        BodyEnd, BodyLength, ConfigurationOptions, NodeProcess, Store, Upstream, UpstreamBehaviour,
        eventually, read_message, request_head,
    },
};

const ROUTES: [(&str, &str, u64, &str); 2] =
    [("/safe/", "safe", 20_000, "app"), ("/unsafe/", "unsafe", 20_000, "app")];
const DEADLINE_MS: u64 = 20_000;
const UPSTREAMS: usize = 4;
/// Longer than the kernel waits for an acknowledgement on connections to upstreams.
const PAUSE: Duration = Duration::from_millis(4_000);
/// Receive buffer of a caller, in bytes: the rest of a response waits at the node.
const RECEIVE_BUFFER_BYTES: usize = 32 << 10;
/// More than the buffers of the kernel and of the node hold.
const LONG_BYTES: usize = 8_000_000;
/// Longest time that a caller waits for bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(15);
/// Timer of a TCP connection in `/proc/net/tcp` that sends keepalive probes.
const KEEPALIVE_TIMER: &str = "02:";

struct Scene {
    node: NodeProcess,
    _store: Store,
    upstreams: Vec<Upstream>,
}

impl Scene {
    fn start(bytes: usize, options: ConfigurationOptions) -> Self {
        let behaviour =
            UpstreamBehaviour::Long { after_ms: 0, length: BodyLength::Known(bytes), end: BodyEnd::Complete };
        let store = Store::start();
        let upstreams: Vec<Upstream> =
            (0..UPSTREAMS).map(|number| Upstream::start(&format!("i-{number}"), behaviour)).collect();
        let options = ConfigurationOptions { target_latency_ms: DEADLINE_MS, ..options };
        store.configure_with(5, &ROUTES, &options);
        upstreams.iter().for_each(|upstream| store.list(upstream, "ready", 1));
        let node = NodeProcess::start(&store);
        node.wait_until_ready();
        Self { node, _store: store, upstreams }
    }

    fn connect(&self) -> TcpStream {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
        socket.connect(&SockAddr::from(self.node.traffic_address())).unwrap();
        let stream = TcpStream::from(socket);
        stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
        stream
    }
}

/// Sends requests at once, reads nothing for a while, and expects all responses whole.
#[track_caller]
fn expect_responses_after_pause(bytes: usize, requests: &[(&str, &str)]) {
    let scene = Scene::start(bytes, ConfigurationOptions::default());
    let mut stream = scene.connect();
    for (number, (method, path)) in requests.iter().enumerate() {
        let head = request_head(method, path, &format!("id-{number}"), DEADLINE_MS);
        stream.write_all(head.as_bytes()).unwrap();
    }
    let mut peeked = [0; 1];
    stream.peek(&mut peeked).unwrap();
    thread::sleep(PAUSE);
    let mut reader = BufReader::new(stream);
    for number in 0..requests.len() {
        let response = read_message(&mut reader).unwrap_or_else(|error| panic!("id-{number}: {error}"));
        expect_that!(response.header("pointvane-request-id"), some(eq(format!("id-{number}").as_str())));
        expect_that!(response.body.len(), eq(bytes));
    }
}

/// Guards against a caller that pauses while it reads and is taken for dead, so that it loses the response and
/// those of the requests behind.
#[gtest]
fn a_caller_that_pauses_gets_the_whole_response_and_those_behind_it() {
    let requests = [("GET", "/safe/a"), ("GET", "/safe/b"), ("GET", "/safe/c")];
    expect_responses_after_pause(400_000, &requests);
}

/// Guards against the same with a response to a request that may run only once.
#[gtest]
fn a_caller_that_pauses_gets_the_whole_response_to_an_unsafe_request() {
    expect_responses_after_pause(400_000, &[("POST", "/unsafe/a")]);
}

/// Guards against the same with a response that is longer than all buffers.
#[gtest]
fn a_caller_that_pauses_gets_a_response_that_fits_into_no_buffer() {
    expect_responses_after_pause(LONG_BYTES, &[("GET", "/safe/a")]);
}

/// Guards against callers that never read, which would hold a connection and an upstream's for ever.
#[gtest]
fn a_caller_that_never_reads_is_cut_off_after_the_idle_timeout() {
    let options = ConfigurationOptions { idle_timeout_ms: 1_500, ..ConfigurationOptions::default() };
    let scene = Scene::start(LONG_BYTES, options);
    let mut stream = scene.connect();
    let head = request_head("GET", "/safe/a", "stalled", DEADLINE_MS);
    stream.write_all(head.as_bytes()).unwrap();
    eventually(|| scene.upstreams.iter().map(Upstream::run_count).sum::<usize>() > 0);
    thread::sleep(Duration::from_millis(1_000));
    expect_that!(scene.node.log_lines(), not(contains_substring("connection-given-up")));
    let is_given_up = |line: &str| line.contains("connection-given-up") && line.contains("unresponsive");
    eventually(|| scene.node.log_lines().lines().any(is_given_up));
}

/// An address as `/proc/net/tcp` shows it.
fn proc_address(address: SocketAddr) -> String {
    let IpAddr::V4(ip) = address.ip() else { panic!("{address} is not an IPv4 address") };
    format!("{:08X}:{:04X}", u32::from_ne_bytes(ip.octets()), address.port())
}

/// Guards against callers whose machine has failed and which are never found, since nothing is sent to them.
#[gtest]
fn an_idle_connection_of_a_caller_is_probed_by_the_kernel() {
    let scene = Scene::start(100, ConfigurationOptions::default());
    let stream = scene.connect();
    let addresses = [scene.node.traffic_address(), stream.local_addr().unwrap()].map(proc_address);
    let timer = || {
        let connections = fs::read_to_string("/proc/net/tcp").unwrap();
        let fields = |line: &str| line.split_whitespace().map(str::to_owned).collect::<Vec<_>>();
        let of_node = connections.lines().map(fields).find(|fields| fields[1..=2] == addresses);
        of_node.map(|fields| fields[5].clone())
    };
    eventually(|| timer().is_some_and(|timer| timer.starts_with(KEEPALIVE_TIMER)));
}
