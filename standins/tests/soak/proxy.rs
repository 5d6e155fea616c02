//! A TCP proxy that forwards, delays, silences or resets the connections through it.

use std::{
    io::{self, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
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

const DELAY: Duration = Duration::from_millis(120);
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
}

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
        };
        let accepting = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let connection = ConnectionLink::new(&accepting);
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

    pub fn set(&self, link: Link) {
        *self.link.lock().unwrap() = link;
    }
}

/// The link state of one connection.
#[derive(Clone)]
struct ConnectionLink {
    link: Arc<Mutex<Link>>,
    silences: Arc<AtomicU64>,
    /// Value of `silences` when the connection was opened.
    silences_before: u64,
}

impl ConnectionLink {
    fn new(proxy: &Proxy) -> Self {
        let silences_before = proxy.silences.load(Ordering::SeqCst);
        Self { link: Arc::clone(&proxy.link), silences: Arc::clone(&proxy.silences), silences_before }
    }

    fn is_silent(&self) -> bool {
        self.silences.load(Ordering::SeqCst) > self.silences_before
    }
}

fn bridge(client: TcpStream, server: SocketAddr, connection: &ConnectionLink) -> io::Result<()> {
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
        if link == Link::Broken {
            break;
        }
        let length = match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(length) => length,
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                continue;
            }
            Err(_) => break,
        };
        // Once bytes are dropped, nothing after them may pass: TCP data has no gaps.
        lost |= connection.is_silent();
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
