//! A TCP proxy that forwards, delays, silences or resets the connections through it, or only those of some
//! clients.

use socket2::SockRef;
use std::{
    collections::HashMap,
    io::{self, Read, Write},
    net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::users_platform::unique_address;

/// How the proxy treats the bytes of connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// Forwards everything.
    Healthy,
    /// Delays each chunk read by [`DELAY`].
    Slow,
    /// Forwards at the rate of a thin link.
    Thin,
    /// Drops bytes to the server, and everything after them.
    LostToServer,
    /// Drops bytes to the client, and everything after them.
    LostToClient,
    /// Closes connections.
    Broken,
}

/// How the proxy treats the connections of a client that is partitioned from the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Partition {
    /// Drops all bytes, on open and on new connections.
    Silent,
    /// Drops bytes to the client only.
    SilentToClient,
    /// Resets open and new connections.
    Reset,
    /// Forwards open connections and resets new ones.
    RejectNew,
    /// Forwards open connections, and new ones after [`NEW_CONNECTION_DELAY`].
    DelayNew,
}

const DELAY: Duration = Duration::from_millis(120);
/// Delay of new connections of clients in [`Partition::DelayNew`]: longer than a node waits for a probe, shorter
/// than the deadlines of requests.
const NEW_CONNECTION_DELAY: Duration = Duration::from_millis(400);
/// Rate of a thin link, in bytes per second: 10 Mbit/s.
const THIN_BYTES_PER_S: f64 = 1_250_000.0;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A proxy before a server.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    link: Arc<Mutex<Link>>,
    /// Number of calls of [`Proxy::silence_open_connections`].
    silences: Arc<AtomicU64>,
    /// Number of calls of [`Proxy::forget_open_connections`].
    forgets: Arc<AtomicU64>,
    /// Partitions by the address of the client.
    partitions: Partitions,
    /// Time that accepting a connection takes, in microseconds.
    accept_time_us: Arc<AtomicU64>,
}

type Partitions = Arc<Mutex<HashMap<IpAddr, Partition>>>;

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    ToServer,
    ToClient,
}

impl Proxy {
    pub fn start(server: SocketAddr) -> Self {
        let listener = TcpListener::bind((unique_address(), 9_000)).unwrap();
        let proxy = Self {
            address: listener.local_addr().unwrap(),
            link: Arc::new(Mutex::new(Link::Healthy)),
            silences: Arc::default(),
            forgets: Arc::default(),
            partitions: Arc::default(),
            accept_time_us: Arc::default(),
        };
        let accepting = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                thread::sleep(Duration::from_micros(accepting.accept_time_us.load(Ordering::SeqCst)));
                let connection =
                    ConnectionLink::new(&accepting, client.peer_addr().ok().map(|client| client.ip()));
                thread::spawn(move || _ = bridge(client, server, &connection));
            }
        });
        proxy
    }

    /// Makes open connections drop all data permanently without closing them; new connections follow the link
    /// state.
    pub fn silence_open_connections(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }

    /// Makes open connections close when the next bytes arrive from their client, which are dropped.
    #[allow(dead_code)]
    pub fn forget_open_connections(&self) {
        self.forgets.fetch_add(1, Ordering::SeqCst);
    }

    /// Sets the time that accepting a connection takes; connections are accepted one after another.
    #[allow(dead_code)]
    pub fn set_accept_time(&self, time: Duration) {
        self.accept_time_us.store(time.as_micros() as u64, Ordering::SeqCst);
    }

    pub fn set(&self, link: Link) {
        *self.link.lock().unwrap() = link;
    }

    /// Partitions the clients at an address from the server.
    pub fn partition(&self, client: IpAddr, partition: Partition) {
        self.partitions.lock().unwrap().insert(client, partition);
    }

    /// Ends the partition of the clients at an address. Connections that have lost bytes stay silent.
    pub fn heal(&self, client: IpAddr) {
        self.partitions.lock().unwrap().remove(&client);
    }
}

