//! A proxy before a node that passes, delays, loses or resets what other nodes send to it.
//!
//! The node advertises the proxy's address and listens at another one. What it sends of its own accord goes straight to the proxies
//! of the others; only its answers to what came through its proxy go back through it. A full cut takes the proxies of both sides.
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

use socket2::SockRef;

/// Port for membership datagrams and, over TCP, queries.
pub const GOSSIP_PORT: u16 = 7_660;
/// Port for relays.
pub const RELAY_PORT: u16 = 7_661;
/// Port for news of quarantined requests.
pub const QUARANTINE_PORT: u16 = 7_662;
/// Time between two looks at the link while nothing comes. Not measured.
const LOOK: Duration = Duration::from_millis(50);
/// Time for a connection to a listener on loopback. Not measured.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Bytes of the longest datagram.
const DATAGRAM_BYTES: usize = 65_536;
/// Bytes of a connection that are passed at once. Not measured.
const PIECE_BYTES: usize = 65_536;

/// What becomes of datagrams and of the bytes of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerLink {
    /// They pass.
    Sound,
    /// They pass later: datagrams by the delay, connections by the delay for each piece.
    Slow(Duration),
    /// They are lost. Connections come up all the same: the kernel accepts them.
    Silent,
    /// What comes to the node is lost.
    LostIn,
    /// The node's answers are lost.
    LostOut,
    /// Connections are reset, datagrams are lost.
    Reset,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    In,
    Out,
}

impl PeerLink {
    fn loses(self, direction: Direction) -> bool {
        match self {
            Self::Sound | Self::Slow(_) => false,
            Self::Silent | Self::Reset => true,
            Self::LostIn => direction == Direction::In,
            Self::LostOut => direction == Direction::Out,
        }
    }

    fn delay(self) -> Duration {
        if let Self::Slow(delay) = self { delay } else { Duration::ZERO }
    }
}

/// What all threads of a proxy share.
struct Shared {
    link: Mutex<PeerLink>,
    stopped: AtomicBool,
    lost: AtomicU64,
}

impl Shared {
    fn link(&self) -> PeerLink {
        *self.link.lock().unwrap()
    }

    fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::SeqCst)
    }

    fn count_lost(&self) {
        self.lost.fetch_add(1, Ordering::SeqCst);
    }
}

/// A proxy before a node; its threads end soon after it is dropped.
pub struct PeerProxy {
    advertised: Ipv4Addr,
    shared: Arc<Shared>,
}

impl PeerProxy {
    pub fn start(advertised: Ipv4Addr, bound: Ipv4Addr) -> Self {
        let shared = Arc::new(Shared {
            link: Mutex::new(PeerLink::Sound),
            stopped: AtomicBool::default(),
            lost: AtomicU64::default(),
        });
        for port in [GOSSIP_PORT, RELAY_PORT, QUARANTINE_PORT] {
            let outer = Arc::new(datagram_socket((advertised, port).into()).unwrap());
            let shared = Arc::clone(&shared);
            thread::spawn(move || pass_datagrams(&outer, (bound, port).into(), &shared));
        }
        let listener = TcpListener::bind((advertised, GOSSIP_PORT)).unwrap();
        let accepting = Arc::clone(&shared);
        thread::spawn(move || accept(&listener, (bound, GOSSIP_PORT).into(), &accepting));
        Self { advertised, shared }
    }

    /// What becomes of what is received from now on.
    pub fn set(&self, link: PeerLink) {
        *self.shared.link.lock().unwrap() = link;
    }

    /// Datagrams and pieces of connections that were lost so far.
    pub fn lost(&self) -> u64 {
        self.shared.lost.load(Ordering::SeqCst)
    }
}

impl Drop for PeerProxy {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::SeqCst);
        // The thread that accepts looks at this after each connection.
        _ = TcpStream::connect_timeout(&(self.advertised, GOSSIP_PORT).into(), CONNECT_TIMEOUT);
    }
}

fn datagram_socket(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = UdpSocket::bind(address)?;
    socket.set_read_timeout(Some(LOOK))?;
    Ok(socket)
}

/// A datagram on its way.
struct Datagram {
    bytes: Vec<u8>,
    through: Arc<UdpSocket>,
    to: SocketAddr,
    due: Instant,
}

/// Sends datagrams when they are due, in the order in which they came.
fn send_when_due(datagrams: &Receiver<Datagram>) {
    for datagram in datagrams {
        thread::sleep(datagram.due.saturating_duration_since(Instant::now()));
        // One that cannot be sent is lost, as datagrams may be.
        _ = datagram.through.send_to(&datagram.bytes, datagram.to);
    }
}

fn start_sending() -> Sender<Datagram> {
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || send_when_due(&receiver));
    sender
}

/// Passes what comes to one port of the node; each sender has a socket of its own, by which the node's answers find back.
fn pass_datagrams(outer: &Arc<UdpSocket>, node: SocketAddr, shared: &Arc<Shared>) {
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
        // The queue ends after this thread.
        _ = queue.send(Datagram { bytes, through, to: node, due });
    });
}

/// A socket for one sender, whose datagrams go back to it.
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

/// Receives datagrams until the proxy stops, and hands on those that are not lost, with the time when they are due.
fn receive(
    socket: &UdpSocket,
    direction: Direction,
    shared: &Shared,
    mut take: impl FnMut(SocketAddr, Vec<u8>, Instant),
) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    while !shared.is_stopped() {
        // Nothing came, or an earlier datagram could not be delivered.
        let Ok((length, from)) = socket.recv_from(&mut buffer) else { continue };
        let link = shared.link();
        if link.loses(direction) {
            shared.count_lost();
        } else {
            take(from, buffer[..length].to_vec(), Instant::now() + link.delay());
        }
    }
}

fn accept(listener: &TcpListener, node: SocketAddr, shared: &Arc<Shared>) {
    for client in listener.incoming().flatten() {
        if shared.is_stopped() {
            return;
        }
        let shared = Arc::clone(shared);
        // A connection that breaks is for its two ends to notice.
        thread::spawn(move || _ = join(client, node, &shared));
    }
}

/// Joins another node's connection to one to the node.
fn join(client: TcpStream, node: SocketAddr, shared: &Arc<Shared>) -> io::Result<()> {
    if shared.link() == PeerLink::Reset {
        return reset_at_close(&client);
    }
    let Ok(server) = TcpStream::connect_timeout(&node, CONNECT_TIMEOUT) else {
        return reset_at_close(&client);
    };
    for stream in [&client, &server] {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(LOOK))?;
    }
    // Both directions share the two descriptors.
    let (client, server) = (Arc::new(client), Arc::new(server));
    let (from, to, back) = (Arc::clone(&server), Arc::clone(&client), Arc::clone(shared));
    thread::spawn(move || pass_bytes(&from, &to, Direction::Out, &back));
    pass_bytes(&client, &server, Direction::In, shared);
    Ok(())
}

/// Makes the close of a stream a reset.
fn reset_at_close(stream: &TcpStream) -> io::Result<()> {
    SockRef::from(stream).set_linger(Some(Duration::ZERO))
}

/// Passes bytes one way until they end, or until the link or the proxy ends the connection.
fn pass_bytes(mut from: &TcpStream, mut to: &TcpStream, direction: Direction, shared: &Shared) {
    let mut buffer = vec![0; PIECE_BYTES];
    let mut lost = false;
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
                if !lost {
                    _ = to.shutdown(Shutdown::Both);
                }
                return;
            }
        };
        // What follows lost bytes must not pass, the end included: a stream has no holes.
        lost |= link.loses(direction);
        if lost {
            shared.count_lost();
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
