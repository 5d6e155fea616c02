//! A node on a low-bandwidth link, and a configuration that takes longer to transfer than any time-out.

mod users_platform;

use {
    googletest::prelude::*,
    pointvane_core::{
        CallerLimits, Change, RouteKind, RouteRule, RoutingConfiguration, ServiceRule, WeightedService,
    },
    pointvane_dispatch::{ConfigurationUpdate, ReadMark, StateOffer, StateReply, StateRequest},
    pointvane_mesh::codec,
    std::{
        io::{self, Write},
        net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
        sync::Arc,
        thread,
        time::Duration,
    },
    users_platform::{HOST, Log, NodeProcess, Store, eventually, unique_address, write_throttled},
};

/// Bandwidth of a link of 10 Mbit/s, in bytes per second.
const BANDWIDTH_BYTES_PER_S: u64 = 1_250_000;
/// Routes of a large configuration: encoded in the platform's format it takes a second on such a link.
const ROUTES: usize = 5_000;
/// Pause within a response: longer than the retransmission of a lost TCP segment, which takes about 200 ms.
const PAUSE: Duration = Duration::from_millis(300);
/// Port on which nodes answer queries of their peers.
const QUERY_PORT: u16 = 7_660;

fn path(number: usize) -> String {
    format!("/route-{number}/")
}

fn publish(store: &Store, version: u64, routes: usize) {
    let paths: Vec<String> = (0..routes).map(path).collect();
    let routes: Vec<_> = paths.iter().map(|path| (path.as_str(), "safe", 5_000, "app")).collect();
    store.configure(version, &routes);
}

/// Waits until a node serves the last route: it has no upstream and answers 503; until then it answers 404 or
/// 503 because it is not ready.
fn until_routes_known(node: &NodeProcess, routes: usize) {
    node.wait_until_ready();
    let path = path(routes - 1);
    eventually(|| node.request("GET", &path, "1", 1_000).is_ok_and(|response| response.status() == 503));
}

#[gtest]
fn a_large_configuration_is_transferred_over_a_slow_link_from_the_platform_and_from_a_peer() {
    learn_over_slow_link_from_platform();
    learn_over_slow_link_from_peer();
}

fn learn_over_slow_link_from_platform() {
    let store = Store::start();
    publish(&store, 5, 1);
    let node = NodeProcess::start(&store);
    node.wait_until_ready();
    store.limit_bandwidth(BANDWIDTH_BYTES_PER_S);
    publish(&store, 6, ROUTES);
    until_routes_known(&node, ROUTES);
    // A node that starts over the same link must be able to read it too.
    let second = NodeProcess::start(&store);
    until_routes_known(&second, ROUTES);
}

#[gtest]
fn of_a_burst_of_large_configurations_the_newest_is_read() {
    let store = Store::start();
    publish(&store, 5, 1);
    let node = NodeProcess::start(&store);
    node.wait_until_ready();
    let range_calls = store.range_calls();
    store.limit_bandwidth(BANDWIDTH_BYTES_PER_S);
    for version in 6..16 {
        publish(&store, version, ROUTES);
    }
    until_routes_known(&node, ROUTES);
    expect_that!(store.range_calls(), gt(range_calls));
}

fn learn_over_slow_link_from_peer() {
    learn_from_a_peer(|stream, response| write_throttled(stream, response, BANDWIDTH_BYTES_PER_S));
}

#[gtest]
fn a_pause_within_a_response_of_a_peer_does_not_abort_it() {
    learn_from_a_peer(|stream, response| {
        let (first, rest) = response.split_at(response.len() / 2);
        stream.write_all(first)?;
        thread::sleep(PAUSE);
        stream.write_all(rest)
    });
}

/// Starts a node that can learn the configuration only from a peer, which sends its responses with `write`.
fn learn_from_a_peer(write: impl Fn(&mut TcpStream, &[u8]) -> io::Result<()> + Send + 'static) {
    let peer = unique_address();
    serve_state(peer, write);
    let unreachable = SocketAddr::from((unique_address(), 8_142));
    let node = NodeProcess::start_at(unique_address(), unreachable, &[peer], Log::File);
    until_routes_known(&node, ROUTES);
}

/// Acts as a peer that knows a large configuration and sends its responses to queries with `write`.
fn serve_state(address: Ipv4Addr, write: impl Fn(&mut TcpStream, &[u8]) -> io::Result<()> + Send + 'static) {
    let listener = TcpListener::bind((address, QUERY_PORT)).unwrap();
    let mark = ReadMark { revision: 50, version: 6 };
    let configuration = ConfigurationUpdate::Whole(Box::new(large_configuration()));
    let reply = StateReply::new(mark, 0, true, Vec::<Change>::new(), Some(configuration));
    let offer = codec::encode_frame(&StateOffer::State { age_ms: 0 }).unwrap();
    let response = [offer, codec::compressed_frame(&reply).unwrap()].concat();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let Ok(_) = codec::read_frame::<StateRequest>(&mut stream) else { continue };
            // The node may abort the exchange.
            _ = write(&mut stream, &response);
        }
    });
}

fn large_configuration() -> RoutingConfiguration {
    let route = |number| RouteRule {
        name: format!("r{number}").as_str().into(),
        host: HOST.into(),
        path_prefix: path(number).as_str().into(),
        kind: RouteKind::Safe,
        timeout_ms: 5_000,
        target_latency_ms: 200,
        attempts_max: 2,
        priority: 1,
        backends: vec![WeightedService { service: "app".into(), weight: 1 }],
        public: false,
        allowed_regions: Vec::new(),
    };
    RoutingConfiguration {
        version: 6,
        routes: (0..ROUTES).map(route).map(Arc::new).collect(),
        services: vec![ServiceRule {
            name: "app".into(),
            health_path: "/health".into(),
            cold_requests_per_1000_s: 0,
        }],
        limits: CallerLimits::default(),
        accounts: None,
    }
}
