//! HTTP/1.1 pipelining: callers that send further requests before the first one is answered.

mod users_platform;

use {
    googletest::prelude::*,
    std::{
        collections::{HashMap, HashSet},
        io::{BufReader, Write},
        net::TcpStream,
        sync::atomic::Ordering,
        thread,
        time::{Duration, Instant},
    },
    users_platform::{
        ConfigurationOptions, HOST, Message, NodeProcess, Options, Store, Upstream, UpstreamBehaviour,
        eventually, read_message, request_head,
    },
};

const ROUTES: [(&str, &str, u64, &str); 2] =
    [("/safe/", "safe", 20_000, "app"), ("/unsafe/", "unsafe", 20_000, "app")];
/// Processing time of upstreams, in milliseconds.
const WORK_MS: u64 = 400;
/// Target latency high enough that no request is late on a slow machine, in milliseconds. When a probe takes
/// longer than the search for an upstream may, admission decides and refuses requests that would be late.
const TARGET_MS: u64 = 20_000;
/// Time after which nothing may run for a caller that has left.
const GONE_TIME: Duration = Duration::from_millis(500);
/// Default maximum number of concurrent requests of one connection.
const MAX_CONCURRENT: usize = 8;

fn configuration_options() -> ConfigurationOptions {
    ConfigurationOptions { target_latency_ms: TARGET_MS, ..ConfigurationOptions::default() }
}

/// Starts a ready node and upstreams that all behave alike.
fn start_with_upstreams(
    behaviour: UpstreamBehaviour,
    upstreams: usize,
) -> (NodeProcess, Store, Vec<Upstream>) {
    let store = Store::start();
    let upstreams: Vec<Upstream> =
        (0..upstreams).map(|number| Upstream::start(&format!("i-{number}"), behaviour)).collect();
    store.configure_with(5, &ROUTES, &configuration_options());
    upstreams.iter().for_each(|upstream| store.list(upstream, "ready", 1));
    let node = NodeProcess::start(&store);
    node.wait_until_ready();
    (node, store, upstreams)
}

/// Starts a ready node with options and one upstream.
fn start_with_options(options: Options, behaviour: UpstreamBehaviour) -> (NodeProcess, Store, Vec<Upstream>) {
    let store = Store::start();
    let upstreams = vec![Upstream::start("i-0", behaviour)];
    store.configure_with(5, &ROUTES, &configuration_options());
    store.list(&upstreams[0], "ready", 1);
    let node = NodeProcess::start_with_options(&store, options);
    node.wait_until_ready();
    (node, store, upstreams)
}

/// Opens a connection and sends all requests at once.
fn send_pipelined(node: &NodeProcess, requests: &[String]) -> (TcpStream, BufReader<TcpStream>) {
    let mut stream = TcpStream::connect(node.traffic_address()).unwrap();
    stream.write_all(requests.concat().as_bytes()).unwrap();
    let reader = BufReader::new(stream.try_clone().unwrap());
    (stream, reader)
}

fn get(number: usize) -> String {
    request_head("GET", &format!("/safe/{number}"), &format!("id-{number}"), 20_000)
}

fn run_count(upstreams: &[Upstream]) -> usize {
    upstreams.iter().map(Upstream::run_count).sum()
}

/// Number of distinct requests that ran; a hedged one counts once.
fn distinct_requests_run(upstreams: &[Upstream]) -> usize {
    let ids = upstreams.iter().flat_map(|upstream| upstream.executed_ids.lock().unwrap().clone());
    ids.collect::<HashSet<String>>().len()
}

/// Maximum number of concurrent requests; a hedged one counts once. Each takes at least the processing time
/// of the upstreams.
fn max_concurrent(upstreams: &[Upstream]) -> usize {
    let arrivals = upstreams.iter().flat_map(|upstream| upstream.arrivals.lock().unwrap().clone());
    let mut first: HashMap<String, Instant> = HashMap::new();
    for (id, at) in arrivals {
        first.entry(id).and_modify(|known| *known = at.min(*known)).or_insert(at);
    }
    let work = Duration::from_millis(WORK_MS);
    let concurrent =
        |at: &Instant| first.values().filter(|other| *other <= at && *at < **other + work).count();
    first.values().map(concurrent).max().unwrap_or_default()
}

