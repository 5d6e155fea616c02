//! Upstreams that take no connections, or take requests and never answer, while others of their service have nothing to do.
//!
//! The others answer probes late, as on a busy machine, so that no search finds an upstream that is known to be uncontended.

mod users_platform;

use {
    googletest::prelude::*,
    socket2::{Domain, Socket, Type},
    std::{
        net::{SocketAddr, TcpStream},
        thread,
        time::Duration,
    },
    users_platform::{Manner, NodeProcess, Store, Upstream, own_address},
};

const ROUTES: [(&str, &str, u64, &str); 2] =
    [("/safe/", "safe", 2_000, "app"), ("/unsafe/", "unsafe", 2_000, "app")];
/// Time that callers give a request, in milliseconds.
const DEADLINE_MS: u64 = 2_000;
/// Time after which the others answer a probe, in milliseconds: longer than a search waits for it.
const PROBED_MS: u64 = 45;

/// Rest before each request: the load report of the last answer is old by then.
const REST: Duration = Duration::from_millis(60);

/// Something that listens and takes no connections: those that it might have are taken already.
struct FullListener {
    address: SocketAddr,
    _socket: Socket,
    _connections: Vec<TcpStream>,
}

impl FullListener {
    fn start() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&SocketAddr::from((own_address(), 8_080)).into()).unwrap();
        socket.listen(0).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        // A queue of no length holds one.
        let connections = vec![TcpStream::connect(address).unwrap()];
        Self { address, _socket: socket, _connections: connections }
    }
}

fn statuses(node: &NodeProcess, kind: &str, count: usize) -> Vec<u16> {
    let method = if kind == "safe" { "GET" } else { "POST" };
    let call = |number| {
        thread::sleep(REST);
        let path = format!("/{kind}/a");
        node.request(method, &path, &format!("{kind}-{number}"), DEADLINE_MS)
            .map_or(0, |answer| answer.status())
    };
    (0..count).map(call).collect()
}

/// A request that was refused as late for the time that an upstream took which could not be reached.
#[gtest]
fn a_request_is_served_though_the_first_upstreams_take_no_connections() {
    let store = Store::start();
    store.configure(5, &ROUTES);
    let good: Vec<Upstream> =
        (0..2).map(|number| Upstream::start(&format!("i-{number}"), Manner::LateHealth(PROBED_MS))).collect();
    good.iter().for_each(|upstream| store.list(upstream, "ready", 1));
    let full: Vec<FullListener> = (0..4).map(|_| FullListener::start()).collect();
    for (number, listener) in full.iter().enumerate() {
        let gone = Upstream::start(&format!("full-{number}"), Manner::Well);
        store.list_at(&gone, listener.address, "ready", 1);
    }
    let node = NodeProcess::start(&store);
    node.until_ready();
    expect_that!(statuses(&node, "safe", 12), each(eq(&200)));
    expect_that!(statuses(&node, "unsafe", 12), each(eq(&200)));
}

/// A request that waited for a silent upstream until its deadline, since the one moment at which a hedge was considered found no uncontended one.
#[gtest]
fn a_request_that_waits_for_a_silent_upstream_is_hedged_as_long_as_there_is_time() {
    let store = Store::start();
    store.configure(5, &ROUTES);
    let start = |number, manner| {
        let upstream = Upstream::start(&format!("i-{number}"), manner);
        store.list(&upstream, "ready", 1);
        upstream
    };
    let _good = start(0, Manner::LateHealth(PROBED_MS));
    let silent = start(1, Manner::Well);
    let node = NodeProcess::start(&store);
    node.until_ready();
    // Requests earn the budget of which a hedge takes.
    expect_that!(statuses(&node, "safe", 40), each(eq(&200)));
    silent.set(Manner::Silent);
    expect_that!(statuses(&node, "safe", 16), each(eq(&200)));
    expect_that!(silent.runs(), ge(1));
}
