//! Upstreams that announce in their responses how many requests a second they accept from all nodes together.

mod users_platform;

use {
    googletest::prelude::*,
    std::{
        thread,
        time::{Duration, Instant},
    },
    users_platform::{NodeProcess, Store, Upstream, UpstreamBehaviour, eventually},
};

const ROUTES: [(&str, &str, u64, &str); 2] =
    [("/safe/", "safe", 5_000, "app"), ("/unsafe/", "unsafe", 5_000, "app")];
/// Window over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// An upstream may receive up to this multiple of its limit in a window, plus [`SLACK`] requests.
const OVERSHOOT: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Time after the first announcement of a limit by which all nodes must respect it.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Interval between two requests of a caller: longer than a load report counts as fresh, so that all upstreams
/// are candidates.
const REQUEST_INTERVAL: Duration = Duration::from_millis(25);

/// The nodes of one fleet and the upstreams of one service.
struct Fixture {
    nodes: Vec<NodeProcess>,
    store: Store,
    upstreams: Vec<Upstream>,
}

impl Fixture {
    fn start(nodes: usize, behaviours: &[UpstreamBehaviour]) -> Self {
        let store = Store::start();
        store.configure(5, &ROUTES);
        let start = |(number, behaviour): (usize, &UpstreamBehaviour)| {
            Upstream::start(&format!("i-{number}"), *behaviour)
        };
        let upstreams: Vec<Upstream> = behaviours.iter().enumerate().map(start).collect();
        upstreams.iter().for_each(|upstream| store.list(upstream, "ready", 1));
        let mut fleet = vec![NodeProcess::start(&store)];
        let seeds = [fleet[0].ip];
        fleet.extend((1..nodes).map(|_| NodeProcess::start_in(&store, &seeds)));
        fleet.iter().for_each(NodeProcess::wait_until_ready);
        let knows_all = |node: &NodeProcess| node.directory().matches(":8144").count() == nodes;
        eventually(|| fleet.iter().all(knows_all));
        Self { nodes: fleet, store, upstreams }
    }

    /// Sends requests to each node for a time and returns their statuses.
    fn send_for(&self, time: Duration) -> Vec<u16> {
        let until = Instant::now() + time;
        let call = |node: &NodeProcess| {
            let mut statuses = Vec::new();
            while Instant::now() < until {
                let (method, path) = [("GET", "/safe/a"), ("POST", "/unsafe/a")][statuses.len() % 2];
                let id = format!("{}-{}", node.ip, statuses.len());
                statuses.push(node.request(method, path, &id, 3_000).unwrap().status());
                thread::sleep(REQUEST_INTERVAL);
            }
            statuses
        };
        thread::scope(|scope| {
            let callers: Vec<_> = self.nodes.iter().map(|node| scope.spawn(move || call(node))).collect();
            callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
        })
    }
}

/// Maximum number of requests that reached an upstream in any window, starting `after` the first arrival.
fn max_in_window(upstream: &Upstream, after: Duration) -> usize {
    let arrivals: Vec<Instant> = upstream.arrivals.lock().unwrap().iter().map(|(_, at)| *at).collect();
    let Some(from) = arrivals.first().map(|first| *first + after) else { return 0 };
    let counted: Vec<Instant> = arrivals.into_iter().filter(|at| *at >= from).collect();
    let in_window =
        |first: &Instant| counted.iter().filter(|at| (*first..*first + WINDOW).contains(*at)).count();
    counted.iter().map(in_window).max().unwrap_or_default()
}

fn allowed(per_s: f64) -> usize {
    (per_s * WINDOW.as_secs_f64() * OVERSHOOT + SLACK) as usize
}

#[gtest]
fn nodes_together_respect_the_limit_that_an_upstream_announces() {
    let fixture = Fixture::start(
        4,
        &[
            UpstreamBehaviour::AnnounceLimit { per_1000_s: 2_500 },
            UpstreamBehaviour::Normal,
            UpstreamBehaviour::Normal,
        ],
    );
    let statuses = fixture.send_for(PROPAGATION_TIME + 2 * WINDOW);
    expect_that!(
        statuses.iter().all(|status| *status == 200),
        eq(true),
        "the other upstreams serve the rest"
    );
    expect_that!(max_in_window(&fixture.upstreams[0], PROPAGATION_TIME), le(allowed(2.5)));
    expect_that!(fixture.upstreams[0].run_count(), ge(4), "it received requests");
    for node in &fixture.nodes {
        expect_that!(
            node.log_lines(),
            contains_substring("upstream-limit-changed"),
            "each node learned of the limit"
        );
    }
}

