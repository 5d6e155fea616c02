//! Some nodes of a fleet lose the path to all upstreams, while callers, the store and the other nodes still
//! reach them.

mod partitioned_fleet;
#[path = "soak/proxy.rs"]
#[allow(dead_code)]
mod proxy;
mod users_platform;

use {
    googletest::prelude::*,
    partitioned_fleet::{FirstTry, Fleet, ROUTES},
    proxy::Partition,
    socket2::{Domain, Socket, Type},
    std::{
        collections::HashSet,
        net::SocketAddr,
        thread,
        time::{Duration, Instant},
    },
    users_platform::{NodeProcess, Store, Upstream, UpstreamBehaviour, unique_address},
};

/// Time after the beginning of a partition from which callers must be served as elsewhere.
const CONTACT: Duration = Duration::from_secs(3);
/// Time for which a partition goes on after that.
const JUDGED: Duration = Duration::from_secs(4);
/// Share of the other nodes' rate at which a partitioned node must serve first tries.
const SERVED_SHARE: f64 = 2.0 / 3.0;
/// First tries that may fail in any case, and the share of all first tries that may.
const FAILURES_ALLOWED: (f64, f64) = (10.0, 1.0 / 50.0);

fn served<'t>(tries: impl Iterator<Item = &'t FirstTry>) -> (f64, f64) {
    tries.fold((0.0, 0.0), |(served, all), one| (served + f64::from(u8::from(one.status == 200)), all + 1.0))
}

/// Partitions the first `partitioned` of `nodes` nodes, and checks what callers and upstreams saw.
fn expect_served_as_elsewhere(nodes: usize, partitioned: usize, partition: Partition) {
    let fleet = Fleet::start(nodes, 3);
    expect_served(&fleet, partitioned, || fleet.partition(partitioned, partition));
}

/// Checks what callers and upstreams see of a partition of the first `partitioned` nodes.
fn expect_served(fleet: &Fleet, partitioned: usize, partition: impl FnOnce()) {
    let mut judged = (Instant::now(), Instant::now());
    let tries = fleet.with_callers(|| {
        thread::sleep(Duration::from_secs(1));
        partition();
        thread::sleep(CONTACT);
        judged.0 = Instant::now();
        thread::sleep(JUDGED);
        judged.1 = Instant::now();
        thread::sleep(Duration::from_secs(1));
        fleet.heal();
        thread::sleep(Duration::from_secs(1));
    });
    let in_window = |one: &&FirstTry| (judged.0..judged.1).contains(&one.sent_at);
    let (served_cut, all_cut) = served(tries.iter().filter(in_window).filter(|one| one.node < partitioned));
    let (served_others, all_others) =
        served(tries.iter().filter(in_window).filter(|one| one.node >= partitioned));
    let mut statuses: Vec<(u16, u128)> = tries
        .iter()
        .filter(in_window)
        .filter(|one| one.node < partitioned && one.status != 200)
        .map(|one| (one.status, one.took.as_millis()))
        .collect();
    statuses.truncate(8);
    let summary = format!(
        "partitioned nodes served {served_cut} of {all_cut}, others {served_others} of {all_others}; {statuses:?}"
    );
    println!("{summary}");
    println!(
        "{}",
        [true, false].map(|cut| latencies(tries.iter().filter(in_window), partitioned, cut)).join("; ")
    );
    expect_that!(all_cut, gt(20.0), "{summary}");
    let is_served = served_cut / all_cut >= SERVED_SHARE * served_others / all_others
        || all_cut - served_cut <= FAILURES_ALLOWED.0 + FAILURES_ALLOWED.1 * all_cut;
    expect_that!(is_served, eq(true), "{summary}");
    expect_promises_kept(fleet, &tries);
}

/// Median and 99th percentile of the times of served first tries, at partitioned or at other nodes.
fn latencies<'t>(tries: impl Iterator<Item = &'t FirstTry>, partitioned: usize, cut: bool) -> String {
    let served = tries.filter(|one| one.status == 200 && (one.node < partitioned) == cut);
    let mut times: Vec<Duration> = served.map(|one| one.took).collect();
    times.sort();
    let at = |share: f64| times.get((times.len() as f64 * share) as usize).copied().unwrap_or_default();
    format!("{}: p50 {:?}, p99 {:?}", if cut { "partitioned" } else { "others" }, at(0.5), at(0.99))
}

