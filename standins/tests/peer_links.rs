//! Nodes that reach each other through proxies, which forward, delay, drop or reset the traffic between them.

#[path = "soak/peer_proxy.rs"]
mod peer_proxy;
mod users_platform;

use {
    googletest::prelude::*,
    peer_proxy::{GOSSIP_PORT, PeerLink, PeerProxy, QUARANTINE_PORT, RELAY_PORT},
    serde_json::Value,
    std::{
        io::{self, Read, Write},
        net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream, UdpSocket},
        thread,
        time::{Duration, Instant},
    },
    users_platform::{Log, NodeProcess, Store, call, eventually, unique_address},
};

const OPERATOR_PORT: u16 = 9_464;
const NODES: usize = 3;
/// One-way delay of a slow link. A query and its response take twice that, which must stay well below the 200
/// ms (`peer_timeout_ms`) within which a response must begin.
const LINK_DELAY: Duration = Duration::from_millis(50);
/// Duration of a one-way loss: several times as long as all queries for one revision take.
const LOSS_DURATION: Duration = Duration::from_secs(3);
/// Maximum wait for an echoed response.
const ECHO_TIMEOUT: Duration = Duration::from_secs(20);

/// Nodes behind proxies. Only the first one reaches the platform's store; the others get everything from
/// their peers.
struct Fleet {
    proxies: Vec<PeerProxy>,
    nodes: Vec<NodeProcess>,
    store: Store,
}

impl Fleet {
    fn start() -> Self {
        let store = Store::start();
        let unreachable = SocketAddr::from((unique_address(), 8_142));
        let addresses: Vec<(Ipv4Addr, Ipv4Addr)> =
            (0..NODES).map(|_| (unique_address(), unique_address())).collect();
        let seeds: Vec<Ipv4Addr> = addresses.iter().map(|(advertised, _)| *advertised).collect();
        let proxies = addresses.iter().map(|(advertised, bound)| PeerProxy::start(*advertised, *bound));
        let proxies = proxies.collect();
        let nodes = addresses.iter().enumerate().map(|(number, (advertised, bound))| {
            let store = if number == 0 { store.address } else { unreachable };
            NodeProcess::start_bound(*advertised, *bound, store, &seeds, Log::File)
        });
        let fleet = Self { proxies, nodes: nodes.collect(), store };
        fleet.publish(1);
        fleet
    }

    /// Sets the state of the links of all nodes.
    fn set(&self, link: PeerLink) {
        self.proxies.iter().for_each(|proxy| proxy.set(link));
    }

    fn publish(&self, version: u64) {
        self.store.configure(version, &[("/safe/", "safe", 2_000, "app")]);
    }

    fn until_all_converged(&self, version: u64) {
        for node in &self.nodes {
            node.wait_until_ready();
            eventually(|| field(node, "members") == NODES as u64);
            eventually(|| field(node, "configuration_version") == version);
        }
    }
}

/// Reads a number from the status of a node; 0 if it is not available.
fn field(node: &NodeProcess, name: &str) -> u64 {
    let head = "GET /status HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
    let response = call((node.ip, OPERATOR_PORT).into(), head);
    let status = response.ok().and_then(|response| serde_json::from_slice::<Value>(&response.body).ok());
    status.and_then(|status| status[name].as_u64()).unwrap_or_default()
}

#[gtest]
fn nodes_converge_again_after_each_partition() {
    let fleet = Fleet::start();
    fleet.until_all_converged(1);
    for (version, cut) in [(2, PeerLink::DropAll), (3, PeerLink::Reset)] {
        fleet.set(cut);
        for node in &fleet.nodes {
            eventually(|| field(node, "members") == 1);
        }
        fleet.publish(version);
        eventually(|| field(&fleet.nodes[0], "configuration_version") == version);
        for node in &fleet.nodes[1..] {
            expect_that!(field(node, "configuration_version"), eq(version - 1));
        }
        fleet.set(PeerLink::Healthy);
        fleet.until_all_converged(version);
    }
}

#[gtest]
fn nodes_learn_a_configuration_over_slow_links() {
    let fleet = Fleet::start();
    fleet.until_all_converged(1);
    fleet.set(PeerLink::Slow(LINK_DELAY));
    fleet.publish(2);
    fleet.until_all_converged(2);
}

#[gtest]
fn nodes_learn_a_configuration_after_inbound_loss() {
    expect_convergence_after(PeerLink::DropInbound);
}

#[gtest]
fn nodes_learn_a_configuration_after_outbound_loss() {
    expect_convergence_after(PeerLink::DropOutbound);
}

/// Publishes a configuration during a loss and checks that all nodes learn it once the loss is over.
fn expect_convergence_after(loss: PeerLink) {
    let fleet = Fleet::start();
    fleet.until_all_converged(1);
    let before: Vec<u64> = fleet.proxies.iter().map(PeerProxy::dropped).collect();
    fleet.set(loss);
    fleet.publish(2);
    eventually(|| field(&fleet.nodes[0], "configuration_version") == 2);
    // Longer than all queries for one revision take.
    thread::sleep(LOSS_DURATION);
    for (proxy, before) in fleet.proxies.iter().zip(before) {
        expect_that!(proxy.dropped(), gt(before));
    }
    fleet.set(PeerLink::Healthy);
    fleet.until_all_converged(2);
}

