//! Pool of persistent HTTP/1.1 connections to upstreams, without pipelining.
//!
//! Owns the idle connections. A connection returns to the pool only after a complete response, and is reused
//! only while its upstream keeps it open too.

use {
    crate::{
        body::StreamedBody,
        connection_metrics::ConnectionMetrics,
        idle_connections::{IdleConnection, IdleConnections, InUse},
        socket,
        upstream_stream::{SlowReading, UpstreamStream},
    },
    hyper::{HeaderMap, Request, Response, body::Body, client::conn::http1},
    pointvane_dispatch::{ConnectionKind, ConnectionPurpose, OpenReason, idle_max_ms},
    pointvane_serve::{
        CheckedBody, CheckedResponse, FaultHandling, FramedHead, RequestSender, ResponseFault, SendError,
    },
    pointvane_telemetry::BootInstant,
    std::{
        io,
        net::{IpAddr, SocketAddr},
        rc::Rc,
        time::Duration,
    },
    tokio::{net::TcpStream, task::spawn_local},
};

/// Timeout for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest read buffer of a connection, in bytes.
const READ_BUFFER_BYTES: usize = 32_768;
/// Length of a body up to which a live peer acknowledges it without reading: no more than the smallest receive
/// buffer of a socket (`net.ipv4.tcp_rmem`).
const ACKNOWLEDGED_BODY_BYTES: u64 = 4_096;

/// Body of a relayed request or response; a long response body holds the connection that it arrives on.
pub type RelayBody = StreamedBody<Connection>;

/// Pooled connections by upstream address.
#[derive(Clone, Debug)]
pub struct Connections {
    idle: IdleConnections,
    metrics: Rc<ConnectionMetrics>,
    /// Local address of new connections; none lets the system choose.
    source_ip: Option<IpAddr>,
}

/// A connection for one request; closed when dropped without [`Self::keep`].
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    /// Local address of connections to the upstream; none lets the system choose.
    source_ip: Option<IpAddr>,
    sender: RequestSender<RelayBody>,
    slow_reading: SlowReading,
    round_trip: Duration,
    idle: IdleConnections,
    purpose: ConnectionPurpose,
    reused: bool,
    request_ended_at: Option<BootInstant>,
    /// The head of the response that is read; none before it.
    framed: Option<FramedHead>,
    metrics: Rc<ConnectionMetrics>,
    _in_use: InUse,
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
    pub fn new(source_ip: Option<IpAddr>, metrics: ConnectionMetrics) -> Self {
        Self { idle: IdleConnections::default(), metrics: Rc::new(metrics), source_ip }
    }

    /// Takes a connection from the pool, or opens a new one; [`pointvane_dispatch::choose_idle`] decides.
    ///
    /// # Errors
    /// [`ConnectError`] when a new connection cannot be opened.
    pub async fn get(
        &self,
        address: SocketAddr,
        purpose: ConnectionPurpose,
    ) -> Result<Connection, ConnectError> {
        let IdleConnection { sender, slow_reading, round_trip, request_ended_at, .. } =
            match self.idle.take(address, purpose) {
                Ok(idle) => idle,
                Err(reason) => return self.open(address, purpose, reason).await,
            };
        self.metrics.reused(purpose);
        Ok(Connection {
            address,
            source_ip: self.source_ip,
            sender,
            slow_reading,
            round_trip,
            idle: self.idle.clone(),
            purpose,
            reused: true,
            request_ended_at,
            framed: None,
            metrics: Rc::clone(&self.metrics),
            _in_use: self.idle.begin_use(address),
        })
    }

    /// Opens a new connection.
    ///
    /// # Errors
    /// [`ConnectError`] when the upstream refuses, does not answer in time, or the HTTP handshake fails.
    pub async fn open(
        &self,
        address: SocketAddr,
        purpose: ConnectionPurpose,
        reason: OpenReason,
    ) -> Result<Connection, ConnectError> {
        let in_use = self.idle.begin_use(address);
        let began = BootInstant::now();
        let stream = socket::connect_from(self.source_ip, address, CONNECT_TIMEOUT).await?;
        let round_trip = began.elapsed();
        self.metrics.opened(purpose, reason);
        let mut builder = http1::Builder::new();
        builder.max_buf_size(READ_BUFFER_BYTES);
        let slow_reading = SlowReading::default();
        let stream = UpstreamStream::new(stream, slow_reading.clone());
        let started = RequestSender::start(&builder, stream).await;
        let (sender, driver) = started.map_err(|_| ConnectError::Other)?;
        spawn_local(driver);
        Ok(Connection {
            address,
            source_ip: self.source_ip,
            sender,
            slow_reading,
            round_trip,
            idle: self.idle.clone(),
            purpose,
            reused: false,
            request_ended_at: None,
            framed: None,
            metrics: Rc::clone(&self.metrics),
            _in_use: in_use,
        })
    }

    /// Closes the idle connections to an upstream after one of them went silent: the cause may affect all of
    /// them.
    pub fn discard(&self, address: SocketAddr) {
        self.idle.discard(address);
    }

    /// Closes connections that exceeded their idle time.
    pub fn expire(&self) {
        self.idle.expire();
    }
}