/// Checks that work that may not be repeated ran at most once, and not at all after a 503.
fn expect_promises_kept(fleet: &Fleet, tries: &[FirstTry]) {
    let runs = fleet.runs();
    let mut seen = HashSet::new();
    let repeated: HashSet<&String> = runs.iter().filter(|id| !seen.insert(*id)).collect();
    for one in tries.iter().filter(|one| !one.is_safe) {
        expect_that!(repeated.contains(&one.id), eq(false), "{} ran twice", one.id);
        expect_that!(one.status == 503 && seen.contains(&one.id), eq(false), "{} ran after 503", one.id);
    }
}

#[gtest]
fn a_node_whose_connections_to_all_upstreams_hang_serves_its_callers() {
    expect_served_as_elsewhere(3, 1, Partition::Silent);
}

#[gtest]
fn a_node_that_gets_no_bytes_from_any_upstream_serves_its_callers() {
    expect_served_as_elsewhere(3, 1, Partition::SilentToClient);
}

#[gtest]
fn a_node_whose_connections_to_all_upstreams_are_reset_serves_its_callers() {
    expect_served_as_elsewhere(3, 1, Partition::Reset);
}

#[gtest]
fn a_node_that_can_open_no_new_connection_to_any_upstream_serves_its_callers() {
    expect_served_as_elsewhere(3, 1, Partition::RejectNew);
}

#[gtest]
fn callers_are_served_although_most_nodes_cannot_reach_any_upstream() {
    expect_served_as_elsewhere(4, 3, Partition::Silent);
}

#[gtest]
fn a_node_that_reaches_one_upstream_only_serves_its_callers() {
    let fleet = Fleet::start(3, 6);
    expect_served(&fleet, 1, || fleet.partition_from_all_but_one(Partition::Silent));
}

/// Times for which the path is lost and back by turns, in milliseconds.
const FLAPS_MS: [u64; 8] = [500, 700, 1_200, 300, 3_000, 400, 600, 1_000];
/// Time after the last change within which all is as before.
const SETTLED: Duration = Duration::from_secs(2);

#[gtest]
fn a_node_whose_path_comes_and_goes_keeps_its_promises_and_serves_afterwards() {
    let fleet = Fleet::start(3, 3);
    let mut settled_at = Instant::now();
    let tries = fleet.with_callers(|| {
        for (flap, time_ms) in FLAPS_MS.iter().enumerate() {
            let partition = [Partition::Silent, Partition::Reset][flap / 2 % 2];
            if flap.is_multiple_of(2) {
                fleet.partition(2, partition)
            } else {
                fleet.heal()
            }
            thread::sleep(Duration::from_millis(*time_ms));
        }
        thread::sleep(SETTLED);
        settled_at = Instant::now();
        thread::sleep(Duration::from_secs(1));
    });
    let (served_after, all_after) = served(tries.iter().filter(|one| one.sent_at >= settled_at));
    println!("served {served_after} of {all_after} afterwards, {:?} during flaps", served(tries.iter()));
    expect_that!(all_after - served_after, le(FAILURES_ALLOWED.1 * all_after));
    expect_promises_kept(&fleet, &tries);
}

/// An address at which connections are never established: the queue of its listener is full.
struct BlackHole {
    address: SocketAddr,
    _listener: Socket,
    _queued: Vec<Socket>,
}

impl BlackHole {
    fn start() -> Self {
        let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        listener.bind(&SocketAddr::from((unique_address(), 8_080)).into()).unwrap();
        listener.listen(0).unwrap();
        let address = listener.local_addr().unwrap().as_socket().unwrap();
        let queue = || {
            let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
            socket.connect_timeout(&address.into(), Duration::from_millis(100)).map(|()| socket)
        };
        let queued = std::iter::from_fn(|| queue().ok()).collect();
        Self { address, _listener: listener, _queued: queued }
    }
}

