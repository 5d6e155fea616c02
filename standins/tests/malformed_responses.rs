//! Malformed responses of upstreams, at a node: whatever an upstream sends, its caller gets the whole response,
//! an error, or a response that is visibly cut off.

#[path = "malformed_responses/caller.rs"]
mod caller;
#[path = "malformed_responses/table.rs"]
mod table;
mod users_platform;

use {
    caller::{CallerVersion, Delivery, Request, deliver},
    googletest::prelude::*,
    pointvane_standins::raw_upstream::{RawResponse, RawUpstream},
    std::time::{Duration, Instant},
    table::{Row, Seen, early, rows, without_end},
    users_platform::{
        ConfigurationOptions, HOST, NodeProcess, Options, Store, call, eventually, unique_address,
    },
};

/// Shorter than a node buffers before it sends the first byte.
const SHORT_BYTES: usize = 20_000;
/// Longer than that.
const LONG_BYTES: usize = 200_000;
const DEADLINE_MS: u64 = 4_000;
const OPERATOR_PORT: u16 = 9_464;
/// Time within which a response without end must be refused: far below the deadline.
const REFUSED_WITHIN: Duration = Duration::from_millis(1_500);
/// Bytes that may be taken of a response without end, in user space and in the buffers of the kernel.
const TAKEN_BYTES_MAX: u64 = 8 << 20;

/// A node with a service of one upstream for each row.
struct Scene {
    node: NodeProcess,
    _store: Store,
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
        Self { node, _store: store, upstreams }
    }

    fn request(&self, row: &Row, id: &str) -> Request {
        Request::new(HOST, &format!("/{}/a", row.name))
            .header("pointvane-request-id", id)
            .header("pointvane-deadline-ms", DEADLINE_MS)
    }
}

/// Starts and lists the only upstream of a service.
fn start_upstream(store: &Store, service: &str, response: RawResponse) -> RawUpstream {
    let id = format!("i-{service}");
    let health = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\npointvane-instance-id: {id}\r\npointvane-instance-load: 0,0,3,100\r\n\r\n"
    );
    let address = (unique_address(), 8_080).into();
    let upstream = RawUpstream::start(address, "/health", RawResponse::new(&health, ""), response).unwrap();
    store.put(
        &format!("servers/{id}"),
        &format!(
            r#"{{"address":"{address}","info":{{"service":"{service}","version":"v1","zone":"one","slots":3}},"status":{{"state":"ready","sequence":1,"warmup-left-ms":0}}}}"#
        ),
    );
    upstream
}

/// Checks what a caller has seen of a row.
#[track_caller]
fn expect_allowed(row: &Row, bytes: usize, delivery: &Delivery) {
    let is_allowed = row.allows(delivery, bytes);
    expect_that!(is_allowed, eq(true), "{}, {bytes} bytes, {:?}: {delivery:?}", row.name, row.seen);
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
/// once its connection is reset while the upload is still written.
#[gtest]
fn an_upload_answered_early_and_reset_never_looks_complete() {
    for _ in 0..3 {
        expect_rows(&early(LONG_BYTES), LONG_BYTES, "upload", &vec![b'u'; 8 << 20]);
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

/// Guards against a response without a body whose head makes its caller wait for one, or take bytes of another
/// response for it.
#[gtest]
fn a_response_without_a_body_never_announces_one() {
    let row = |name, line: &str, lines: &str, body: &str| Row {
        name,
        response: RawResponse::new(&table::head(line, lines), body),
        seen: Seen::Whole,
    };
    let chunks = "transfer-encoding: chunked\r\n";
    let rows = [
        row("no-content", "HTTP/1.1 204 No Content", "", ""),
        row("no-content-length", "HTTP/1.1 204 No Content", "content-length: 5\r\n", "hello"),
        row("no-content-chunks", "HTTP/1.1 204 No Content", chunks, "5\r\nhello\r\n0\r\n\r\n"),
        row("not-modified", "HTTP/1.1 304 Not Modified", "", ""),
        row("not-modified-length", "HTTP/1.1 304 Not Modified", "content-length: 5\r\n", ""),
        row(
            "not-modified-two-lengths",
            "HTTP/1.1 304 Not Modified",
            &format!("content-length: 5\r\n{chunks}"),
            "",
        ),
    ];
    let scene = Scene::start(&rows, "safe");
    for row in &rows {
        let id = |number: usize| format!("{}-{number}", row.name);
        let requests: Vec<Request> = (0..3).map(|number| scene.request(row, &id(number))).collect();
        let deliveries = caller::deliver_in_turn(scene.node.traffic_address(), &requests);
        for (number, delivery) in deliveries.iter().enumerate() {
            expect_that!(delivery.is_complete, eq(true), "{}: {delivery:?}", id(number));
            expect_that!(delivery.status, any!(eq(204), eq(304)), "{}", id(number));
            expect_that!(delivery.body_bytes, eq(0), "{}", id(number));
            expect_that!(delivery.header("transfer-encoding"), none(), "{}", id(number));
            let announced = delivery.header("content-length").filter(|_| delivery.status == 204);
            expect_that!(announced, none(), "{}", id(number));
            expect_that!(delivery.header("pointvane-request-id"), some(eq(id(number).as_str())));
        }
    }
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