impl Connection {
    /// Sends a request and waits for the head of its response.
    ///
    /// # Errors
    /// [`SendError`], which tells whether any byte of the request may have been sent.
    pub async fn send(
        &mut self,
        request: Request<RelayBody>,
    ) -> Result<Response<CheckedBody>, SendError<RelayBody>> {
        if request.body().size_hint().exact().is_none_or(|bytes| bytes > ACKNOWLEDGED_BODY_BYTES) {
            self.slow_reading.accept();
        }
        let sent = self.sender.send(request).await;
        if let Err(SendError::Malformed(fault)) = &sent {
            self.metrics.malformed(self.purpose, *fault, FaultHandling::Refused);
        }
        let CheckedResponse { response, framed } = sent?;
        if let Some(fault) = framed.repaired {
            self.metrics.malformed(self.purpose, fault, FaultHandling::Repaired);
        }
        self.framed = Some(framed);
        Ok(response)
    }

    /// Opens another connection to the upstream, outside the pool.
    pub fn connect_again(&self) -> impl Future<Output = io::Result<TcpStream>> + use<> {
        socket::connect_from(self.source_ip, self.address, CONNECT_TIMEOUT)
    }

    /// Whether nothing but the end of this connection shows where the body of its response ends.
    pub fn ends_body(&self) -> bool {
        self.framed.is_some_and(FramedHead::ends_with_connection)
    }

    /// The fault that was repaired in the head of the response, if it had one.
    pub fn repaired(&self) -> Option<ResponseFault> {
        self.framed.and_then(|framed| framed.repaired)
    }

    /// Closes the connection for a fault of its response that was found after its head was accepted.
    pub fn refuse(self, fault: ResponseFault) {
        self.metrics.malformed(self.purpose, fault, FaultHandling::Refused);
    }

    /// Time that the TCP handshake took, as an estimate of the round trip to the upstream.
    pub fn round_trip(&self) -> Duration {
        self.round_trip
    }

    /// Whether the connection was opened for this purpose or comes from the pool.
    pub fn kind(&self) -> ConnectionKind {
        if self.reused { ConnectionKind::Reused } else { ConnectionKind::New }
    }

    /// Returns the connection to the pool, at most for the time that the upstream announces in `Keep-Alive`, unless
    /// the response ended with it or was malformed.
    pub fn keep(self, answer: &HeaderMap) {
        if self.framed.is_some_and(|framed| !framed.is_connection_reusable()) {
            return;
        }
        let now = BootInstant::now();
        let idle = IdleConnection {
            sender: self.sender,
            slow_reading: self.slow_reading,
            round_trip: self.round_trip,
            idle_since: now,
            idle_time_max: idle_time_max(answer),
            request_ended_at: if self.purpose.is_request() { Some(now) } else { self.request_ended_at },
        };
        self.idle.keep(self.address, idle);
    }
}

/// Longest idle time of a connection, from the `Keep-Alive` of its upstream.
fn idle_time_max(answer: &HeaderMap) -> Duration {
    // A malformed header counts as absent.
    let header = answer.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = header.and_then(|text| {
        let times = text.split(',').filter_map(|part| part.trim().strip_prefix("timeout="));
        times.filter_map(|seconds| seconds.parse().ok()).next()
    });
    Duration::from_millis(idle_max_ms(seconds))
}