/// Echoes datagrams sent to an address.
fn echo_datagrams(address: SocketAddr) {
    let socket = UdpSocket::bind(address).unwrap();
    thread::spawn(move || {
        let mut buffer = [0; 64];
        while let Ok((length, from)) = socket.recv_from(&mut buffer) {
            _ = socket.send_to(&buffer[..length], from);
        }
    });
}

/// Echoes the bytes of connections to an address.
fn echo_connections(address: SocketAddr) {
    let listener = TcpListener::bind(address).unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || io::copy(&mut &stream, &mut &stream));
        }
    });
}

/// Sends a datagram to a proxied port.
fn send(socket: &UdpSocket, to: SocketAddr, text: &str) {
    socket.send_to(text.as_bytes(), to).unwrap();
}

/// Receives the next datagram, which must come from the expected address.
fn receive(socket: &UdpSocket, expected_from: SocketAddr) -> String {
    let mut buffer = [0; 64];
    let (length, from) = socket.recv_from(&mut buffer).unwrap();
    assert_eq!(from, expected_from);
    String::from_utf8(buffer[..length].to_vec()).unwrap()
}

fn datagram_client() -> UdpSocket {
    let socket = UdpSocket::bind((unique_address(), 0)).unwrap();
    socket.set_read_timeout(Some(ECHO_TIMEOUT)).unwrap();
    socket
}

#[gtest]
fn datagrams_are_forwarded_delayed_or_dropped_and_responses_reach_their_sender() {
    let (advertised, bound) = (unique_address(), unique_address());
    let proxy = PeerProxy::start(advertised, bound);
    for port in [GOSSIP_PORT, RELAY_PORT, QUARANTINE_PORT] {
        echo_datagrams((bound, port).into());
        let to = SocketAddr::from((advertised, port));
        let (one, other) = (datagram_client(), datagram_client());
        send(&one, to, "one");
        send(&other, to, "other");
        expect_that!(receive(&one, to), eq("one"));
        expect_that!(receive(&other, to), eq("other"));
        for loss in [PeerLink::DropAll, PeerLink::DropInbound, PeerLink::DropOutbound, PeerLink::Reset] {
            let dropped = proxy.dropped();
            proxy.set(loss);
            send(&one, to, "lost");
            eventually(|| proxy.dropped() == dropped + 1);
            proxy.set(PeerLink::Healthy);
            send(&one, to, "sound");
            expect_that!(receive(&one, to), eq("sound"));
        }
        proxy.set(PeerLink::Slow(LINK_DELAY));
        let sent_at = Instant::now();
        send(&one, to, "slow");
        expect_that!(receive(&one, to), eq("slow"));
        // Both directions are delayed.
        expect_that!(sent_at.elapsed(), ge(2 * LINK_DELAY));
        proxy.set(PeerLink::Healthy);
    }
}

/// Opens a connection and completes one echo on it.
fn echoed_connection(to: SocketAddr) -> TcpStream {
    let mut stream = TcpStream::connect(to).unwrap();
    stream.set_read_timeout(Some(ECHO_TIMEOUT)).unwrap();
    stream.write_all(b"well").unwrap();
    let mut response = [0; 4];
    stream.read_exact(&mut response).unwrap();
    assert_eq!(&response, b"well");
    stream
}

#[gtest]
fn connections_are_forwarded_with_their_end_dropped_after_a_loss_and_reset() {
    let (advertised, bound) = (unique_address(), unique_address());
    let proxy = PeerProxy::start(advertised, bound);
    echo_connections((bound, GOSSIP_PORT).into());
    let to = SocketAddr::from((advertised, GOSSIP_PORT));
    let stream = echoed_connection(to);
    stream.shutdown(std::net::Shutdown::Write).unwrap();
    expect_that!((&stream).read(&mut [0; 4]).unwrap(), eq(0));
    for loss in [PeerLink::DropAll, PeerLink::DropInbound, PeerLink::DropOutbound] {
        let mut stream = echoed_connection(to);
        let dropped = proxy.dropped();
        proxy.set(loss);
        stream.write_all(b"lost").unwrap();
        eventually(|| proxy.dropped() == dropped + 1);
        proxy.set(PeerLink::Healthy);
        stream.write_all(b"more").unwrap();
        eventually(|| proxy.dropped() == dropped + 2);
        // The end of the connection is dropped as well; wait for it, so that it is not counted for the next
        // one.
        drop(stream);
        eventually(|| proxy.dropped() == dropped + 3);
    }
    let mut stream = echoed_connection(to);
    proxy.set(PeerLink::Reset);
    expect_that!(stream.read(&mut [0; 4]).unwrap_err().kind(), eq(io::ErrorKind::ConnectionReset));
}

#[gtest]
fn a_dropped_proxy_releases_its_addresses() {
    let (advertised, bound) = (unique_address(), unique_address());
    drop(PeerProxy::start(advertised, bound));
    eventually(|| {
        let gossip = UdpSocket::bind((advertised, GOSSIP_PORT)).is_ok();
        let relays = UdpSocket::bind((advertised, RELAY_PORT)).is_ok();
        gossip && relays && TcpListener::bind((advertised, GOSSIP_PORT)).is_ok()
    });
}
