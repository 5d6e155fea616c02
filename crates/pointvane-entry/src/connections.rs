//! Kept connections to upstreams and to other entry VMs.
//!
//! A connection carries one request at a time and is kept only after a whole answer. Nothing here sends a
//! request twice: a request whose connection died unused is given back by `hyper`, unsent.

use {
    crate::body::RequestBody,
    hyper::{
        Request, Response,
        body::Incoming,
        client::conn::http1::{self, SendRequest},
    },
    hyper_util::rt::TokioIo,
    std::{
        collections::HashMap,
        future::poll_fn,
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        task::Poll,
        time::Duration,
    },
    tokio::{net::TcpStream, time::timeout},
};

/// Idle connections kept to one address.
const IDLE_MAX: usize = 64;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);

type Idle = Mutex<HashMap<SocketAddr, Vec<SendRequest<RequestBody>>>>;

/// Kept connections by address.
#[derive(Clone, Debug, Default)]
pub struct Connections {
    idle: Arc<Idle>,
}

/// A connection checked out for one request; closed when dropped without [`Self::keep`].
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<RequestBody>,
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
        while let Some(mut sender) = self.pop(address) {
            if ready_now(&mut sender).await {
                return Ok(Connection {
                    address,
                    sender,
                    idle: Arc::clone(&self.idle),
                });
            }
        }
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = stream.map_err(|_| Unreachable)?.map_err(|_| Unreachable)?;
        stream.set_nodelay(true).map_err(|_| Unreachable)?;
        let (sender, driver) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|_| Unreachable)?;
        tokio::spawn(driver);
        Ok(Connection {
            address,
            sender,
            idle: Arc::clone(&self.idle),
        })
    }

    fn pop(&self, address: SocketAddr) -> Option<SendRequest<RequestBody>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.get_mut(&address)?.pop()
    }
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
        self.sender
            .try_send_request(request)
            .await
            .map_err(|mut error| match error.take_message() {
                Some(request) => SendError::Unsent(Box::new(request)),
                None => SendError::Broken,
            })
    }

    /// Keeps the connection for another request.
    pub fn keep(self) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let kept = idle.entry(self.address).or_default();
        if kept.len() < IDLE_MAX && !self.sender.is_closed() {
            kept.push(self.sender);
        }
    }
}
