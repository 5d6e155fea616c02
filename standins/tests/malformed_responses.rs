//! Malformed responses of upstreams, at a node: whatever an upstream sends, its caller gets the whole response,
//! an error, or a response that is visibly cut off.

#[path = "malformed_responses/caller.rs"]
mod caller;
#[path = "malformed_responses/expect.rs"]
mod expect;
#[path = "malformed_responses/table.rs"]
mod table;
mod users_platform;

use {
    caller::{CallerVersion, Delivery, Request, deliver},
    expect::{expect_allowed, expect_bodiless, expect_in_order},
    googletest::prelude::*,
    pointvane_standins::raw_upstream::{RawResponse, RawUpstream},
    std::{
        net::SocketAddr,
        thread,
        time::{Duration, Instant},
    },
    table::{
        Row, Seen, bodiless, broken_off, crashed, early, last_of_its_upstream, refused, rows, to_head, whole,
        without_end,
    },
    users_platform::{
        ConfigurationOptions, HOST, Log, NodeProcess, Options, Store, call, eventually, unique_address,
    },
};

/// Shorter than a node buffers before it sends the first byte.
const SHORT_BYTES: usize = 20_000;
/// Longer than that.
const LONG_BYTES: usize = 200_000;
const DEADLINE_MS: u64 = 4_000;
const OPERATOR_PORT: u16 = 9_464;
/// Rounds of callers at once.
const ROUNDS: usize = 40;
/// Time within which a response without end must be refused: far below the deadline.
const REFUSED_WITHIN: Duration = Duration::from_millis(1_500);
/// Rows that are sent in response to hedges, one of each part of the table.
const HEDGED_ROWS: [&str; 5] =
    ["unknown-coding", "two-different-lengths", "stops-in-header", "length-closed", "until-close-reset"];
/// Target latency of a route whose requests are hedged, in milliseconds.
const HEDGED_TARGET_MS: u64 = 200;
/// Time that the first attempt of a hedged request takes: after twice the target latency, a hedge goes to any upstream.
const HEDGED_WORK: Duration = Duration::from_millis(1_000);
/// Requests that give the budget for a hedge.
const HEDGE_BUDGET_REQUESTS: usize = 10;
/// Bytes that may be taken of a response without end, in user space and in the buffers of the kernel.
const TAKEN_BYTES_MAX: u64 = 8 << 20;

/// A node with a service of one upstream for each row.
struct Scene {
    node: NodeProcess,
    store: Store,
    upstreams: Vec<RawUpstream>,
}

impl Scene {
    fn start(rows: &[Row], kind: &str) -> Self {
        let store = Store::start();
        let paths: Vec<String> = rows.iter().map(|row| format!("/{}/", row.name)).collect();
        let routes: Vec<(&str, &str, u64, &str)> =
            paths.iter().zip(rows).map(|(path, row)| (path.as_str(), kind, DEADLINE_MS, row.name)).collect();
        let options =
            ConfigurationOptions { target_latency_ms: DEADLINE_MS, ..ConfigurationOptions::default() };
        store.configure_with(5, &routes, &options);
        let upstreams =
            rows.iter().map(|row| start_upstream(&store, row.name, row.response.clone())).collect();
        let node = NodeProcess::start_with_options(&store, Options { all_lines: true, ..Options::default() });
        node.wait_until_ready();
        Self { node, store, upstreams }
    }

    /// Has the entry of a row's upstream say that it is draining.
    fn drain(&self, row: &Row) {
        list_upstream(
            &self.store,
            &format!("i-{}", row.name),
            row.name,
            self.upstreams[0].address,
            "draining",
        );
    }

    /// Removes the entry of a row's upstream.
    fn remove(&self, row: &Row) {
        self.store.remove(&format!("servers/i-{}", row.name));
    }

    fn request(&self, row: &Row, id: &str) -> Request {
        Request::new(HOST, &format!("/{}/a", row.name))
            .header("pointvane-request-id", id)
            .header("pointvane-deadline-ms", DEADLINE_MS)
    }