#[gtest]
fn a_request_for_which_no_connection_opens_is_said_not_to_have_run() {
    let store = Store::start();
    store.configure(5, &ROUTES);
    let holes: Vec<BlackHole> = (0..3).map(|_| BlackHole::start()).collect();
    for (number, hole) in holes.iter().enumerate() {
        let upstream = Upstream::start(&format!("i-{number}"), UpstreamBehaviour::Normal);
        store.list_at(&upstream, hole.address, "ready", 1);
    }
    let node = NodeProcess::start(&store);
    node.wait_until_ready();
    for number in 0..6 {
        for (method, path) in [("GET", "/safe/a"), ("POST", "/unsafe/a")] {
            let id = format!("{method}-{number}");
            let response = node.request(method, path, &id, 500).unwrap();
            expect_that!(response.status(), eq(503), "{id}");
        }
    }
}

/// Longest time to refuse a request at once, on a busy machine.
const AT_ONCE: Duration = Duration::from_millis(150);
/// Share of the requests that may try the upstreams all the same.
const TRIALS_SHARE: f64 = 0.1;

/// Cuts off all of `nodes` nodes, and checks how long their callers wait for refusals from some time on.
fn expect_refused_at_once(nodes: usize) {
    let fleet = Fleet::start(nodes, 3);
    let mut judged = (Instant::now(), Instant::now());
    let tries = fleet.with_callers(|| {
        thread::sleep(Duration::from_secs(1));
        fleet.partition(nodes, Partition::Silent);
        thread::sleep(CONTACT);
        judged.0 = Instant::now();
        thread::sleep(JUDGED);
        judged.1 = Instant::now();
        fleet.heal();
    });
    let in_window: Vec<&FirstTry> =
        tries.iter().filter(|one| (judged.0..judged.1).contains(&one.sent_at)).collect();
    let is_refused_at_once = |one: &&&FirstTry| one.status == 503 && one.took <= AT_ONCE;
    let at_once = in_window.iter().filter(is_refused_at_once).count();
    println!("{at_once} of {} refused at once", in_window.len());
    expect_that!(in_window.len(), gt(100));
    expect_that!(at_once as f64, ge(in_window.len() as f64 * (1.0 - TRIALS_SHARE)));
    expect_promises_kept(&fleet, &tries);
}

#[gtest]
fn requests_are_not_held_to_their_deadlines_when_no_node_reaches_their_service() {
    expect_refused_at_once(3);
}

#[gtest]
fn requests_are_not_held_to_their_deadlines_by_a_lone_node_that_reaches_no_upstream() {
    expect_refused_at_once(1);
}

/// Concurrent requests that are under way when all connections are lost.
const UNDER_WAY: usize = 6;
/// Time that an upstream takes for a request that is to be under way for a while, in milliseconds.
const SLOW_SERVICE_MS: u64 = 300;

#[gtest]
fn a_request_is_not_quarantined_because_its_node_loses_all_upstreams_at_once() {
    let store = Store::start();
    store.configure(5, &ROUTES);
    let start = |number| Upstream::start(&format!("i-{number}"), UpstreamBehaviour::Delayed(SLOW_SERVICE_MS));
    let upstreams: Vec<Upstream> = (0..3).map(start).collect();
    upstreams.iter().for_each(|upstream| store.list(upstream, "ready", 1));
    let node = NodeProcess::start(&store);
    node.wait_until_ready();
    for round in 0..4 {
        thread::scope(|scope| {
            for number in 0..UNDER_WAY {
                let node = &node;
                scope.spawn(move || {
                    _ = node.request("POST", "/unsafe/a", &format!("{round}-{number}"), 1_000);
                });
            }
            thread::sleep(Duration::from_millis(150));
            // To a node, a path that refuses connections looks like upstreams that have all ended.
            upstreams.iter().for_each(Upstream::crash);
        });
        thread::sleep(Duration::from_millis(100));
        upstreams.iter().for_each(Upstream::restart);
        thread::sleep(Duration::from_millis(700));
    }
    let quarantined = node.log_lines().matches("\"request-quarantined\"").count();
    expect_that!(quarantined, eq(0));
    let after = node.request("POST", "/unsafe/a", "after", 2_000).unwrap();
    expect_that!(after.status(), eq(200));
}
