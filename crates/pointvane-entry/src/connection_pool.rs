//! Pool of HTTP/1.1 connections to upstreams and to other entry VMs.
//!
//! A connection carries one request at a time and returns to the pool only after a complete response. The
//! pool never sends a request twice: if an idle connection turns out to be closed, `hyper` returns the
//! request unsent.

use {
    crate::request_body::RequestBody,
    hyper::{Request, Response, client::conn::http1},
    pointvane_serve::{CheckedBody, CheckedResponse, FramedHead, RequestSender, ResponseFault, SendError},
    pointvane_telemetry::BootInstant,
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

/// Maximum number of idle connections per address.
const IDLE_PER_ADDRESS_MAX: usize = 64;
/// Idle connections opened ahead of demand per address, so that requests rarely wait for a new connection.
///
/// Without them, these waits raised the p99 of the added latency to 1.6-1.8 ms (docs/DESIGN.md).
const SPARE_PER_ADDRESS: usize = 4;
/// Timeout of the TCP handshake of a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

type AddressPools = Mutex<HashMap<SocketAddr, AddressPool>>;

/// An open connection and the time that it took to open.
#[derive(Debug)]
struct OpenConnection {
    sender: RequestSender<RequestBody>,
    /// Duration of the TCP handshake.
    round_trip: Duration,
}

/// Idle connections to one address, and the number of those being opened.
#[derive(Debug, Default)]
struct AddressPool {
    idle: Vec<OpenConnection>,
    opening: usize,
}

/// Pool of connections by address. Clones share the pool.
#[derive(Clone, Debug, Default)]
pub struct ConnectionPool {
    pools: Arc<AddressPools>,
}

/// A connection checked out for one request; closed if dropped without [`Self::release`].
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    opened: OpenConnection,
    /// The head of the response that is read; none before it.
    framed: Option<FramedHead>,
    pools: Arc<AddressPools>,
}

/// The connection could not be established.
#[derive(Clone, Copy, Debug)]
pub struct Unreachable;

impl ConnectionPool {
    /// Returns an idle connection that is still open, or opens one.
    ///
    /// # Errors
    /// [`Unreachable`] if connecting fails or times out.
    pub async fn acquire(&self, address: SocketAddr) -> Result<Connection, Unreachable> {
        while let Some(mut opened) = self.pop_idle(address) {
            if is_ready(&mut opened.sender).await {
                self.open_spare(address);
                return Ok(self.connection(address, opened));
            }
        }
        let opened = open(address).await?;
        self.open_spare(address);
        Ok(self.connection(address, opened))
    }

    fn connection(&self, address: SocketAddr, opened: OpenConnection) -> Connection {
        Connection { address, opened, framed: None, pools: Arc::clone(&self.pools) }
    }

    fn pop_idle(&self, address: SocketAddr) -> Option<OpenConnection> {
        lock(&self.pools).get_mut(&address)?.idle.pop()
    }

    /// Opens one connection in the background if few are idle. Called only after a connection was obtained,
    /// so never for an unreachable address.
    fn open_spare(&self, address: SocketAddr) {
        let mut guard = lock(&self.pools);
        let address_pool = guard.entry(address).or_default();
        if address_pool.idle.len() + address_pool.opening >= SPARE_PER_ADDRESS {
            return;
        }
        address_pool.opening += 1;
        drop(guard);
        let pools = Arc::clone(&self.pools);
        tokio::spawn(async move {
            let opened = open(address).await;
            let mut guard = lock(&pools);
            let address_pool = guard.entry(address).or_default();
            address_pool.opening -= 1;
            // Connections are taken from the back, so spare ones at the front are used last.
            address_pool.idle.splice(0..0, opened.ok());
        });
    }
}

async fn open(address: SocketAddr) -> Result<OpenConnection, Unreachable> {
    let started_at = BootInstant::now();
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| Unreachable)?.map_err(|_| Unreachable)?;
    let round_trip = started_at.elapsed();
    stream.set_nodelay(true).map_err(|_| Unreachable)?;
    let (sender, driver) =
        RequestSender::start(&http1::Builder::new(), stream).await.map_err(|_| Unreachable)?;
    tokio::spawn(driver);
    Ok(OpenConnection { sender, round_trip })
}

fn lock(pools: &AddressPools) -> MutexGuard<'_, HashMap<SocketAddr, AddressPool>> {
    pools.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn is_ready(sender: &mut RequestSender<RequestBody>) -> bool {
    poll_fn(|cx| Poll::Ready(matches!(sender.poll_ready(cx), Poll::Ready(Ok(()))))).await
}

impl Connection {
    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    /// [`SendError`], which tells whether any byte may have been sent.
    pub async fn send(
        &mut self,
        request: Request<RequestBody>,
    ) -> Result<Response<CheckedBody>, SendError<RequestBody>> {
        let CheckedResponse { response, framed } = self.opened.sender.send(request).await?;
        self.framed = Some(framed);
        Ok(response)
    }

    /// Whether nothing but the end of this connection shows where the body of its response ends.
    pub fn ends_body(&self) -> bool {
        self.framed.is_some_and(FramedHead::ends_with_connection)
    }

    /// The fault that was repaired in the head of the response, if it had one.
    pub fn repaired(&self) -> Option<ResponseFault> {
        self.framed.and_then(|framed| framed.repaired)
    }

    /// Duration of the TCP handshake, as an estimate of the network round trip.
    pub fn round_trip(&self) -> Duration {
        self.opened.round_trip
    }

    /// Returns the connection to the pool, unless it is closed, the pool is full, or the response ended with the
    /// connection or was malformed.
    pub fn release(self) {
        if self.framed.is_some_and(|framed| !framed.is_connection_reusable()) {
            return;
        }
        let mut guard = lock(&self.pools);
        let idle = &mut guard.entry(self.address).or_default().idle;
        if idle.len() < IDLE_PER_ADDRESS_MAX && !self.opened.sender.is_closed() {
            idle.push(self.opened);
        }
    }
}