    /// Sends as many requests at once as one upstream cannot take, and checks that all are served; returns their
    /// number.
    fn call_at_once(&self, row: &Row) -> usize {
        const CALLERS: usize = 6;
        let deliveries: Vec<Delivery> = thread::scope(|scope| {
            let call = |caller| {
                let request = self.request(row, &format!("r-{caller}"));
                deliver(self.node.traffic_address(), &request)
            };
            let callers: Vec<_> = (0..CALLERS).map(|caller| scope.spawn(move || call(caller))).collect();
            callers.into_iter().map(|caller| caller.join().unwrap()).collect()
        });
        deliveries.iter().for_each(|delivery| expect_allowed(row, SHORT_BYTES, delivery));
        CALLERS
    }
}

/// Starts and lists the first upstream of a service.
fn start_upstream(store: &Store, service: &str, response: RawResponse) -> RawUpstream {
    start_upstream_as(store, &format!("i-{service}"), service, response)
}

fn start_upstream_as(store: &Store, id: &str, service: &str, response: RawResponse) -> RawUpstream {
    start_upstream_with(store, id, service, response, "")
}

/// Starts an upstream that adds these header lines to its responses to health checks.
fn start_upstream_with(
    store: &Store,
    id: &str,
    service: &str,
    response: RawResponse,
    health_lines: &str,
) -> RawUpstream {
    let health =
        format!("HTTP/1.1 200 OK\r\ncontent-length: 0\r\npointvane-instance-id: {id}\r\n{health_lines}\r\n");
    let address = (unique_address(), 8_080).into();
    let upstream = RawUpstream::start(address, "/health", RawResponse::new(&health, ""), response).unwrap();
    list_upstream(store, id, service, address, "ready");
    upstream
}

fn list_upstream(store: &Store, id: &str, service: &str, address: SocketAddr, state: &str) {
    let sequence = if state == "ready" { 1 } else { 2 };
    store.put(
        &format!("servers/{id}"),
        &format!(
            r#"{{"address":"{address}","info":{{"service":"{service}","version":"v1","zone":"one","slots":3}},"status":{{"state":"{state}","sequence":{sequence},"warmup-left-ms":0}}}}"#
        ),
    );
}

/// Plays rows of bodies of this length to callers of both versions of HTTP.
fn expect_rows(rows: &[Row], bytes: usize, kind: &str, body: &[u8]) {
    let scene = Scene::start(rows, kind);
    for (row, upstream) in rows.iter().zip(&scene.upstreams) {
        for version in [CallerVersion::Http11, CallerVersion::Http10] {
            let request =
                scene.request(row, &format!("{}-{version:?}", row.name)).version(version).body(body);
            expect_allowed(row, bytes, &deliver(scene.node.traffic_address(), &request));
        }
        expect_that!(upstream.requests(), ge(1), "{}", row.name);
    }
}

/// Guards against a response that contradicts itself or breaks off and reaches its caller as a complete success
/// with a part of its body.
#[gtest]
fn a_malformed_short_response_never_looks_complete() {
    expect_rows(&rows(SHORT_BYTES), SHORT_BYTES, "safe", b"");
}

/// Guards against the same with a response that is relayed while it is read.
#[gtest]
fn a_malformed_long_response_never_looks_complete() {
    expect_rows(&rows(LONG_BYTES), LONG_BYTES, "safe", b"");
}

/// Guards against the same with the response to an upload.
#[gtest]
fn a_malformed_response_to_an_upload_never_looks_complete() {
    expect_rows(&rows(LONG_BYTES), LONG_BYTES, "upload", &vec![b'u'; 1 << 20]);
}

/// Guards against an upload that is answered early by a response without a length, whose part looks complete
/// once its connection ends while the upload is still written.
#[gtest]
fn an_upload_answered_early_on_a_connection_that_ends_never_looks_complete() {
    for _ in 0..3 {
        expect_rows(&early(LONG_BYTES), LONG_BYTES, "upload", &vec![b'u'; 8 << 20]);
    }
}

