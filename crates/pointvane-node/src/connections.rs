//! Kept connections to upstreams, one request at a time on each.
//!
//! Owns the idle ones. A connection is kept only after a whole answer, and used again only while its upstream keeps it too.

use {
    crate::{body::StreamedBody, socket},
    hyper::{
        HeaderMap, Request, Response,
        body::Incoming,
        client::conn::http1::{self, SendRequest},
    },
    hyper_util::rt::TokioIo,
    pointvane_telemetry::Moment,
    std::{
        cell::RefCell,
        collections::{HashMap, VecDeque},
        net::SocketAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::task::spawn_local,
};

/// Idle connections kept to one upstream. Not measured; each costs memory.
const IDLE_MAX: usize = 2;
/// Longest idle time of a kept connection. Not measured.
const IDLE_TIME_MAX: Duration = Duration::from_secs(7);
/// Longest time for a new connection. Not measured.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Largest read buffer of a connection, in bytes. Not measured.
const READ_BUFFER_BYTES: usize = 32_768;

/// Time after an answer within which surplus bytes of it may still come. Not measured.
const SURPLUS_BYTES_WITHIN: Duration = Duration::from_millis(300);

/// Longest time since the last use of a kept connection on which work is sent that may not be repeated.
///
/// An upstream may have forgotten a connection that rested, or it may have gone silent; a request that meets that may have run. A probe right
/// before uses the connection that the request gets, unless its answer comes late. Not measured at other values.
const RESTED_MAX: Duration = Duration::from_millis(50);

/// What a connection is wanted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A probe.
    Probe,
    /// A caller's request that may be repeated.
    Repeatable,
    /// A caller's request that may run once at most.
    NonRepeatable,
}

/// Bodies of requests and answers; that of a long answer holds the connection that it comes on.
pub type RelayBody = StreamedBody<Connection>;

#[derive(Debug)]
struct Idle {
    sender: SendRequest<RelayBody>,
    round_trip: Duration,
    since: Moment,
    idle_time_max: Duration,
    request_ended: Option<Moment>,
}

impl Idle {
    fn is_usable(&self) -> bool {
        self.since.elapsed() < self.idle_time_max && self.sender.is_ready()
    }

    /// Whether surplus bytes of the last answer would have shown by now.
    fn is_quiet(&self) -> bool {
        self.request_ended.is_none_or(|ended| ended.elapsed() >= SURPLUS_BYTES_WITHIN)
    }
}

type IdleByAddress = RefCell<HashMap<SocketAddr, VecDeque<Idle>>>;

/// Kept connections by address.
#[derive(Clone, Debug, Default)]
pub struct Connections {
    idle: Rc<IdleByAddress>,
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
    request_ended: Option<Moment>,
}

/// Why there is no answer.
#[derive(Debug)]
pub enum SendError {
    /// No byte was sent.
    Unsent,
    /// Some of it may have been sent.
    Broken,
}

/// No connection could be made.
///
/// The reason is dropped: the attempt is counted as unsent and tried elsewhere whatever it was.
#[derive(Clone, Copy, Debug)]
pub struct Unreachable;

impl Connections {
    /// A kept connection, or a new one.
    ///
    /// Probes take the one that was idle longest. Requests take the one that was used last, since an upstream may have
    /// closed idle ones, but leave surplus bytes of its last answer time to show. Work that may not be repeated takes one that was used just
    /// now, or a new one.
    ///
    /// # Errors
    /// [`Unreachable`] when none can be made.
    pub async fn get(&self, address: SocketAddr, purpose: Purpose) -> Result<Connection, Unreachable> {
        if let Some(Idle { sender, round_trip, request_ended, .. }) = self.pop(address, purpose) {
            let idle = Rc::clone(&self.idle);
            return Ok(Connection {
                address,
                sender,
                round_trip,
                idle,
                purpose,
                reused: true,
                request_ended,
            });
        }
        self.open(address, purpose).await
    }