fn arrived_at(upstreams: &[Upstream], id: &str) -> Option<Instant> {
    let arrival = |upstream: &Upstream| {
        let arrivals = upstream.arrivals.lock().unwrap();
        arrivals.iter().find(|(arrived, _)| arrived == id).map(|(_, at)| *at)
    };
    upstreams.iter().find_map(arrival)
}

fn expect_responses(
    reader: &mut BufReader<TcpStream>,
    ids: impl IntoIterator<Item = String>,
) -> Vec<Message> {
    let response = |id: String| {
        let response = read_message(reader).unwrap();
        expect_that!(response.header("pointvane-request-id"), some(eq(id.as_str())));
        expect_that!(response.status(), eq(200));
        expect_that!(response.body, eq(b"hello"));
        response
    };
    ids.into_iter().map(response).collect()
}

fn ids(count: usize) -> impl Iterator<Item = String> {
    (0..count).map(|number| format!("id-{number}"))
}

#[gtest]
fn safe_requests_are_forwarded_concurrently_and_answered_in_order() {
    let (node, _store, upstreams) = start_with_upstreams(UpstreamBehaviour::Delayed(WORK_MS), 4);
    let requests: Vec<String> = (0..4).map(get).collect();
    let (_stream, mut reader) = send_pipelined(&node, &requests);
    expect_responses(&mut reader, ids(1));
    expect_that!(distinct_requests_run(&upstreams), eq(4), "all had started when the first was answered");
    expect_responses(&mut reader, ids(4).skip(1));
}

#[gtest]
fn a_long_pipeline_is_answered_completely_with_bounded_concurrency() {
    let (node, _store, upstreams) = start_with_upstreams(UpstreamBehaviour::Delayed(WORK_MS), 6);
    let requests: Vec<String> = (0..40).map(get).collect();
    let (_stream, mut reader) = send_pipelined(&node, &requests);
    expect_responses(&mut reader, ids(40));
    expect_that!(distinct_requests_run(&upstreams), eq(40));
    expect_that!(max_concurrent(&upstreams), le(MAX_CONCURRENT));
}

#[gtest]
fn an_unsafe_request_starts_once_those_before_it_are_answered() {
    let (node, _store, upstreams) = start_with_upstreams(UpstreamBehaviour::Delayed(WORK_MS), 4);
    let unsafe_request = request_head("POST", "/unsafe/a", "id-1", 20_000);
    let (_stream, mut reader) = send_pipelined(&node, &[get(0), unsafe_request, get(2)]);
    expect_responses(&mut reader, ids(3));
    let arrivals: Vec<Instant> = ids(3).map(|id| arrived_at(&upstreams, &id).unwrap()).collect();
    let work = Duration::from_millis(WORK_MS);
    expect_that!(arrivals[1], ge(arrivals[0] + work));
    expect_that!(arrivals[2], ge(arrivals[1] + work));
}

#[gtest]
fn bytes_of_a_body_are_never_parsed_as_a_request() {
    let (node, _store, upstreams) = start_with_upstreams(UpstreamBehaviour::Delayed(WORK_MS), 4);
    let hidden = get(9);
    let start = |id: &str| {
        format!(
            "POST /unsafe/a HTTP/1.1\r\nhost: {HOST}\r\npointvane-request-id: {id}\r\npointvane-deadline-ms: 20000\r\n"
        )
    };
    let length = format!("{}content-length: {}\r\n\r\n{hidden}", start("id-0"), hidden.len());
    let chunks = format!(
        "{}transfer-encoding: chunked\r\n\r\n{:x}\r\n{hidden}\r\n0\r\n\r\n",
        start("id-1"),
        hidden.len()
    );
    let (_stream, mut reader) = send_pipelined(&node, &[length, chunks, get(2), get(3)]);
    expect_responses(&mut reader, ids(4));
    expect_that!(run_count(&upstreams), eq(4));
    expect_that!(arrived_at(&upstreams, "id-9"), none());
}

#[gtest]
fn a_fragmented_head_after_another_request_is_served() {
    let (node, _store, _upstreams) = start_with_upstreams(UpstreamBehaviour::Delayed(WORK_MS), 4);
    let requests = [get(0), get(1)].concat();
    let mut stream = TcpStream::connect(node.traffic_address()).unwrap();
    for piece in requests.as_bytes().chunks(requests.len() / 2 + 30) {
        stream.write_all(piece).unwrap();
        thread::sleep(Duration::from_millis(50));
    }
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    expect_responses(&mut reader, ids(2));
}

