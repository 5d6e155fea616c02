//! Kept connections to upstreams, one request at a time on each.

use {
    crate::{body::RelayBody, socket},
    hyper::{
        HeaderMap, Request, Response,
        body::Incoming,
        client::conn::http1::{self, SendRequest},
    },
    hyper_util::rt::TokioIo,
    std::{
        cell::RefCell,
        collections::{HashMap, VecDeque},
        net::SocketAddr,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::task::spawn_local,
};

/// Idle connections kept to one upstream.
const IDLE_MAX: usize = 2;
/// Longest rest of a kept connection; upstreams close theirs later.
const REST_MAX: Duration = Duration::from_secs(7);
const CONNECT_PATIENCE: Duration = Duration::from_millis(300);
const READ_BUFFER_BYTES: usize = 8_192;

/// Time after a request's answer within which late bytes behind it may still come.
const LATE_BYTES_WITHIN: Duration = Duration::from_millis(300);

/// What a connection is wanted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// A question about an upstream's load.
    Probe,
    /// A caller's request.
    Request,
}

#[derive(Debug)]
struct Idle {
    sender: SendRequest<RelayBody>,
    since: Instant,
    rest_max: Duration,
    request_ended: Option<Instant>,
}

impl Idle {
    fn stands(&self) -> bool {
        self.since.elapsed() < self.rest_max && self.sender.is_ready()
    }

    /// Whether late bytes of an earlier answer would have shown by now.
    fn is_quiet(&self) -> bool {
        self.request_ended.is_none_or(|ended| ended.elapsed() >= LATE_BYTES_WITHIN)
    }
}

type Places = RefCell<HashMap<SocketAddr, VecDeque<Idle>>>;

/// Kept connections by address.
#[derive(Clone, Debug, Default)]
pub struct Connections {
    places: Rc<Places>,
}

/// A connection for one request; closed when dropped without [`Self::keep`].
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<RelayBody>,
    places: Rc<Places>,
    purpose: Purpose,
    reused: bool,
    request_ended: Option<Instant>,
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
#[derive(Clone, Copy, Debug)]
pub struct Unreachable;

impl Connections {
    /// A kept connection, or a new one.
    ///
    /// Probes take the one that has rested longest. Requests take the one that was used last, since an upstream
    /// may forget connections that rest, but leave late bytes of an earlier answer time to show.
    ///
    /// # Errors
    /// [`Unreachable`] when none can be made.
    pub async fn get(&self, address: SocketAddr, purpose: Purpose) -> Result<Connection, Unreachable> {
        if let Some(Idle { sender, request_ended, .. }) = self.pop(address, purpose) {
            let places = Rc::clone(&self.places);
            return Ok(Connection { address, sender, places, purpose, reused: true, request_ended });
        }
        self.open(address, purpose).await
    }

    /// A new connection.
    ///
    /// # Errors
    /// [`Unreachable`] when none can be made.
    pub async fn open(&self, address: SocketAddr, purpose: Purpose) -> Result<Connection, Unreachable> {
        let stream = socket::connect(address, CONNECT_PATIENCE).await.map_err(|_| Unreachable)?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(READ_BUFFER_BYTES * 4);
        let (sender, driver) = builder.handshake(TokioIo::new(stream)).await.map_err(|_| Unreachable)?;
        spawn_local(driver);
        let places = Rc::clone(&self.places);
        Ok(Connection { address, sender, places, purpose, reused: false, request_ended: None })
    }

    fn pop(&self, address: SocketAddr, purpose: Purpose) -> Option<Idle> {
        let mut places = self.places.borrow_mut();
        let place = places.get_mut(&address)?;
        place.retain(Idle::stands);
        match purpose {
            Purpose::Probe => place.pop_front(),
            Purpose::Request => match place.iter().rposition(Idle::is_quiet) {
                Some(index) => place.remove(index),
                None => place.pop_front(),
            },
        }
    }

    /// Closes connections that have rested too long.
    pub fn expire(&self) {
        let mut places = self.places.borrow_mut();
        for place in places.values_mut() {
            place.retain(|idle| idle.since.elapsed() < idle.rest_max && !idle.sender.is_closed());
        }
        places.retain(|_, place| !place.is_empty());
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

    /// Whether it was used before.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Keeps the connection for another request, at most as long as its upstream says it will.
    pub fn keep(self, answer: &HeaderMap) {
        let request_ended = match self.purpose {
            Purpose::Probe => self.request_ended,
            Purpose::Request => Some(Instant::now()),
        };
        let mut places = self.places.borrow_mut();
        let place = places.entry(self.address).or_default();
        if place.len() < IDLE_MAX && !self.sender.is_closed() {
            let rest_max = rest_max(answer);
            place.push_back(Idle { sender: self.sender, since: Instant::now(), rest_max, request_ended });
        }
    }
}

/// How long a connection may rest: a second less than its upstream keeps it, if that is told.
fn rest_max(answer: &HeaderMap) -> Duration {
    let told = answer.get("keep-alive").and_then(|told| told.to_str().ok());
    let seconds = told.and_then(|told| {
        let times = told.split(',').filter_map(|part| part.trim().strip_prefix("timeout="));
        times.filter_map(|seconds| seconds.parse().ok()).next()
    });
    let kept = seconds.map_or(REST_MAX, |seconds: u64| Duration::from_secs(seconds.saturating_sub(1)));
    kept.min(REST_MAX)
}
