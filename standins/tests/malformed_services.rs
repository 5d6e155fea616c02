//! Services whose upstreams all send malformed responses: soon they get no more requests but single trials, their
//! callers are refused at once with the time to come back, and all are served again once the upstreams are sound.

#[path = "malformed_responses/caller.rs"]
#[allow(dead_code)]
mod caller;
mod common;
#[path = "malformed_responses/table.rs"]
#[allow(dead_code)]
mod table;
mod users_platform;

use {
    caller::{Delivery, Request, deliver},
    googletest::prelude::*,
    pointvane_core::{LoadReport, header},
    pointvane_standins::{
        deployment::{Deployment, FleetPlan, Plan, ServicePlan},
        raw_upstream::{RawResponse, RawUpstream},
    },
    std::{
        net::{Ipv4Addr, SocketAddr},
        thread,
        time::{Duration, Instant},
    },
    table::{Row, rows, without_end},
    users_platform::{ConfigurationOptions, HOST, NodeProcess, Store, eventually, unique_address},
};

const BYTES: usize = 20_000;
const DEADLINE_MS: u64 = 4_000;
const CALLERS: usize = 4;
/// Time for which upstreams send malformed responses: pauses of 0.4, 0.8 and 1.6 s end in it.
const MALFORMED_TIME: Duration = Duration::from_secs(4);
/// Pause of a caller after each request: it does not heed the time to come back.
const CALLER_PAUSE: Duration = Duration::from_millis(20);
/// Requests that an upstream may get in that time: ten until the first pause, those of the other callers that are under
/// way then, and a trial after each pause.
const REQUESTS_MAX: usize = 10 + CALLERS + 5;
/// Longest pause, and the longest random delay that a process adds to it, in seconds.
const PAUSE_MAX_S: f64 = 6.4 + 1.0;
/// Longest time by which an entry spreads the returns of callers, in seconds; it states whole seconds.
const ENTRY_SPREAD_MAX_S: f64 = 4.0;
/// Time within which a caller is refused, for all but a few on a busy machine.
const REFUSED_WITHIN: Duration = Duration::from_millis(50);

/// A form of pointvane that serves these upstreams.
trait Scene {
    fn address(&self) -> SocketAddr;
    fn upstreams(&self) -> &[RawUpstream];
    fn request(&self, kind: &str, id: &str) -> Request;
    /// Longest time that a caller is asked to wait, in seconds.
    fn retry_after_max_s(&self) -> f64;
}

struct NodeScene {
    node: NodeProcess,
    upstreams: Vec<RawUpstream>,
}

impl NodeScene {
    fn start(count: usize, endless_health: bool) -> Self {
        let store = Store::start();
        let routes = ["unsafe", "safe"].map(|kind| (format!("/{kind}/"), kind));
        let routes: Vec<_> =
            routes.iter().map(|(path, kind)| (path.as_str(), *kind, DEADLINE_MS, "app")).collect();
        store.configure_with(5, &routes, &ConfigurationOptions::default());
        let upstreams =
            (0..count).map(|number| Self::start_upstream(&store, number, endless_health)).collect();
        let node = NodeProcess::start(&store);
        node.wait_until_ready();
        Self { node, upstreams }
    }

    fn start_upstream(store: &Store, number: usize, endless_health: bool) -> RawUpstream {
        let id = format!("i-{number}");
        let own = format!("pointvane-instance-id: {id}\r\npointvane-instance-load: 0,0,3,100\r\n");
        let health = match endless_health {
            true => RawResponse::new(&format!("HTTP/1.1 200 OK\r\n{own}\r\n"), "")
                .then_without_end("x".repeat(64)),
            false => RawResponse::new(&format!("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n{own}\r\n"), ""),
        };
        let address = (unique_address(), 8_080).into();
        let upstream = RawUpstream::start(address, "/health", health, sound()).unwrap();
        store.put(
            &format!("servers/{id}"),
            &format!(
                r#"{{"address":"{address}","info":{{"service":"app","version":"v1","zone":"one","slots":3}},"status":{{"state":"ready","sequence":1,"warmup-left-ms":0}}}}"#
            ),
        );
        upstream
    }
}

impl Scene for NodeScene {
    fn address(&self) -> SocketAddr {
        self.node.traffic_address()
    }

    fn upstreams(&self) -> &[RawUpstream] {
        &self.upstreams
    }

    fn request(&self, kind: &str, id: &str) -> Request {
        let method = if kind == "safe" { "GET" } else { "POST" };
        let request = Request::new(HOST, &format!("/{kind}/a")).method(method);
        request.header("pointvane-request-id", id).header("pointvane-deadline-ms", DEADLINE_MS)
    }

    fn retry_after_max_s(&self) -> f64 {
        PAUSE_MAX_S
    }
}

struct EntryScene {
    deployment: Deployment,
    upstreams: Vec<RawUpstream>,
}

impl EntryScene {
    fn start(count: usize) -> Self {
        let load = format!(
            "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n{}: {}\r\n\r\n",
            header::LOAD,
            LoadReport::default()
        );
        let load = RawResponse::new(&load, "");
        let any_port = (Ipv4Addr::LOCALHOST, 0).into();
        let upstreams: Vec<RawUpstream> = (0..count)
            .map(|_| RawUpstream::start(any_port, "/load", load.clone(), sound()).unwrap())
            .collect();
        let service = ServicePlan {
            name: "app".into(),
            instances: 0,
            external: upstreams.iter().map(|upstream| upstream.address).collect(),
            ..ServicePlan::default()
        };
        let plan = Plan {
            data_centres: 1,
            entries: 1,
            services: vec![service],
            fleet: FleetPlan::default(),
            settings: String::new(),
        };
        Self { deployment: Deployment::start(plan).unwrap(), upstreams }
    }
}