/// The link state of one connection.
#[derive(Clone)]
struct ConnectionLink {
    link: Arc<Mutex<Link>>,
    silences: Arc<AtomicU64>,
    /// Value of `silences` when the connection was opened.
    silences_before: u64,
    forgets: Arc<AtomicU64>,
    /// Value of `forgets` when the connection was opened.
    forgets_before: u64,
    partitions: Partitions,
    client: Option<IpAddr>,
}

impl ConnectionLink {
    fn new(proxy: &Proxy, client: Option<IpAddr>) -> Self {
        Self {
            link: Arc::clone(&proxy.link),
            silences: Arc::clone(&proxy.silences),
            silences_before: proxy.silences.load(Ordering::SeqCst),
            forgets: Arc::clone(&proxy.forgets),
            forgets_before: proxy.forgets.load(Ordering::SeqCst),
            partitions: Arc::clone(&proxy.partitions),
            client,
        }
    }

    /// The partition of the client that opened the connection, if there is one.
    fn partition(&self) -> Option<Partition> {
        self.partitions.lock().unwrap().get(&self.client?).copied()
    }

    fn is_forgotten(&self) -> bool {
        self.forgets.load(Ordering::SeqCst) > self.forgets_before
    }

    fn is_silent(&self) -> bool {
        self.silences.load(Ordering::SeqCst) > self.silences_before
    }
}

fn bridge(client: TcpStream, server: SocketAddr, connection: &ConnectionLink) -> io::Result<()> {
    if matches!(connection.partition(), Some(Partition::Reset | Partition::RejectNew)) {
        return SockRef::from(&client).set_linger(Some(Duration::ZERO));
    }
    if connection.partition() == Some(Partition::DelayNew) {
        thread::sleep(NEW_CONNECTION_DELAY);
    }
    let server = TcpStream::connect(server)?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    // Both directions share the two descriptors.
    let (client, server) = (Arc::new(client), Arc::new(server));
    let (from, to, back) = (Arc::clone(&server), Arc::clone(&client), connection.clone());
    thread::spawn(move || forward(&from, &to, &back, Direction::ToClient));
    forward(&client, &server, connection, Direction::ToServer);
    Ok(())
}

/// Forwards bytes in one direction until either side closes or the link breaks.
fn forward(mut from: &TcpStream, mut to: &TcpStream, connection: &ConnectionLink, direction: Direction) {
    _ = from.set_read_timeout(Some(POLL_INTERVAL));
    let mut buffer = [0; 4_096];
    let mut lost = false;
    loop {
        let link = *connection.link.lock().unwrap();
        let partition = connection.partition();
        if link == Link::Broken {
            break;
        }
        if partition == Some(Partition::Reset) {
            _ = SockRef::from(from).set_linger(Some(Duration::ZERO));
            _ = SockRef::from(to).set_linger(Some(Duration::ZERO));
            return;
        }
        let length = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(length) => length,
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                continue;
            }
            Err(_) => break,
        };
        if direction == Direction::ToServer && connection.is_forgotten() {
            break;
        }
        // Once bytes are dropped, nothing after them may pass: TCP data has no gaps.
        lost |= connection.is_silent() || connection.partition() == Some(Partition::Silent);
        lost |= direction == Direction::ToClient && connection.partition() == Some(Partition::SilentToClient);
        lost |= matches!(
            (link, direction),
            (Link::LostToServer, Direction::ToServer) | (Link::LostToClient, Direction::ToClient)
        );
        match link {
            Link::Slow => thread::sleep(DELAY),
            Link::Thin => thread::sleep(Duration::from_secs_f64(length as f64 / THIN_BYTES_PER_S)),
            _ => {}
        }
        if !lost && to.write_all(&buffer[..length]).is_err() {
            break;
        }
    }
    _ = from.shutdown(Shutdown::Both);
    _ = to.shutdown(Shutdown::Both);
}
