//! Malformed responses of upstreams, at an entry: the same table as for a node.

#[path = "malformed_responses/caller.rs"]
mod caller;
mod common;
#[path = "malformed_responses/expect.rs"]
mod expect;
#[path = "malformed_responses/table.rs"]
mod table;

use {
    caller::{CallerVersion, Request, deliver},
    common::key_prefix,
    expect::{expect_allowed, expect_bodiless, expect_in_order},
    googletest::prelude::*,
    pointvane_core::{LoadReport, header},
    pointvane_standins::{
        deployment::{Deployment, FleetPlan, Plan, Program, ServicePlan, wait_until},
        raw_upstream::{RawResponse, RawUpstream},
    },
    std::{
        fs,
        net::{Ipv4Addr, SocketAddr},
        time::{Duration, Instant},
    },
    table::{
        RESPONSE_STAMP, Row, Seen, bodiless, crashed, early, last_of_its_upstream, rows, to_head, without_end,
    },
};

const SHORT_BYTES: usize = 20_000;
const LONG_BYTES: usize = 200_000;
/// Response bodies longer than this are not stored for repeats of a key.
const STORED_BYTES_MAX: usize = 256 << 10;
const DEADLINE_MS: u64 = 4_000;
/// Time within which a response without end must be refused: far below the deadline.
const REFUSED_WITHIN: Duration = Duration::from_millis(1_500);
/// Maximum growth of an entry's peak memory while it meets responses without end, in kilobytes.
const GROWTH_KB_MAX: u64 = 32 << 10;

/// An entry with a service of one upstream for each row.
struct Scene {
    deployment: Deployment,
}

impl Scene {
    fn start(rows: &[Row]) -> Self {
        let load = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n{}: {}\r\n\r\n",
            header::LOAD,
            LoadReport::default()
        );
        Self::start_with(rows, &RawResponse::new(&load, ""))
    }

    /// Starts upstreams that answer load probes with `probed`.
    fn start_with(rows: &[Row], probed: &RawResponse) -> Self {
        let service = |row: &Row| ServicePlan {
            name: row.name.into(),
            instances: 0,
            external: vec![start_upstream(row, probed)],
            ..ServicePlan::default()
        };
        // Locate is asked for the key prefix by the name of this service.
        let named = ServicePlan { instances: 1, ..ServicePlan::default() };
        let plan = Plan {
            data_centres: 1,
            entries: 1,
            services: rows.iter().map(service).chain([named]).collect(),
            fleet: FleetPlan::default(),
            settings: String::new(),
        };
        Self { deployment: Deployment::start(plan).unwrap() }
    }

    fn entry(&self) -> SocketAddr {
        self.deployment.vms[0].entry()
    }

    fn request(&self, row: &Row, id: &str) -> Request {
        let request = Request::new("x", &format!("/{}/a", row.name)).header("x-request-id", id);
        request.header("pointvane-request-id", id).header(header::DEADLINE_MS, DEADLINE_MS)
    }

    /// Whether a line of the entry has all these parts.
    fn has_line(&self, parts: &[&str]) -> bool {
        let name = format!("{}-entry.log", self.deployment.vms[0].name);
        let log = fs::read_to_string(self.deployment.directory().join(name)).unwrap();
        log.lines().any(|line| parts.iter().all(|part| line.contains(part)))
    }

    /// Peak resident memory of the entry, in kilobytes.
    fn memory_peak_kb(&self) -> u64 {
        let process = self.deployment.vms[0].process(Program::Entry).unwrap();
        let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse().unwrap()
    }
}

fn start_upstream(row: &Row, probed: &RawResponse) -> SocketAddr {
    let any_port = (Ipv4Addr::LOCALHOST, 0).into();
    RawUpstream::start(any_port, "/load", probed.clone(), row.response.clone()).unwrap().address
}

