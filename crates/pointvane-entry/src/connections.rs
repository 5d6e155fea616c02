//! Kept connections to upstreams and to other entry VMs.
//!
//! A connection carries one request at a time and is kept only after a whole answer. Nothing here sends a
//! request twice: a request whose connection died unused is given back by `hyper`, unsent.

use {
    crate::request_body::RequestBody,
    hyper::{
        Request, Response,
        body::Incoming,
        client::conn::http1::{self, SendRequest},
    },
    hyper_util::rt::TokioIo,
    pointvane_telemetry::Moment,
    std::{
        collections::HashMap,
        future::poll_fn,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        task::Poll,
        time::Duration,
    },
    tokio::{net::TcpStream, time::timeout},
};

/// Idle connections kept to one address. Not measured.
const IDLE_MAX: usize = 64;
/// Idle connections opened ahead to one address, so that requests rarely wait for a new one.
///
/// Before that, such waits made the p99 of the time added 1.6 to 1.8 ms in the demo (docs/DESIGN.md).
const SPARE: usize = 4;
/// Longest time for a new connection. Not measured.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

type Idle = Mutex<HashMap<SocketAddr, Place>>;

/// An open connection that carries no request.
#[derive(Debug)]
struct Opened {
    sender: SendRequest<RequestBody>,
    /// Time that it took to open.
    round_trip: Duration,
}

/// The idle connections of one address.
#[derive(Debug, Default)]
struct Place {
    idle: Vec<Opened>,
    opening: usize,
}

/// Kept connections by address.
#[derive(Clone, Debug, Default)]
pub struct Connections {
    idle: Arc<Idle>,
}

/// A connection checked out for one request; closed when dropped without [`Self::keep`].
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    opened: Opened,
    idle: Arc<Idle>,
}

/// Why there is no answer.
#[derive(Debug)]
pub enum SendError {
    /// No byte was sent; here is the request.
    Unsent(Box<Request<RequestBody>>),
    /// Some of it may have been sent.
    Broken,
}

/// No connection could be made.
#[derive(Clone, Copy, Debug)]
pub struct Unreachable;

impl Connections {
    /// A kept connection that still stands, or a new one.
    ///
    /// # Errors
    /// [`Unreachable`] when none can be made.
    pub async fn get(&self, address: SocketAddr) -> Result<Connection, Unreachable> {
        while let Some(mut opened) = self.pop(address) {
            if ready_now(&mut opened.sender).await {
                self.open_spare(address);
                return Ok(Connection { address, opened, idle: Arc::clone(&self.idle) });
            }
        }
        let opened = open(address).await?;
        self.open_spare(address);
        Ok(Connection { address, opened, idle: Arc::clone(&self.idle) })
    }

    fn pop(&self, address: SocketAddr) -> Option<Opened> {
        lock(&self.idle).get_mut(&address)?.idle.pop()
    }

    /// Opens one connection ahead if few are idle; only after one was had, so never to what cannot be reached.
    fn open_spare(&self, address: SocketAddr) {
        let mut places = lock(&self.idle);
        let place = places.entry(address).or_default();
        if place.idle.len() + place.opening >= SPARE {
            return;
        }
        place.opening += 1;
        drop(places);
        let idle = Arc::clone(&self.idle);
        tokio::spawn(async move {
            let opened = open(address).await;
            let mut places = lock(&idle);
            let place = places.entry(address).or_default();
            place.opening -= 1;
            // The oldest stand at the front and are used last.
            place.idle.splice(0..0, opened.ok());
        });
    }
}

async fn open(address: SocketAddr) -> Result<Opened, Unreachable> {
    let began = Moment::now();
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| Unreachable)?.map_err(|_| Unreachable)?;
    let round_trip = began.elapsed();
    stream.set_nodelay(true).map_err(|_| Unreachable)?;
    let (sender, driver) = http1::handshake(TokioIo::new(stream)).await.map_err(|_| Unreachable)?;
    tokio::spawn(driver);
    Ok(Opened { sender, round_trip })
}

fn lock(idle: &Idle) -> MutexGuard<'_, HashMap<SocketAddr, Place>> {
    idle.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn ready_now(sender: &mut SendRequest<RequestBody>) -> bool {
    poll_fn(|cx| Poll::Ready(matches!(sender.poll_ready(cx), Poll::Ready(Ok(()))))).await
}

impl Connection {
    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// Whether any byte may have been sent.
    pub async fn send(&mut self, request: Request<RequestBody>) -> Result<Response<Incoming>, SendError> {
        self.opened.sender.try_send_request(request).await.map_err(|mut error| match error.take_message() {
            Some(request) => SendError::Unsent(Box::new(request)),
            None => SendError::Broken,
        })
    }

    /// Time that it took to open: the path to its upstream, there and back.
    pub fn round_trip(&self) -> Duration {
        self.opened.round_trip
    }

    /// Keeps the connection for another request.
    pub fn keep(self) {
        let mut places = lock(&self.idle);
        let kept = &mut places.entry(self.address).or_default().idle;
        if kept.len() < IDLE_MAX && !self.opened.sender.is_closed() {
            kept.push(self.opened);
        }
    }
}
