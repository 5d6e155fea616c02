//! Pool of persistent HTTP/1.1 connections to upstreams, without pipelining.
//!
//! Owns the idle connections. A connection returns to the pool only after a complete response, and is reused
//! only while its upstream keeps it open too.

use {
    crate::{body::StreamedBody, socket},
    hyper::{
        HeaderMap, Request, Response,
        body::Incoming,
        client::conn::http1::{self, SendRequest},
    },
    hyper_util::rt::TokioIo,
    pointvane_dispatch::ConnectionKind,
    pointvane_telemetry::BootInstant,
    std::{
        cell::RefCell,
        collections::{HashMap, VecDeque},
        io,
        net::{IpAddr, SocketAddr},
        rc::Rc,
        time::Duration,
    },
    tokio::task::spawn_local,
};

/// Most idle connections kept to one upstream; each costs memory.
const IDLE_CONNECTIONS_MAX: usize = 2;
/// Longest time that a connection stays in the pool unused.
const IDLE_TIME_MAX: Duration = Duration::from_secs(7);
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest read buffer of a connection, in bytes.
const READ_BUFFER_BYTES: usize = 32_768;

/// Time after a response within which surplus bytes of it may still arrive.
const SURPLUS_BYTES_WINDOW: Duration = Duration::from_millis(300);

/// Longest idle time of a pooled connection on which a request is sent that may run at most once.
///
/// An upstream may have dropped an idle connection, or the path may have gone silent; a request that is sent
/// on it may still have run, and cannot be retried. A probe sent just before uses the connection that the
/// request then gets, unless its response is late.
const NON_REPEATABLE_IDLE_MAX: Duration = Duration::from_millis(50);

/// What a connection is used for; decides which pooled connection is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A health probe.
    Probe,
    /// A caller's request that may be repeated.
    Repeatable,
    /// A caller's request that may run at most once.
    NonRepeatable,
}

/// Body of a relayed request or response; a long response body holds the connection that it arrives on.
pub type RelayBody = StreamedBody<Connection>;

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<RelayBody>,
    round_trip: Duration,
    idle_since: BootInstant,
    idle_time_max: Duration,
    request_ended_at: Option<BootInstant>,
}

impl IdleConnection {
    fn is_usable(&self) -> bool {
        self.idle_since.elapsed() < self.idle_time_max && self.sender.is_ready()
    }

    /// Whether surplus bytes of the last response would have arrived by now.
    fn is_past_surplus_window(&self) -> bool {
        self.request_ended_at.is_none_or(|ended| ended.elapsed() >= SURPLUS_BYTES_WINDOW)
    }
}

type IdleByAddress = RefCell<HashMap<SocketAddr, VecDeque<IdleConnection>>>;

/// Pooled connections by upstream address.
#[derive(Clone, Debug)]
pub struct Connections {
    idle: Rc<IdleByAddress>,
    /// Local address of new connections; none lets the system choose.
    source_ip: Option<IpAddr>,
}

/// A connection for one request; closed when dropped without [`Self::keep`].
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<RelayBody>,
    round_trip: Duration,
    idle: Rc<IdleByAddress>,
    purpose: Purpose,
    reused: bool,
    request_ended_at: Option<BootInstant>,
}

/// Why a request has no response.
#[derive(Debug)]
pub enum SendError {
    /// No byte was sent.
    Unsent,
    /// Part of the request may have been sent.
    Broken,
}

/// Why no connection could be opened. Whatever the cause, nothing was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectError {
    /// Nothing listens at the address.
    Refused,
    /// The connection was reset while it was opened.
    Reset,
    /// It was not established within [`CONNECT_TIMEOUT`].
    TimedOut,
    /// Any other error of the socket or the HTTP handshake.
    Other,
}

impl ConnectError {
    /// The value of the label `cause` in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Reset => "reset",
            Self::TimedOut => "timed-out",
            Self::Other => "other",
        }
    }
}

impl From<io::Error> for ConnectError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => Self::Refused,
            io::ErrorKind::ConnectionReset => Self::Reset,
            io::ErrorKind::TimedOut => Self::TimedOut,
            _ => Self::Other,
        }
    }
}

impl Connections {
    /// Creates an empty pool whose connections are opened from `source_ip`, if given.
    pub fn new(source_ip: Option<IpAddr>) -> Self {
        Self { idle: Rc::default(), source_ip }
    }

    /// Takes a connection from the pool, or opens a new one.
    ///
    /// Probes take the connection that was idle longest. Requests take the most recently used one, since
    /// upstreams may have closed older ones, but skip those on which surplus bytes of the last response may
    /// still arrive. Requests that may run at most once take one that was idle for less than 50 ms, or a new
    /// one.
    ///
    /// # Errors
    /// [`ConnectError`] when a new connection cannot be opened.
    pub async fn get(&self, address: SocketAddr, purpose: Purpose) -> Result<Connection, ConnectError> {
        if let Some(IdleConnection { sender, round_trip, request_ended_at, .. }) = self.pop(address, purpose)
        {
            let idle = Rc::clone(&self.idle);
            return Ok(Connection {
                address,
                sender,
                round_trip,
                idle,
                purpose,
                reused: true,
                request_ended_at,
            });
        }
        self.open(address, purpose).await
    }