/// Plays rows of bodies of this length to callers of both versions of HTTP.
fn expect_rows(bytes: usize) {
    let rows = rows(bytes);
    let scene = Scene::start(&rows);
    for row in &rows {
        for version in [CallerVersion::Http11, CallerVersion::Http10] {
            let request = scene.request(row, row.name).version(version);
            expect_allowed(row, bytes, &deliver(scene.entry(), &request));
        }
    }
}

/// Guards against a response that contradicts itself or breaks off and reaches its caller as a complete success
/// with a part of its body.
#[gtest]
fn a_malformed_short_response_never_looks_complete() {
    expect_rows(SHORT_BYTES);
}

/// Guards against the same with a long response.
#[gtest]
fn a_malformed_long_response_never_looks_complete() {
    expect_rows(LONG_BYTES);
}

/// Guards against the same with responses that are stored under a key, and with those to repeats of the key.
#[gtest]
fn a_malformed_response_under_a_key_never_looks_complete() {
    for bytes in [SHORT_BYTES, STORED_BYTES_MAX + LONG_BYTES] {
        let rows = rows(bytes);
        let scene = Scene::start(&rows);
        let prefix = key_prefix_of(&scene);
        for row in &rows {
            for repeat in 0..2 {
                let request = scene.request(row, row.name).header(header::KEY, prefix.clone() + row.name);
                let delivery = deliver(scene.entry(), &request.body(b"order"));
                let may_be_not_kept = bytes > STORED_BYTES_MAX || row.seen != Seen::Whole;
                let is_own_error = delivery.status >= 400 && delivery.header(RESPONSE_STAMP).is_none();
                let is_not_kept = repeat > 0 && may_be_not_kept && is_own_error;
                let is_allowed = row.allows(&delivery, bytes) || is_not_kept;
                expect_that!(is_allowed, eq(true), "{}, {bytes} bytes, {repeat}: {delivery:?}", row.name);
            }
        }
    }
}

/// Key prefix of the only entry.
fn key_prefix_of(scene: &Scene) -> String {
    key_prefix(&scene.deployment, 0)
}

/// Guards against an upload that is answered early by a response without a length, whose part looks complete
/// once its connection ends while the upload is still written.
#[gtest]
fn an_upload_answered_early_on_a_connection_that_ends_never_looks_complete() {
    let rows = early(LONG_BYTES);
    let scene = Scene::start(&rows);
    let prefix = key_prefix_of(&scene);
    let upload = vec![b'u'; 8 << 20];
    for round in 0..3 {
        for row in &rows {
            let key = format!("{prefix}{}-{round}", row.name);
            let delivery =
                deliver(scene.entry(), &scene.request(row, row.name).header(header::KEY, key).body(&upload));
            expect_allowed(row, LONG_BYTES, &delivery);
        }
    }
}

/// Plays responses without a body, three on each connection.
fn expect_bodiless_rows(rows: &[(Row, Option<&str>)], method: &'static str) {
    let (rows, lengths): (Vec<Row>, Vec<Option<&str>>) = rows.iter().cloned().unzip();
    let scene = Scene::start(&rows);
    for (row, length) in rows.iter().zip(lengths) {
        let ids = (0..3).map(|number| format!("{}-{number}", row.name));
        let requests: Vec<(String, Request)> =
            ids.map(|id| (id.clone(), scene.request(row, &id).method(method))).collect();
        expect_bodiless(scene.entry(), &requests, length);
    }
}