    /// A new connection.
    ///
    /// # Errors
    /// [`Unreachable`] when none can be made.
    pub async fn open(&self, address: SocketAddr, purpose: Purpose) -> Result<Connection, Unreachable> {
        let began = Moment::now();
        let stream = socket::connect(address, CONNECT_TIMEOUT).await.map_err(|_| Unreachable)?;
        let round_trip = began.elapsed();
        let mut builder = http1::Builder::new();
        builder.max_buf_size(READ_BUFFER_BYTES);
        let (sender, driver) = builder.handshake(TokioIo::new(stream)).await.map_err(|_| Unreachable)?;
        spawn_local(driver);
        let idle = Rc::clone(&self.idle);
        Ok(Connection { address, sender, round_trip, idle, purpose, reused: false, request_ended: None })
    }

    fn pop(&self, address: SocketAddr, purpose: Purpose) -> Option<Idle> {
        let mut idle = self.idle.borrow_mut();
        let queue = idle.get_mut(&address)?;
        queue.retain(Idle::is_usable);
        match purpose {
            Purpose::Probe => queue.pop_front(),
            Purpose::Repeatable => match queue.iter().rposition(Idle::is_quiet) {
                Some(index) => queue.remove(index),
                None => queue.pop_front(),
            },
            Purpose::NonRepeatable => {
                let usable = |idle: &Idle| idle.is_quiet() && idle.since.elapsed() < RESTED_MAX;
                queue.iter().rposition(usable).and_then(|index| queue.remove(index))
            }
        }
    }

    /// Closes the idle connections to an upstream: one of them went silent, and what silenced it may have silenced all.
    pub fn discard(&self, address: SocketAddr) {
        self.idle.borrow_mut().remove(&address);
    }

    /// Closes connections that have been idle too long.
    pub fn expire(&self) {
        let mut by_address = self.idle.borrow_mut();
        for queue in by_address.values_mut() {
            queue.retain(|idle| idle.since.elapsed() < idle.idle_time_max && !idle.sender.is_closed());
        }
        by_address.retain(|_, queue| !queue.is_empty());
    }
}

impl Connection {
    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    /// Whether any byte may have been sent.
    pub async fn send(&mut self, request: Request<RelayBody>) -> Result<Response<Incoming>, SendError> {
        self.sender.try_send_request(request).await.map_err(|mut error| match error.take_message() {
            Some(_) => SendError::Unsent,
            None => SendError::Broken,
        })
    }

    /// Time that it took to open: the path to its upstream, there and back.
    pub fn round_trip(&self) -> Duration {
        self.round_trip
    }

    /// Whether it was used before.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Keeps the connection for another request, at most as long as its upstream says it will.
    pub fn keep(self, answer: &HeaderMap) {
        let request_ended = match self.purpose {
            Purpose::Probe => self.request_ended,
            Purpose::Repeatable | Purpose::NonRepeatable => Some(Moment::now()),
        };
        let mut idle = self.idle.borrow_mut();
        let queue = idle.entry(self.address).or_default();
        if queue.len() < IDLE_MAX && !self.sender.is_closed() {
            let idle_time_max = idle_time_max(answer);
            queue.push_back(Idle {
                sender: self.sender,
                round_trip: self.round_trip,
                since: Moment::now(),
                idle_time_max,
                request_ended,
            });
        }
    }
}

/// How long a connection may be idle: a second less than its upstream keeps it, if the answer says how long.
fn idle_time_max(answer: &HeaderMap) -> Duration {
    // A header that cannot be read counts as none: the longest idle time is short anyway.
    let header = answer.get("keep-alive").and_then(|value| value.to_str().ok());
    let seconds = header.and_then(|text| {
        let times = text.split(',').filter_map(|part| part.trim().strip_prefix("timeout="));
        times.filter_map(|seconds| seconds.parse().ok()).next()
    });
    let kept = seconds.map_or(IDLE_TIME_MAX, |seconds: u64| Duration::from_secs(seconds.saturating_sub(1)));
    kept.min(IDLE_TIME_MAX)
}