    /// Opens a new connection.
    ///
    /// # Errors
    /// [`ConnectError`] when the upstream refuses, does not answer in time, or the HTTP handshake fails.
    pub async fn open(&self, address: SocketAddr, purpose: Purpose) -> Result<Connection, ConnectError> {
        let began = BootInstant::now();
        let stream = socket::connect_from(self.source_ip, address, CONNECT_TIMEOUT).await?;
        let round_trip = began.elapsed();
        let mut builder = http1::Builder::new();
        builder.max_buf_size(READ_BUFFER_BYTES);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, driver) = handshake.map_err(|_| ConnectError::Other)?;
        spawn_local(driver);
        let idle = Rc::clone(&self.idle);
        Ok(Connection { address, sender, round_trip, idle, purpose, reused: false, request_ended_at: None })
    }

    fn pop(&self, address: SocketAddr, purpose: Purpose) -> Option<IdleConnection> {
        let mut idle = self.idle.borrow_mut();
        let queue = idle.get_mut(&address)?;
        queue.retain(IdleConnection::is_usable);
        match purpose {
            Purpose::Probe => queue.pop_front(),
            Purpose::Repeatable => match queue.iter().rposition(IdleConnection::is_past_surplus_window) {
                Some(index) => queue.remove(index),
                None => queue.pop_front(),
            },
            Purpose::NonRepeatable => {
                let usable = |idle: &IdleConnection| {
                    idle.is_past_surplus_window() && idle.idle_since.elapsed() < NON_REPEATABLE_IDLE_MAX
                };
                queue.iter().rposition(usable).and_then(|index| queue.remove(index))
            }
        }
    }

    /// Closes the idle connections to an upstream after one of them went silent: the cause may affect all of
    /// them.
    pub fn discard(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes connections that exceeded their idle time.
    pub fn expire(&self) {
        let mut by_address = self.idle.borrow_mut();
        for queue in by_address.values_mut() {
            queue.retain(|idle| idle.idle_since.elapsed() < idle.idle_time_max && !idle.sender.is_closed());
        }
        by_address.retain(|_, queue| !queue.is_empty());
    }
}

impl Connection {
    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    /// [`SendError::Unsent`] if no byte of the request was sent, [`SendError::Broken`] if some may have been.
    pub async fn send(&mut self, request: Request<RelayBody>) -> Result<Response<Incoming>, SendError> {
        self.sender.try_send_request(request).await.map_err(|mut error| match error.take_message() {
            Some(_) => SendError::Unsent,
            None => SendError::Broken,
        })
    }

    /// Time that the TCP handshake took, as an estimate of the round trip to the upstream.
    pub fn round_trip(&self) -> Duration {
        self.round_trip
    }

    /// Whether the connection was opened for this purpose or comes from the pool.
    pub fn kind(&self) -> ConnectionKind {
        if self.reused { ConnectionKind::Reused } else { ConnectionKind::New }
    }

    /// Returns the connection to the pool, at most for the time that the upstream announces in `Keep-Alive`.
    pub fn keep(self, answer: &HeaderMap) {
        let request_ended_at = match self.purpose {
            Purpose::Probe => self.request_ended_at,
            Purpose::Repeatable | Purpose::NonRepeatable => Some(BootInstant::now()),
        };
        let mut idle = self.idle.borrow_mut();
        let queue = idle.entry(self.address).or_default();
        if queue.len() < IDLE_CONNECTIONS_MAX && !self.sender.is_closed() {
            let idle_time_max = idle_time_max(answer);
            queue.push_back(IdleConnection {
                sender: self.sender,
                round_trip: self.round_trip,
                idle_since: BootInstant::now(),
                idle_time_max,
                request_ended_at,
            });
        }
    }
}

/// Longest idle time of a connection: a second less than the `timeout` that its upstream announces, if any.
fn idle_time_max(answer: &HeaderMap) -> Duration {
    // A malformed header is ignored, since `IDLE_TIME_MAX` is short anyway.
    let header = answer.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = header.and_then(|text| {
        let times = text.split(',').filter_map(|part| part.trim().strip_prefix("timeout="));
        times.filter_map(|seconds| seconds.parse().ok()).next()
    });
    let kept = seconds.map_or(IDLE_TIME_MAX, |seconds: u64| Duration::from_secs(seconds.saturating_sub(1)));
    kept.min(IDLE_TIME_MAX)
}