/// Guards against a malformed response that shifts the responses to the requests pipelined around it.
#[gtest]
fn a_malformed_response_does_not_shift_those_pipelined_around_it() {
    let rows: Vec<Row> =
        rows(SHORT_BYTES).into_iter().filter(|row| row.seen != Seen::RefusedOrCutOff).collect();
    let scene = Scene::start(&rows);
    let sound = &rows[0];
    for row in &rows {
        let request = |row, id| (row, id, scene.request(row, id));
        let requests = [request(sound, "before"), request(row, row.name), request(sound, "behind")];
        expect_in_order(scene.entry(), &requests, SHORT_BYTES);
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

/// Guards against a part of a body without a length that looks whole, since the kernel closes the connections of a
/// crashed upstream in an orderly way.
#[gtest]
fn a_body_whose_upstream_crashes_never_looks_complete() {
    for bytes in [SHORT_BYTES, LONG_BYTES] {
        for version in [CallerVersion::Http11, CallerVersion::Http10] {
            let row = crashed(bytes);
            let scene = Scene::start(std::slice::from_ref(&row));
            let delivery = deliver(scene.entry(), &scene.request(&row, "r-1").version(version));
            expect_allowed(&row, bytes, &delivery);
            wait_until("a line", || scene.has_line(&["response-incomplete", "r-1", "upstream-crashed"]))
                .unwrap();
        }
    }
}

/// Guards against the opposite: a whole body that is cut off since its upstream, as announced, ends with it.
#[gtest]
fn a_whole_body_of_an_upstream_that_leaves_as_announced_arrives() {
    let draining = LoadReport { draining: true, ..LoadReport::default() };
    for bytes in [SHORT_BYTES, LONG_BYTES] {
        let row = last_of_its_upstream(bytes, Duration::ZERO, &format!("{}: {draining}\r\n", header::LOAD));
        let scene = Scene::start(std::slice::from_ref(&row));
        expect_allowed(&row, bytes, &deliver(scene.entry(), &scene.request(&row, "r-1")));
    }
}

/// Guards against a response without end that its entry reads until the deadline.
#[gtest]
fn a_response_without_end_is_refused_at_once() {
    let rows = without_end();
    let scene = Scene::start(&rows);
    for row in rows.iter().filter(|row| row.name != "endless-unmarked-body") {
        let began = Instant::now();
        let delivery = deliver(scene.entry(), &scene.request(row, row.name));
        expect_that!(began.elapsed(), le(REFUSED_WITHIN), "{}", row.name);
        expect_allowed(row, 0, &delivery);
    }
}

/// Guards against malformed responses of which operators learn neither the request nor the reason.
#[gtest]
fn malformed_responses_are_reported_with_their_requests_and_reasons() {
    let reasons = [
        ("shorter-length-then-chunks", "two-lengths"),
        ("unknown-coding", "unknown-coding"),
        ("status-999", "invalid-status"),
        ("stops-in-header", ""),
        ("length-no-number", "invalid-head"),
    ];
    let table = rows(SHORT_BYTES);
    let row = |name: &str| table.iter().find(|row| row.name == name).unwrap().clone();
    let rows: Vec<Row> = reasons.iter().map(|(name, _)| row(name)).collect();
    let scene = Scene::start(&rows);
    for (row, (name, reason)) in rows.iter().zip(reasons) {
        _ = deliver(scene.entry(), &scene.request(row, name));
        // A connection that ends within a head is a broken one, with no response that could be malformed.
        if !reason.is_empty() {
            wait_until(reason, || scene.has_line(&["response-malformed", name, reason])).unwrap();
        }
    }
    let count = scene.deployment.counter(Program::Entry, "pointvane_responses_malformed");
    expect_that!(count, ge(4.0));
}

/// Guards against an entry that gathers in memory what an upstream sends without end as the answer to a probe.
#[gtest]
fn probes_answered_without_end_take_no_memory() {
    let endless = RawResponse::new("HTTP/1.1 200 OK\r\n\r\n", "").then_without_end(vec![b'x'; 64 << 10]);
    let row = table::whole(SHORT_BYTES).remove(0);
    let scene = Scene::start_with(std::slice::from_ref(&row), &endless);
    let probes = || scene.deployment.counter(Program::Entry, "pointvane_probes");
    let before_kb = scene.memory_peak_kb();
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(3) {
        _ = deliver(scene.entry(), &scene.request(&row, "r"));
    }
    wait_until("probes", || probes() >= 2.0).unwrap();
    expect_that!(scene.memory_peak_kb() - before_kb, le(GROWTH_KB_MAX));
}
