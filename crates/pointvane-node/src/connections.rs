//! Kept connections to upstreams, one request at a time on each.

use {
    crate::{body::RelayBody, socket},
    hyper::{
        Request, Response,
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

#[derive(Debug)]
struct Idle {
    sender: SendRequest<RelayBody>,
    since: Instant,
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
    /// The connection that has rested longest, or a new one.
    ///
    /// The longest rest leaves late bytes of the answer before the most time to show.
    ///
    /// # Errors
    /// [`Unreachable`] when none can be made.
    pub async fn get(&self, address: SocketAddr) -> Result<Connection, Unreachable> {
        if let Some(sender) = self.pop(address) {
            return Ok(Connection { address, sender, places: Rc::clone(&self.places) });
        }
        let stream = socket::connect(address, CONNECT_PATIENCE).await.map_err(|_| Unreachable)?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(READ_BUFFER_BYTES * 4);
        let (sender, driver) = builder.handshake(TokioIo::new(stream)).await.map_err(|_| Unreachable)?;
        spawn_local(driver);
        Ok(Connection { address, sender, places: Rc::clone(&self.places) })
    }

    fn pop(&self, address: SocketAddr) -> Option<SendRequest<RelayBody>> {
        let mut places = self.places.borrow_mut();
        let place = places.get_mut(&address)?;
        while let Some(idle) = place.pop_front() {
            if idle.since.elapsed() < REST_MAX && idle.sender.is_ready() {
                return Some(idle.sender);
            }
        }
        None
    }

    /// Closes connections that have rested too long.
    pub fn expire(&self) {
        let mut places = self.places.borrow_mut();
        for place in places.values_mut() {
            place.retain(|idle| idle.since.elapsed() < REST_MAX && !idle.sender.is_closed());
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

    /// Keeps the connection for another request.
    pub fn keep(self) {
        let mut places = self.places.borrow_mut();
        let place = places.entry(self.address).or_default();
        if place.len() < IDLE_MAX && !self.sender.is_closed() {
            place.push_back(Idle { sender: self.sender, since: Instant::now() });
        }
    }
}
