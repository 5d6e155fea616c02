//! Upstreams that accept no connections, or accept requests and never respond, while others of their service
//! are idle.
//!
//! The others answer probes late, as on a busy machine, so that no search finds an upstream known to be
//! uncontended.

mod users_platform;

use {
    googletest::prelude::*,
    socket2::{Domain, Socket, Type},
    std::{
        net::{SocketAddr, TcpStream},
        thread,
        time::Duration,
    },
    users_platform::{NodeProcess, Store, Upstream, UpstreamBehaviour, unique_address},
};

const ROUTES: [(&str, &str, u64, &str); 2] =
    [("/safe/", "safe", 2_000, "app"), ("/unsafe/", "unsafe", 2_000, "app")];
/// Deadline of a request, in milliseconds.
const DEADLINE_MS: u64 = 2_000;
/// Time that the idle upstreams take to answer a probe, in milliseconds: longer than a search waits.
const PROBE_RESPONSE_MS: u64 = 45;

/// Interval between two requests: long enough for the load report of the last response to become stale.
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);

/// A listener whose accept queue is full, so that no further connection is established.
struct FullListener {
    address: SocketAddr,
    _socket: Socket,
    _connections: Vec<TcpStream>,
}

impl FullListener {
    fn start() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from((unique_address(), 8_080)).into()).unwrap();
        socket.listen(0).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        // A backlog of 0 holds one connection.
        let connections = vec![TcpStream::connect(address).unwrap()];
        Self { address, _socket: socket, _connections: connections }
    }
}

fn statuses(node: &NodeProcess, kind: &str, count: usize) -> Vec<u16> {
    let method = if kind == "safe" { "GET" } else { "POST" };
    let call = |number| {
        thread::sleep(REQUEST_INTERVAL);
        let path = format!("/{kind}/a");
        node.request(method, &path, &format!("{kind}-{number}"), DEADLINE_MS)
            .map_or(0, |response| response.status())
    };
    (0..count).map(call).collect()
}

/// Guards against a request being refused as late because of the time lost on unreachable upstreams.
#[gtest]
fn a_request_is_served_although_some_upstreams_accept_no_connections() {
    let store = Store::start();
    store.configure(5, &ROUTES);
    let idle: Vec<Upstream> = (0..2)
        .map(|number| {
            Upstream::start(&format!("i-{number}"), UpstreamBehaviour::SlowProbes(PROBE_RESPONSE_MS))
        })
        .collect();
    idle.iter().for_each(|upstream| store.list(upstream, "ready", 1));
    let full: Vec<FullListener> = (0..4).map(|_| FullListener::start()).collect();
    for (number, listener) in full.iter().enumerate() {
        let unreachable = Upstream::start(&format!("full-{number}"), UpstreamBehaviour::Normal);
        store.list_at(&unreachable, listener.address, "ready", 1);
    }
    let node = NodeProcess::start(&store);
    node.wait_until_ready();
    expect_that!(statuses(&node, "safe", 12), each(eq(&200)));
    expect_that!(statuses(&node, "unsafe", 12), each(eq(&200)));
}

/// Guards against a hedge being considered only once: if no uncontended upstream is known at that moment, the
/// request would wait for the silent upstream until its deadline.
#[gtest]
fn a_request_waiting_for_a_silent_upstream_is_hedged_before_its_deadline() {
    let store = Store::start();
    store.configure(5, &ROUTES);
    let start = |number, behaviour| {
        let upstream = Upstream::start(&format!("i-{number}"), behaviour);
        store.list(&upstream, "ready", 1);
        upstream
    };
    let _idle = start(0, UpstreamBehaviour::SlowProbes(PROBE_RESPONSE_MS));
    let silent = start(1, UpstreamBehaviour::Normal);
    let node = NodeProcess::start(&store);
    node.wait_until_ready();
    // Requests fill the hedge budget.
    expect_that!(statuses(&node, "safe", 40), each(eq(&200)));
    silent.set_behaviour(UpstreamBehaviour::Silent);
    expect_that!(statuses(&node, "safe", 16), each(eq(&200)));
    expect_that!(silent.run_count(), ge(1));
}