#[gtest]
fn a_disconnect_cancels_all_pipelined_requests_at_their_upstreams() {
    let (node, _store, upstreams) = start_with_upstreams(UpstreamBehaviour::Delayed(15_000), 4);
    let requests: Vec<String> = (0..3).map(get).collect();
    let (stream, reader) = send_pipelined(&node, &requests);
    eventually(|| run_count(&upstreams) == 3);
    drop((stream, reader));
    let disconnects =
        || upstreams.iter().map(|upstream| upstream.disconnects.load(Ordering::SeqCst)).sum::<usize>();
    eventually(|| disconnects() == 3);
}

/// Guards against requests that run on for a caller that has left, since the end of its connection is behind
/// requests that are not read while others wait.
#[gtest]
fn a_disconnect_behind_unread_requests_cancels_all_at_their_upstreams() {
    let (node, _store, upstreams) = start_with_upstreams(UpstreamBehaviour::Delayed(15_000), 4);
    let cookie = "c".repeat(6_000);
    let large = |number| get(number).replacen("\r\n\r\n", &format!("\r\ncookie: {cookie}\r\n\r\n"), 1);
    let requests: Vec<String> = (0..8).map(large).collect();
    let (stream, reader) = send_pipelined(&node, &requests);
    eventually(|| run_count(&upstreams) >= 2);
    thread::sleep(Duration::from_millis(300));
    drop((stream, reader));
    thread::sleep(GONE_TIME);
    let disconnects =
        || upstreams.iter().map(|upstream| upstream.disconnects.load(Ordering::SeqCst)).sum::<usize>();
    let (ran, cancelled) = (run_count(&upstreams), disconnects());
    expect_that!(cancelled, eq(ran));
}

#[gtest]
fn a_request_not_yet_read_when_its_caller_disconnects_is_never_sent() {
    let (node, _store, upstreams) = start_with_upstreams(UpstreamBehaviour::Delayed(WORK_MS), 1);
    let unsafe_request = request_head("POST", "/unsafe/a", "id-1", 20_000);
    let (stream, reader) = send_pipelined(&node, &[get(0), unsafe_request]);
    eventually(|| run_count(&upstreams) == 1);
    drop((stream, reader));
    eventually(|| upstreams[0].disconnects.load(Ordering::SeqCst) == 1);
    thread::sleep(Duration::from_millis(2 * WORK_MS));
    expect_that!(arrived_at(&upstreams, "id-1"), none());
}

#[gtest]
fn a_graceful_shutdown_answers_requests_in_flight_and_announces_the_close() {
    let (mut node, _store, upstreams) = start_with_upstreams(UpstreamBehaviour::Delayed(WORK_MS), 4);
    let requests: Vec<String> = (0..3).map(get).collect();
    let (mut stream, mut reader) = send_pipelined(&node, &requests);
    eventually(|| run_count(&upstreams) == 3);
    node.signal("TERM");
    eventually(|| node.ready() == 503);
    // Sent after the last response that the node will give on this connection: it must not run.
    stream.write_all(request_head("POST", "/unsafe/a", "late", 20_000).as_bytes()).unwrap();
    let responses = expect_responses(&mut reader, ids(3));
    let closes: Vec<bool> =
        responses.iter().map(|response| response.header("connection") == Some("close")).collect();
    expect_that!(closes, elements_are![eq(&false), eq(&false), eq(&true)]);
    expect_that!(node.wait_for_exit(), some(eq(0)));
    expect_that!(arrived_at(&upstreams, "late"), none());
}

#[gtest]
fn without_pipelining_a_body_that_arrives_with_its_head_is_read() {
    let options = Options { pipeline_requests: Some(1), ..Options::default() };
    let (node, _store, upstreams) = start_with_options(options, UpstreamBehaviour::Normal);
    for number in 0..3 {
        let unsafe_request = request_head("POST", "/unsafe/a", &format!("id-{number}"), 5_000);
        let response = node.request("POST", "/unsafe/a", &format!("one-{number}"), 5_000).unwrap();
        expect_that!(response.status(), eq(200));
        let (_stream, mut reader) = send_pipelined(&node, &[unsafe_request, get(9), get(8)]);
        for id in [format!("id-{number}"), "id-9".into(), "id-8".into()] {
            expect_responses(&mut reader, [id]);
        }
    }
    expect_that!(upstreams[0].last.lock().unwrap().body, is_empty());
}
