//! Callers: they look entry VMs up through locate, cache the response for the time that it allows, and share
//! keep-alive connections.

use {
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{
        Request, Response,
        body::Incoming,
        client::conn::http1::{self, SendRequest},
    },
    hyper_util::rt::TokioIo,
    serde::Deserialize,
    std::{
        collections::HashMap,
        net::SocketAddr,
        sync::{Mutex, PoisonError},
        time::{Duration, Instant},
    },
    tokio::net::TcpStream,
};

/// Number of callers, each with its own cached response of locate.
const CALLER_COUNT: usize = 200;

/// The callers of one service, their cached responses of locate and their idle connections.
#[derive(Debug)]
pub struct Callers {
    locates: Vec<SocketAddr>,
    /// Name of the service.
    pub service: String,
    cached: Vec<Mutex<Option<CachedResponse>>>,
    idle: Mutex<HashMap<SocketAddr, Vec<SendRequest<Full<Bytes>>>>>,
}

#[derive(Clone, Debug)]
struct CachedResponse {
    response: LocateResponse,
    expires_at: Instant,
}

/// Response of locate; docs/CALLERS.md describes its format.
#[derive(Clone, Debug, Deserialize)]
pub struct LocateResponse {
    keep_ms: u64,
    entries: Vec<EntryAddress>,
}

/// An entry VM in a response of locate.
#[derive(Clone, Debug, Deserialize)]
pub struct EntryAddress {
    /// Address where it serves callers.
    pub address: SocketAddr,
    /// Prefix of idempotency keys that this entry VM owns.
    pub key_prefix: String,
}

/// Why a request got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// Nothing was sent, so the request has not run.
    NotSent,
    /// The connection was lost after part of the request may have been sent.
    ConnectionLost,
}

impl Callers {
    /// Creates callers with empty caches.
    pub fn new(locates: Vec<SocketAddr>, service: String) -> Self {
        let cached = (0..CALLER_COUNT).map(|_| Mutex::new(None)).collect();
        Self { locates, service, cached, idle: Mutex::default() }
    }

    /// Number of callers.
    pub fn len(&self) -> usize {
        self.cached.len()
    }

    /// Whether there are no callers.
    pub fn is_empty(&self) -> bool {
        self.cached.is_empty()
    }

    /// The entry VMs that a caller may use now, in order of preference; empty if no locate responds.
    pub async fn entries(&self, caller: usize) -> Vec<EntryAddress> {
        let cached = self.cached[caller].lock().unwrap_or_else(PoisonError::into_inner).clone();
        if let Some(cached) = cached.filter(|cached| cached.expires_at > Instant::now()) {
            return cached.response.entries;
        }
        for attempt in 0..self.locates.len() {
            let locate = self.locates[(caller + attempt) % self.locates.len()];
            if let Some(response) = self.query_locate(locate).await {
                let expires_at = Instant::now() + Duration::from_millis(response.keep_ms);
                let entries = response.entries.clone();
                let mut cached = self.cached[caller].lock().unwrap_or_else(PoisonError::into_inner);
                *cached = Some(CachedResponse { response, expires_at });
                return entries;
            }
        }
        Vec::new()
    }

    /// Drops a caller's cached response of locate, after its entry VM could not be reached.
    pub fn invalidate(&self, caller: usize) {
        *self.cached[caller].lock().unwrap_or_else(PoisonError::into_inner) = None;
    }

    async fn query_locate(&self, locate: SocketAddr) -> Option<LocateResponse> {
        let uri = format!("/v1/locate?service={}", self.service);
        let request = Request::get(uri).header("host", locate.to_string()).header("connection", "close");
        let request = request.body(Full::default()).ok()?;
        let mut sender = connect(locate).await?;
        let response = sender.send_request(request).await.ok()?;
        let body = response.into_body().collect().await.ok()?;
        serde_json::from_slice(&body.to_bytes()).ok()
    }

    /// Sends a request, on an idle connection if there is one, and returns the response and its connection.
    ///
    /// # Errors
    /// When no response arrives; the error says whether part of the request may have been sent.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, SendRequest<Full<Bytes>>), SendFailure> {
        loop {
            let (mut sender, reused) = match self.take_idle(address) {
                Some(sender) => (sender, true),
                None => (connect(address).await.ok_or(SendFailure::NotSent)?, false),
            };
            if sender.ready().await.is_err() {
                continue;
            }
            match sender.try_send_request(request).await {
                Ok(response) => return Ok((response, sender)),
                Err(mut error) => match error.take_message() {
                    // The idle connection was closed before the request was sent: use another one.
                    Some(unsent) if reused => request = unsent,
                    Some(_) => return Err(SendFailure::NotSent),
                    None => return Err(SendFailure::ConnectionLost),
                },
            }
        }
    }

    /// Returns a connection to the idle ones, after a complete response.
    pub fn return_connection(&self, address: SocketAddr, sender: SendRequest<Full<Bytes>>) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.entry(address).or_default().push(sender);
    }

    fn take_idle(&self, address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let senders = idle.get_mut(&address)?;
        senders.retain(|sender| !sender.is_closed());
        senders.pop()
    }
}

async fn connect(address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let (sender, driver) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(driver);
    Some(sender)
}