impl Scene for EntryScene {
    fn address(&self) -> SocketAddr {
        self.deployment.vms[0].entry()
    }

    fn upstreams(&self) -> &[RawUpstream] {
        &self.upstreams
    }

    fn request(&self, _: &str, id: &str) -> Request {
        let request = Request::new("x", "/app/a").header("pointvane-request-id", id);
        request.header(header::DEADLINE_MS, DEADLINE_MS)
    }

    fn retry_after_max_s(&self) -> f64 {
        PAUSE_MAX_S.ceil() + ENTRY_SPREAD_MAX_S
    }
}

fn sound() -> RawResponse {
    rows(BYTES).remove(0).response
}

fn row(name: &str) -> Row {
    [rows(BYTES), without_end()].concat().into_iter().find(|row| row.name == name).unwrap()
}

/// Has callers send requests for a time; returns what each got, and after which time.
fn call(scene: &(impl Scene + Sync), kind: &str, time: Duration) -> Vec<(Delivery, Duration)> {
    let until = Instant::now() + time;
    let call = |caller: usize| {
        let mut deliveries = Vec::new();
        while deliveries.is_empty() || Instant::now() < until {
            let request = scene.request(kind, &format!("r-{caller}-{}", deliveries.len()));
            let began = Instant::now();
            deliveries.push((deliver(scene.address(), &request), began.elapsed()));
            thread::sleep(CALLER_PAUSE);
        }
        deliveries
    };
    thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS).map(|caller| scope.spawn(move || call(caller))).collect();
        callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
    })
}

fn requests(scene: &impl Scene) -> usize {
    scene.upstreams().iter().map(RawUpstream::requests).sum()
}

/// Plays one kind of malformed response, and then sound ones.
fn expect_refused_at_once(scene: &(impl Scene + Sync), kind: &str, row: &Row) {
    eventually(|| call(scene, kind, CALLER_PAUSE).iter().all(|(delivery, _)| delivery.status == 200));
    let before = requests(scene);
    scene.upstreams().iter().for_each(|upstream| upstream.set_response(row.response.clone()));
    let deliveries = call(scene, kind, MALFORMED_TIME);
    let tried = requests(scene) - before;
    expect_that!(tried, le(REQUESTS_MAX * scene.upstreams().len()), "{} {kind}", row.name);
    let refused: Vec<&(Delivery, Duration)> =
        deliveries.iter().filter(|(delivery, _)| delivery.status == 503).collect();
    expect_that!(deliveries.len() - refused.len(), le(tried), "{} {kind}", row.name);
    expect_that!(refused.len(), ge(deliveries.len() / 2), "{} {kind}", row.name);
    let times = || refused.iter().filter_map(|(delivery, _)| delivery.header("retry-after"));
    let seconds = times().filter_map(|text| text.parse::<f64>().ok());
    expect_that!(times().count(), eq(refused.len()), "{} {kind}", row.name);
    expect_that!(seconds.fold(0.0, f64::max), le(scene.retry_after_max_s()), "{} {kind}", row.name);
    let late = refused.iter().filter(|(_, time)| *time > REFUSED_WITHIN).count();
    expect_that!(late, le(refused.len() / 10), "{} {kind}", row.name);
    scene.upstreams().iter().for_each(|upstream| upstream.set_response(sound()));
    eventually(|| call(scene, kind, CALLER_PAUSE).iter().all(|(delivery, _)| delivery.status == 200));
}

/// Guards against a service of one upstream that gets every request although it answers none (502 each).
#[gtest]
fn callers_of_one_upstream_that_sends_malformed_responses_are_refused_at_once() {
    for name in [
        "unknown-coding",
        "two-different-lengths",
        "chunks-spoiled",
        "endless-unmarked-body",
        "endless-interim",
    ] {
        expect_refused_at_once(&NodeScene::start(1, false), "unsafe", &row(name));
    }
    expect_refused_at_once(&NodeScene::start(1, false), "safe", &row("unknown-coding"));
}

/// Guards against the same where all upstreams of a service fail, so that none stays ejected.
#[gtest]
fn callers_of_six_upstreams_that_send_malformed_responses_are_refused_at_once() {
    expect_refused_at_once(&NodeScene::start(6, false), "unsafe", &row("unknown-coding"));
    expect_refused_at_once(&NodeScene::start(6, false), "safe", &row("endless-unmarked-body"));
}

/// Guards against health checks that are answered by a head and a body without end, and keep such an upstream in use.
#[gtest]
fn health_checks_answered_without_end_keep_no_upstream_in_use() {
    expect_refused_at_once(&NodeScene::start(1, true), "unsafe", &row("endless-unmarked-body"));
}

/// Guards against the same at an entry.
#[gtest]
fn callers_of_an_entry_are_refused_at_once() {
    for count in [1, 6] {
        expect_refused_at_once(&EntryScene::start(count), "safe", &row("unknown-coding"));
    }
}

/// Guards against an upstream that spoils two of five responses and is taken for down.
#[gtest]
fn an_upstream_that_spoils_some_responses_stays_in_use() {
    let scene = NodeScene::start(1, false);
    let spoiled = row("unknown-coding").response;
    let mut answered = 0;
    for number in 0..200 {
        let response = if number % 5 < 2 { spoiled.clone() } else { sound() };
        scene.upstreams[0].set_response(response);
        let delivery = deliver(scene.address(), &scene.request("unsafe", &format!("r-{number}")));
        answered += usize::from(delivery.status == 200);
        expect_that!(delivery.status, any!(eq(200), eq(502)));
    }
    expect_that!(answered, eq(120));
}
