//! How callers find an entry VM: by locate's answer, kept for its time.

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

/// Callers that each keep locate's answer for its time.
const CALLERS: usize = 200;

/// The callers with their kept answers and connections.
#[derive(Debug)]
pub struct Callers {
    locates: Vec<SocketAddr>,
    /// The service's name.
    pub service: String,
    kept: Vec<Mutex<Option<Kept>>>,
    idle: Mutex<HashMap<SocketAddr, Vec<SendRequest<Full<Bytes>>>>>,
}

#[derive(Clone, Debug)]
struct Kept {
    answer: Located,
    until: Instant,
}

/// What locate answers; see docs/CALLERS.md.
#[derive(Clone, Debug, Deserialize)]
pub struct Located {
    keep_ms: u64,
    entries: Vec<EntryAddress>,
}

/// One entry VM in locate's answer.
#[derive(Clone, Debug, Deserialize)]
pub struct EntryAddress {
    /// Where it serves.
    pub address: SocketAddr,
    /// What keys begin with.
    pub key_prefix: String,
}

/// Why a request got no answer's head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// Nothing was sent.
    Unsent,
    /// Something may have been sent.
    Broken,
}

impl Callers {
    /// Callers that know nothing yet.
    pub fn new(locates: Vec<SocketAddr>, service: String) -> Self {
        let kept = (0..CALLERS).map(|_| Mutex::new(None)).collect();
        Self { locates, service, kept, idle: Mutex::default() }
    }

    /// How many they are.
    pub fn len(&self) -> usize {
        self.kept.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// The entry VMs that a caller may use now, the best first.
    pub async fn entries(&self, caller: usize) -> Vec<EntryAddress> {
        let kept = self.kept[caller].lock().unwrap_or_else(PoisonError::into_inner).clone();
        if let Some(kept) = kept.filter(|kept| kept.until > Instant::now()) {
            return kept.answer.entries;
        }
        for attempt in 0..self.locates.len() {
            let locate = self.locates[(caller + attempt) % self.locates.len()];
            if let Some(answer) = self.ask(locate).await {
                let until = Instant::now() + Duration::from_millis(answer.keep_ms);
                let entries = answer.entries.clone();
                let mut place = self.kept[caller].lock().unwrap_or_else(PoisonError::into_inner);
                *place = Some(Kept { answer, until });
                return entries;
            }
        }
        Vec::new()
    }

    /// Forgets a caller's kept answer, as after a failure.
    pub fn forget(&self, caller: usize) {
        *self.kept[caller].lock().unwrap_or_else(PoisonError::into_inner) = None;
    }

    async fn ask(&self, locate: SocketAddr) -> Option<Located> {
        let uri = format!("/v1/locate?service={}", self.service);
        let request = Request::get(uri).header("host", locate.to_string()).header("connection", "close");
        let request = request.body(Full::default()).ok()?;
        let mut sender = connect(locate).await?;
        let response = sender.send_request(request).await.ok()?;
        let body = response.into_body().collect().await.ok()?;
        serde_json::from_slice(&body.to_bytes()).ok()
    }

    /// Sends a request, on a kept connection if there is one.
    ///
    /// # Errors
    /// Whether something may have been sent.
    pub async fn send(
        &self,
        address: SocketAddr,
        mut request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, SendRequest<Full<Bytes>>), SendFailure> {
        loop {
            let (mut sender, kept) = match self.pop(address) {
                Some(sender) => (sender, true),
                None => (connect(address).await.ok_or(SendFailure::Unsent)?, false),
            };
            if sender.ready().await.is_err() {
                continue;
            }
            match sender.try_send_request(request).await {
                Ok(response) => return Ok((response, sender)),
                Err(mut error) => match error.take_message() {
                    // The kept connection had died before: nothing went out.
                    Some(unsent) if kept => request = unsent,
                    Some(_) => return Err(SendFailure::Unsent),
                    None => return Err(SendFailure::Broken),
                },
            }
        }
    }

    /// Keeps a connection after a whole answer.
    pub fn keep(&self, address: SocketAddr, sender: SendRequest<Full<Bytes>>) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.entry(address).or_default().push(sender);
    }

    fn pop(&self, address: SocketAddr) -> Option<SendRequest<Full<Bytes>>> {
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