/// Guards against a part of a body without a length that looks whole, since the kernel closes the connections of a
/// crashed upstream in an orderly way.
#[gtest]
fn a_body_whose_upstream_crashes_never_looks_complete() {
    for (bytes, line) in [(SHORT_BYTES, "\"upstream-crashed\""), (LONG_BYTES, "\"broke-off\"")] {
        for version in [CallerVersion::Http11, CallerVersion::Http10] {
            let row = crashed(bytes);
            let scene = Scene::start(std::slice::from_ref(&row), "unsafe");
            let request = scene.request(&row, "r-1").version(version);
            expect_allowed(&row, bytes, &deliver(scene.node.traffic_address(), &request));
            expect_that!(scene.upstreams[0].requests(), eq(1));
            let is_line = |text: &str| text.contains("\"r-1\"") && text.contains(line);
            eventually(|| scene.node.log_lines().lines().any(is_line));
        }
    }
}

/// Guards against the opposite: a whole body that is cut off since its upstream, as announced, ends with it.
#[gtest]
fn a_whole_body_of_an_upstream_that_leaves_as_announced_arrives() {
    for (leave, line) in
        [(Scene::drain as fn(&Scene, &Row), "\"draining\":true"), (Scene::remove, "\"upstream-gone\"")]
    {
        for bytes in [SHORT_BYTES, LONG_BYTES] {
            let row = last_of_its_upstream(bytes, Duration::from_secs(1), "");
            let scene = Scene::start(std::slice::from_ref(&row), "unsafe");
            let request = scene.request(&row, "r-1");
            let delivery = thread::scope(|scope| {
                let caller = scope.spawn(|| deliver(scene.node.traffic_address(), &request));
                eventually(|| scene.upstreams[0].requests() == 1);
                leave(&scene, &row);
                eventually(|| scene.node.log_lines().contains(line));
                caller.join().unwrap()
            });
            expect_allowed(&row, bytes, &delivery);
        }
    }
}

/// Guards against a response without end that its node reads until the deadline.
#[gtest]
fn a_response_without_end_is_refused_at_once() {
    let rows = without_end();
    let scene = Scene::start(&rows, "safe");
    for (row, upstream) in rows.iter().zip(&scene.upstreams) {
        let began = Instant::now();
        let delivery = deliver(scene.node.traffic_address(), &scene.request(row, row.name));
        expect_that!(began.elapsed(), le(REFUSED_WITHIN), "{}", row.name);
        expect_allowed(row, 0, &delivery);
        expect_that!(upstream.sent_bytes(), le(TAKEN_BYTES_MAX), "{}", row.name);
    }
}

/// Plays responses without a body, three on each connection.
fn expect_bodiless_rows(rows: &[(Row, Option<&str>)], method: &'static str) {
    let (rows, lengths): (Vec<Row>, Vec<Option<&str>>) = rows.iter().cloned().unzip();
    let scene = Scene::start(&rows, "safe");
    for (row, length) in rows.iter().zip(lengths) {
        let ids = (0..3).map(|number| format!("{}-{number}", row.name));
        let requests: Vec<(String, Request)> =
            ids.map(|id| (id.clone(), scene.request(row, &id).method(method))).collect();
        expect_bodiless(scene.node.traffic_address(), &requests, length);
    }
}

/// Guards against a response without a body whose head makes its caller wait for one, or take bytes of another
/// response for it.
#[gtest]
fn a_response_without_a_body_never_announces_one() {
    expect_bodiless_rows(&bodiless(), "GET");
}

/// Guards against a response to `HEAD` whose head announces another length than that of the representation.
#[gtest]
fn a_response_to_head_announces_the_length_of_its_upstream_or_none() {
    expect_bodiless_rows(&to_head(), "HEAD");
}

/// Guards against a malformed response that shifts the responses to the requests pipelined around it.
#[gtest]
fn a_malformed_response_does_not_shift_those_pipelined_around_it() {
    let rows: Vec<Row> =
        rows(LONG_BYTES).into_iter().filter(|row| row.seen != Seen::RefusedOrCutOff).collect();
    let scene = Scene::start(&rows, "safe");
    let sound = &rows[0];
    for row in &rows {
        let request = |row, id| (row, id, scene.request(row, id));
        let requests = [request(sound, "before"), request(row, row.name), request(sound, "behind")];
        expect_in_order(scene.node.traffic_address(), &requests, LONG_BYTES);
    }
}

