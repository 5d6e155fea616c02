//! A proxy before a node that forwards, delays, drops or resets the messages of other nodes.
//!
//! The node advertises the proxy's address and listens at another one. Messages that it initiates go directly
//! to the proxies of other nodes; only its answers to messages received through its own proxy return through
//! that. To cut all traffic, impair the proxies of both sides.
#![allow(dead_code)]

use std::{
    collections::HashMap,
    io::{self, Read, Write},
    net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
        mpsc::{self, Receiver, Sender},
    },
    thread,
    time::{Duration, Instant},
};

use socket2::{Domain, SockRef, Socket, Type};

/// Port for membership datagrams and, over TCP, queries.
pub const GOSSIP_PORT: u16 = 7_660;
/// Port for relays.
pub const RELAY_PORT: u16 = 7_661;
/// Port for reports of quarantined requests.
pub const QUARANTINE_PORT: u16 = 7_662;
/// Port for forwarded requests, over TCP.
pub const FORWARD_PORT: u16 = 7_665;
/// Port of contention messages.
pub const CONTENTION_PORT: u16 = 7_666;
/// Read timeout, after which an idle reader checks the link state and whether the proxy has stopped.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Timeout of a connection attempt to a listener on loopback.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Size of the largest datagram, in bytes.
const DATAGRAM_BYTES: usize = 65_536;
/// Size of the read buffer of a connection, in bytes.
const READ_BUFFER_BYTES: usize = 65_536;

/// How the proxy treats datagrams and the bytes of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerLink {
    /// Forwards everything.
    Healthy,
    /// Delays each datagram, and each chunk read from a connection, by this time.
    Slow(Duration),
    /// Drops everything. Connections are still established, since the kernel accepts them.
    DropAll,
    /// Drops what is sent to the node.
    DropInbound,
    /// Drops the node's answers.
    DropOutbound,
    /// Resets connections and drops datagrams.
    Reset,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    In,
    Out,
}

impl PeerLink {
    fn drops(self, direction: Direction) -> bool {
        match self {
            Self::Healthy | Self::Slow(_) => false,
            Self::DropAll | Self::Reset => true,
            Self::DropInbound => direction == Direction::In,
            Self::DropOutbound => direction == Direction::Out,
        }
    }

    fn delay(self) -> Duration {
        if let Self::Slow(delay) = self { delay } else { Duration::ZERO }
    }
}

/// State shared by the threads of a proxy.
struct Shared {
    link: Mutex<PeerLink>,
    stopped: AtomicBool,
    dropped: AtomicU64,
}

impl Shared {
    fn link(&self) -> PeerLink {
        *self.link.lock().unwrap()
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    fn count_dropped(&self) {
        self.dropped.fetch_add(1, Ordering::SeqCst);
    }
}

/// A proxy before a node; its threads end soon after it is dropped.
pub struct PeerProxy {
    advertised: Ipv4Addr,
    shared: Arc<Shared>,
}

impl PeerProxy {
    pub fn start(advertised: Ipv4Addr, bind_ip: Ipv4Addr) -> Self {
        let shared = Arc::new(Shared {
            link: Mutex::new(PeerLink::Healthy),
            stopped: AtomicBool::default(),
            dropped: AtomicU64::default(),
        });
        for port in [GOSSIP_PORT, RELAY_PORT, QUARANTINE_PORT, CONTENTION_PORT] {
            let outer = Arc::new(datagram_socket((advertised, port).into()).unwrap());
            let shared = Arc::clone(&shared);
            thread::spawn(move || forward_datagrams(&outer, (bind_ip, port).into(), &shared));
        }
        for port in [GOSSIP_PORT, FORWARD_PORT] {
            let listener = TcpListener::bind((advertised, port)).unwrap();
            let accepting = Arc::clone(&shared);
            thread::spawn(move || accept(&listener, (bind_ip, port).into(), &accepting));
        }
        Self { advertised, shared }
    }

    /// Sets how data received from now on is treated.
    pub fn set(&self, link: PeerLink) {
        *self.shared.link.lock().unwrap() = link;
    }

    /// Returns the number of datagrams and connection chunks dropped so far.
    pub fn dropped(&self) -> u64 {
        self.shared.dropped.load(Ordering::SeqCst)
    }
}

impl Drop for PeerProxy {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
        // The accepting threads check `stopped` after each connection.
        for port in [GOSSIP_PORT, FORWARD_PORT] {
            _ = TcpStream::connect_timeout(&(self.advertised, port).into(), CONNECT_TIMEOUT);
        }
    }
}

fn datagram_socket(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(address)?;
    socket.set_read_timeout(Some(POLL_INTERVAL))?;
    Ok(socket)
}

/// A datagram waiting to be sent.
struct Datagram {
    bytes: Vec<u8>,
    through: Arc<UdpSocket>,
    to: SocketAddr,
    due: Instant,
}

/// Sends datagrams when they are due, in order of arrival.
fn send_when_due(datagrams: &Receiver<Datagram>) {
    for datagram in datagrams {
        thread::sleep(datagram.due.saturating_duration_since(Instant::now()));
        // A failed send counts as datagram loss.
        _ = datagram.through.send_to(&datagram.bytes, datagram.to);
    }
}

