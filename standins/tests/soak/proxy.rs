//! A proxy that passes, delays, silences or resets the connections through it.

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

use crate::users_platform::own_address;

/// What becomes of bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    /// They pass.
    Sound,
    /// They pass later.
    Slow,
    /// They pass at the rate of a thin link.
    Thin,
    /// Those towards the server are lost, and those behind them.
    LostThere,
    /// Those towards the client are lost, and those behind them.
    LostBack,
    /// Connections break.
    Broken,
}

const DELAY: Duration = Duration::from_millis(120);
/// What a thin link carries, in bytes a second: 10 Mbit/s.
const THIN_BYTES_PER_S: f64 = 1_250_000.0;
const LOOK: Duration = Duration::from_millis(20);

/// A proxy before a server.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    link: Arc<Mutex<Link>>,
    /// How often open connections were silenced.
    silences: Arc<AtomicU64>,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    There,
    Back,
}

impl Proxy {
    pub fn start(server: SocketAddr) -> Self {
        let listener = TcpListener::bind((own_address(), 9_000)).unwrap();
        let proxy = Self {
            address: listener.local_addr().unwrap(),
            link: Arc::new(Mutex::new(Link::Sound)),
            silences: Arc::default(),
        };
        let accepting = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let way = Way::new(&accepting);
                thread::spawn(move || _ = join(client, server, &way));
            }
        });
        proxy
    }

    /// Connections that are open pass nothing more, for good, and nobody is told; new ones do as the link says.
    pub fn silence_open(&self) {
        self.silences.fetch_add(1, Ordering::SeqCst);
    }

    pub fn set(&self, link: Link) {
        *self.link.lock().unwrap() = link;
    }
}

/// What a connection's bytes pass.
#[derive(Clone)]
struct Way {
    link: Arc<Mutex<Link>>,
    silences: Arc<AtomicU64>,
    /// Silences before the connection was opened.
    silences_before: u64,
}

impl Way {
    fn new(proxy: &Proxy) -> Self {
        let silences_before = proxy.silences.load(Ordering::SeqCst);
        Self { link: Arc::clone(&proxy.link), silences: Arc::clone(&proxy.silences), silences_before }
    }

    fn is_silent(&self) -> bool {
        self.silences.load(Ordering::SeqCst) > self.silences_before
    }
}

fn join(client: TcpStream, server: SocketAddr, way: &Way) -> io::Result<()> {
    let server = TcpStream::connect(server)?;
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    // Both directions share the two descriptors.
    let (client, server) = (Arc::new(client), Arc::new(server));
    let (from, to, back) = (Arc::clone(&server), Arc::clone(&client), way.clone());
    thread::spawn(move || pass(&from, &to, &back, Direction::Back));
    pass(&client, &server, way, Direction::There);
    Ok(())
}

/// Passes bytes one way until either side ends or the link breaks.
fn pass(mut from: &TcpStream, mut to: &TcpStream, way: &Way, direction: Direction) {
    _ = from.set_read_timeout(Some(LOOK));
    let mut buffer = [0; 4_096];
    let mut lost = false;
    loop {
        let now = *way.link.lock().unwrap();
        if now == Link::Broken {
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
        // Bytes behind lost ones must not pass: a stream has no holes.
        lost |= way.is_silent();
        lost |= matches!(
            (now, direction),
            (Link::LostThere, Direction::There) | (Link::LostBack, Direction::Back)
        );
        match now {
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