/// Two nodes and one upstream, which the first node does not reach, so that it forwards to the second.
struct ForwardingScene {
    nodes: [NodeProcess; 2],
    upstream: RawUpstream,
}

impl ForwardingScene {
    fn start() -> Self {
        let store = Store::start();
        store.configure(5, &[("/safe/", "safe", DEADLINE_MS, "app")]);
        let sound = rows(SHORT_BYTES).remove(0);
        let upstream = start_upstream_as(&store, "i-1", "app", sound.response.clone());
        let addresses = [unique_address(), unique_address()];
        let nodes = addresses.map(|ip| NodeProcess::start_at(ip, store.address, &addresses[..1], Log::File));
        nodes.iter().for_each(NodeProcess::wait_until_ready);
        for node in &nodes {
            eventually(|| addresses.iter().all(|ip| node.directory().contains(&format!("\"{ip}:"))));
        }
        upstream.cut_off(nodes[0].ip.into());
        let scene = Self { nodes, upstream };
        eventually(|| sound.allows(&scene.call("first", CallerVersion::Http11), SHORT_BYTES));
        scene
    }

    fn call(&self, id: &str, version: CallerVersion) -> Delivery {
        let request = Request::new(HOST, "/safe/a").version(version).header("pointvane-request-id", id);
        let request = request.header("pointvane-deadline-ms", DEADLINE_MS);
        deliver(self.nodes[0].traffic_address(), &request)
    }
}

/// Guards against a malformed response that looks complete since it is framed again between two nodes.
#[gtest]
fn a_malformed_response_forwarded_by_another_node_never_looks_complete() {
    for bytes in [SHORT_BYTES, LONG_BYTES] {
        let scene = ForwardingScene::start();
        // Those that are refused come last: after some of them the second node refuses requests by itself.
        for row in [whole(bytes), broken_off(bytes), refused(bytes), vec![crashed(bytes)]].concat() {
            scene.upstream.set_response(row.response.clone());
            for version in [CallerVersion::Http11, CallerVersion::Http10] {
                expect_allowed(&row, bytes, &scene.call(row.name, version));
            }
        }
        let lines = scene.nodes[0].log_lines();
        expect_that!(lines, contains_substring("\"request-forwarded\""));
    }
}

/// Guards against a malformed response that looks complete since it is read for a hedge.
#[gtest]
fn a_malformed_response_to_a_hedge_never_looks_complete() {
    let table = rows(SHORT_BYTES);
    let sound = table[0].clone();
    let store = Store::start();
    let options =
        ConfigurationOptions { target_latency_ms: HEDGED_TARGET_MS, ..ConfigurationOptions::default() };
    store.configure_with(5, &[("/safe/", "safe", DEADLINE_MS, "app")], &options);
    let upstreams = ["i-1", "i-2"].map(|id| {
        start_upstream_with(
            &store,
            id,
            "app",
            sound.response.clone(),
            "pointvane-instance-load: 0,0,3,100\r\n",
        )
    });
    let node = NodeProcess::start_with_options(&store, Options { all_lines: true, ..Options::default() });
    node.wait_until_ready();
    let call = |id: &str| {
        let request = Request::new(HOST, "/safe/a").header("pointvane-request-id", id);
        deliver(node.traffic_address(), &request.header("pointvane-deadline-ms", DEADLINE_MS))
    };
    let hedges = || {
        let lines = node.log_lines();
        let is_hedge = |line: &&str| line.contains("\"hedge\":true") && line.contains("\"broken\"");
        lines.lines().filter(is_hedge).count()
    };
    for row in table.into_iter().filter(|row| HEDGED_ROWS.contains(&row.name)) {
        // Whole responses fill the hedge budget, and bring back an upstream that was ejected.
        upstreams.iter().for_each(|upstream| upstream.set_response(sound.response.clone()));
        (0..HEDGE_BUDGET_REQUESTS)
            .for_each(|number| expect_allowed(&sound, SHORT_BYTES, &call(&format!("f-{number}"))));
        let slow = sound.response.clone().after(HEDGED_WORK);
        for (first, second) in [(0, 1), (1, 0)] {
            upstreams[first].set_response(slow.clone());
            upstreams[second].set_response(row.response.clone());
            expect_allowed(&sound, SHORT_BYTES, &call(&format!("{}-{first}", row.name)));
        }
    }
    expect_that!(hedges(), ge(1));
}