fn start_sending() -> Sender<Datagram> {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || send_when_due(&receiver));
    sender
}

/// Forwards datagrams to one port of the node. Each sender gets its own socket, through which the node's
/// answers return to it.
fn forward_datagrams(outer: &Arc<UdpSocket>, node: SocketAddr, shared: &Arc<Shared>) {
    let queue = start_sending();
    let mut inner_sockets: HashMap<SocketAddr, Arc<UdpSocket>> = HashMap::new();
    receive(outer, Direction::In, shared, |from, bytes, due| {
        let through = match inner_sockets.get(&from) {
            Some(inner) => Arc::clone(inner),
            None => {
                let Ok(inner) = inner_socket(outer, from, shared) else { return };
                inner_sockets.insert(from, Arc::clone(&inner));
                inner
            }
        };
        // The receiver lives longer than this thread.
        _ = queue.send(Datagram { bytes, through, to: node, due });
    });
}

/// Creates the socket for one sender and forwards what it receives back to that sender.
fn inner_socket(
    outer: &Arc<UdpSocket>,
    sender: SocketAddr,
    shared: &Arc<Shared>,
) -> io::Result<Arc<UdpSocket>> {
    let inner = Arc::new(datagram_socket((Ipv4Addr::LOCALHOST, 0).into())?);
    let (answers, outer, shared) = (Arc::clone(&inner), Arc::clone(outer), Arc::clone(shared));
    thread::spawn(move || {
        let queue = start_sending();
        receive(&answers, Direction::Out, &shared, |_, bytes, due| {
            _ = queue.send(Datagram { bytes, through: Arc::clone(&outer), to: sender, due });
        });
    });
    Ok(inner)
}

/// Receives datagrams until the proxy stops, and passes those that are not dropped to `handle` with their due
/// time.
fn receive(
    socket: &UdpSocket,
    direction: Direction,
    shared: &Shared,
    mut handle: impl FnMut(SocketAddr, Vec<u8>, Instant),
) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    while !shared.is_stopped() {
        // Timeout, or an ICMP error for an earlier datagram.
        let Ok((length, from)) = socket.recv_from(&mut buffer) else { continue };
        let link = shared.link();
        if link.drops(direction) {
            shared.count_dropped();
        } else {
            handle(from, buffer[..length].to_vec(), Instant::now() + link.delay());
        }
    }
}

fn accept(listener: &TcpListener, node: SocketAddr, shared: &Arc<Shared>) {
    for client in listener.incoming().flatten() {
        if shared.is_stopped() {
            return;
        }
        let shared = Arc::clone(shared);
        // Errors are ignored: both ends notice that the connection has closed.
        thread::spawn(move || _ = bridge(client, node, &shared));
    }
}

/// Connects another node's connection to the node.
fn bridge(client: TcpStream, node: SocketAddr, shared: &Arc<Shared>) -> io::Result<()> {
    if shared.link() == PeerLink::Reset {
        return reset_at_close(&client);
    }
    let Ok(server) = connect_as(client.peer_addr()?, node) else {
        return reset_at_close(&client);
    };
    for stream in [&client, &server] {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(POLL_INTERVAL))?;
    }
    // Both directions share the two descriptors.
    let (client, server) = (Arc::new(client), Arc::new(server));
    let (from, to, outbound_shared) = (Arc::clone(&server), Arc::clone(&client), Arc::clone(shared));
    thread::spawn(move || forward_bytes(&from, &to, Direction::Out, &outbound_shared));
    forward_bytes(&client, &server, Direction::In, shared);
    Ok(())
}

/// Connects to the node from the address of the client, by which the node recognizes it.
fn connect_as(client: SocketAddr, node: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.bind(&SocketAddr::new(client.ip(), 0).into())?;
    socket.connect_timeout(&node.into(), CONNECT_TIMEOUT)?;
    Ok(socket.into())
}

/// Makes closing the stream send a reset.
fn reset_at_close(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

/// Forwards bytes in one direction until the stream ends, or until the link state or the proxy ends it.
fn forward_bytes(mut from: &TcpStream, mut to: &TcpStream, direction: Direction, shared: &Shared) {
    let mut buffer = vec![0; READ_BUFFER_BYTES];
    let mut dropped = false;
    loop {
        let read = from.read(&mut buffer);
        let link = shared.link();
        if link == PeerLink::Reset || shared.is_stopped() {
            _ = reset_at_close(from).and_then(|()| reset_at_close(to));
            return;
        }
        let length = match read {
            Ok(length) => length,
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                continue;
            }
            Err(_) => {
                if !dropped {
                    _ = to.shutdown(Shutdown::Both);
                }
                return;
            }
        };
        // Once bytes are dropped, nothing after them may pass, the end of the stream included: TCP data has
        // no gaps.
        dropped |= link.drops(direction);
        if dropped {
            shared.count_dropped();
        } else {
            thread::sleep(link.delay());
            let passed =
                if length == 0 { to.shutdown(Shutdown::Write) } else { to.write_all(&buffer[..length]) };
            if passed.is_err() {
                _ = from.shutdown(Shutdown::Both);
                return;
            }
        }
        if length == 0 {
            return;
        }
    }
}