#[gtest]
fn callers_get_retry_after_at_once_when_all_upstreams_are_at_their_limits() {
    let fixture = Fixture::start(1, &[UpstreamBehaviour::AnnounceLimit { per_1000_s: 500 }]);
    let node = &fixture.nodes[0];
    // A node that has just started waits until it would have heard from other nodes.
    thread::sleep(Duration::from_secs(2));
    expect_that!(node.request("GET", "/safe/a", "first", 5_000).unwrap().status(), eq(200));
    eventually(|| node.request("GET", "/safe/a", "next", 5_000).unwrap().status() == 200);
    let began = Instant::now();
    let refused = node.request("GET", "/safe/a", "refused", 5_000).unwrap();
    expect_that!(
        began.elapsed(),
        le(Duration::from_millis(300)),
        "a request that cannot be served is refused without waiting"
    );
    expect_that!(refused.status(), eq(503));
    expect_that!(String::from_utf8_lossy(&refused.body).trim(), eq("upstreams-limited"));
    let retry_after: f64 = refused.header("retry-after").unwrap().parse().unwrap();
    // 2 s between two requests, a quarter of that reserved for more urgent requests, and three quarters of
    // the target latency of 200 ms.
    expect_that!(retry_after, all!(gt(0.0), le(2.65)));
    thread::sleep(Duration::from_secs_f64(retry_after));
    expect_that!(node.request("GET", "/safe/a", "again", 5_000).unwrap().status(), eq(200));
}

#[gtest]
fn an_upstream_that_withdraws_its_limit_is_used_again_within_two_seconds() {
    let fixture = Fixture::start(
        2,
        &[UpstreamBehaviour::AnnounceLimit { per_1000_s: 1_000 }, UpstreamBehaviour::Normal],
    );
    fixture.send_for(Duration::from_secs(3));
    fixture.upstreams[0].set_behaviour(UpstreamBehaviour::Normal);
    fixture.send_for(Duration::from_secs(2));
    let before = fixture.upstreams[0].run_count();
    let statuses = fixture.send_for(Duration::from_secs(2));
    let ran = fixture.upstreams[0].run_count() - before;
    expect_that!(
        ran * 10,
        ge(statuses.len()),
        "{ran} of {} requests went to one of two equal upstreams",
        statuses.len()
    );
}

/// A node that starts knows neither the limit nor the other nodes.
#[gtest]
fn a_node_that_starts_while_a_limit_is_in_force_respects_it_after_the_propagation_time() {
    let limit = UpstreamBehaviour::AnnounceLimit { per_1000_s: 2_500 };
    let mut fixture = Fixture::start(3, &[limit, UpstreamBehaviour::Normal, UpstreamBehaviour::Normal]);
    fixture.send_for(Duration::from_secs(2));
    let last = fixture.nodes.pop().unwrap();
    drop(last);
    let store = fixture.store.address;
    let seeds = [fixture.nodes[0].ip];
    let ip = users_platform::unique_address();
    fixture.nodes.push(NodeProcess::start_at(ip, store, &seeds, users_platform::Log::File));
    fixture.nodes[2].wait_until_ready();
    fixture.send_for(Duration::from_secs(6));
    expect_that!(max_in_window(&fixture.upstreams[0], PROPAGATION_TIME), le(allowed(2.5)));
}

/// Sends requests of three callers during the first second of a node; returns statuses and bodies, which name
/// the reason of a refusal.
fn first_second(node: &NodeProcess) -> Vec<(u16, String)> {
    let until = Instant::now() + Duration::from_secs(1);
    let call = |caller: usize| {
        let mut statuses = Vec::new();
        while Instant::now() < until {
            let id = format!("{caller}-{}", statuses.len());
            let response = node.request("GET", "/safe/a", &id, 3_000).unwrap();
            statuses.push((response.status(), String::from_utf8_lossy(&response.body).trim().to_owned()));
            thread::sleep(REQUEST_INTERVAL);
        }
        statuses
    };
    thread::scope(|scope| {
        let callers: Vec<_> = (0..3).map(|caller| scope.spawn(move || call(caller))).collect();
        callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
    })
}

/// Guards against a node that sends nothing to an upstream with a limit for 1.5 s after its start, however
/// high the limit and whether or not there are other nodes.
#[gtest]
fn a_node_that_has_just_started_uses_an_upstream_whose_limit_is_far_above_its_load() {
    let store = Store::start();
    store.configure(5, &ROUTES);
    let upstream = Upstream::start("i-0", UpstreamBehaviour::AnnounceLimit { per_1000_s: 4_000_000_000 });
    store.list(&upstream, "ready", 1);
    let alone = NodeProcess::start(&store);
    alone.wait_until_ready();
    expect_that!(first_second(&alone), each(eq(&(200, "hello".to_owned()))));
    // Nothing listens at this seed address: the node does not know whether other nodes run.
    let isolated = NodeProcess::start_in(&store, &[users_platform::unique_address()]);
    isolated.wait_until_ready();
    expect_that!(first_second(&isolated), each(eq(&(200, "hello".to_owned()))));
}