/// Guards against an upstream that sends malformed responses, good health checks and is used all the same, or is
/// not used again once it is sound.
#[gtest]
fn an_upstream_that_sends_malformed_responses_is_ejected_and_comes_back() {
    let table = rows(SHORT_BYTES);
    let row = |name: &str| {
        let row = table.iter().find(|row| row.name == name).unwrap().clone();
        Row { response: row.response.after(Duration::from_millis(20)), ..row }
    };
    let (sound, malformed) = (row("length"), row("unknown-coding"));
    let scene = Scene::start(std::slice::from_ref(&sound), "safe");
    start_upstream_as(&scene.store, "i-second", sound.name, sound.response.clone());
    let spoiling = start_upstream_as(&scene.store, "i-third", sound.name, malformed.response);
    // All callers are served meanwhile.
    let mut requests = 0;
    eventually(|| {
        requests += scene.call_at_once(&sound);
        spoiling.requests() > 0
    });
    let tries = spoiling.requests();
    for _ in 0..ROUNDS {
        requests += scene.call_at_once(&sound);
    }
    // Three failures in a row eject it; then it is tried again after 0.4 s and longer.
    expect_that!(spoiling.requests() - tries, le(requests / 10));
    spoiling.set_response(sound.response.clone());
    let tries = spoiling.requests();
    eventually(|| {
        scene.call_at_once(&sound);
        spoiling.requests() > tries + ROUNDS
    });
}

/// Guards against a malformed response of which operators learn neither the request nor the reason.
#[gtest]
fn a_malformed_response_is_reported_with_its_request_and_reason() {
    let reasons = [
        ("shorter-length-then-chunks", "two-lengths", false),
        ("two-different-lengths", "invalid-head", true),
        ("unknown-coding", "unknown-coding", true),
        ("status-000", "invalid-status", true),
        ("status-999", "invalid-status", true),
        ("unrequested-upgrade", "unrequested-upgrade", true),
        ("endless-interim", "too-many-interim", true),
        ("endless-header", "head-too-long", true),
        ("endless-unmarked-body", "other-request", true),
        ("length-closed", "incomplete-body", true),
        ("chunks-spoiled", "invalid-chunk", true),
    ];
    let all_rows = [rows(SHORT_BYTES), without_end()].concat();
    let row = |name: &str| all_rows.iter().find(|row| row.name == name).unwrap().clone();
    let rows: Vec<Row> = reasons.iter().map(|(name, ..)| row(name)).collect();
    let scene = Scene::start(&rows, "safe");
    for (row, (name, reason, is_refused)) in rows.iter().zip(reasons) {
        _ = deliver(scene.node.traffic_address(), &scene.request(row, name));
        let parts = [
            "\"response-malformed\"".into(),
            format!("\"request\":\"{name}\""),
            format!("\"upstream\":\"i-{name}\""),
            format!("\"reason\":\"{reason}\""),
            format!("\"refused\":{is_refused}"),
        ];
        let is_reported = |line: &str| parts.iter().all(|part: &String| line.contains(part.as_str()));
        eventually(|| scene.node.log_lines().lines().any(is_reported));
    }
    let head = "GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let metrics = call((scene.node.ip, OPERATOR_PORT).into(), head).unwrap().body;
    let metrics = String::from_utf8(metrics).unwrap();
    for (_, reason, is_refused) in reasons {
        let result = if is_refused { "refused" } else { "repaired" };
        let labels = [format!("reason=\"{reason}\""), format!("result=\"{result}\"")];
        let is_counted = |line: &str| {
            line.starts_with("pointvane_node_responses_malformed")
                && labels.iter().all(|label| line.contains(label))
        };
        expect_that!(metrics.lines().any(is_counted), eq(true), "{reason}");
    }
}
