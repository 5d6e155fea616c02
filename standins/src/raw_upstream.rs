//! An upstream whose responses are given as bytes, so that they need not be valid HTTP.

use {
    socket2::SockRef,
    std::{
        io::{self, BufRead, BufReader, Read, Write},
        net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex, PoisonError,
            atomic::{AtomicU64, AtomicUsize, Ordering},
        },
        thread,
        time::Duration,
    },
};

/// Stands for the id of the request in the bytes of a response.
pub const ID_PLACEHOLDER: &str = "{id}";
/// Time between the last byte and the reset, which would discard bytes that the peer has not read.
const RESET_DELAY: Duration = Duration::from_millis(100);
/// Time for which a connection that stays open is held at most.
const OPEN_TIME_MAX: Duration = Duration::from_secs(60);

/// What an upstream does with its connection after the bytes of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// Waits for the next request.
    #[default]
    Stays,
    /// Closes it in an orderly way.
    Closes,
    /// Resets it.
    Resets,
    /// Closes it as a crashing process does: first nothing listens any more, then the connection ends in an orderly
    /// way.
    Crashes,
}

/// A response as bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RawResponse {
    /// Sent once; [`ID_PLACEHOLDER`] is replaced by the id of the request.
    pub bytes: Vec<u8>,
    /// Sent again and again after that, until the peer closes; empty for a response with an end.
    pub repeated: Vec<u8>,
    /// What follows.
    pub end: ConnectionEnd,
    /// Bytes of the request's body that are read before the response; `None` for all of it. The rest is not read.
    pub body_bytes_read: Option<usize>,
    /// Time that the upstream works before it responds.
    pub work: Duration,
}

impl RawResponse {
    /// A response of head and body, both as sent.
    pub fn new(head: &str, body: impl AsRef<[u8]>) -> Self {
        Self { bytes: [head.as_bytes(), body.as_ref()].concat(), ..Self::default() }
    }

    /// Followed by the end of the connection.
    pub fn then(self, end: ConnectionEnd) -> Self {
        Self { end, ..self }
    }

    /// Followed by these bytes, without end.
    pub fn then_without_end(self, repeated: impl AsRef<[u8]>) -> Self {
        Self { repeated: repeated.as_ref().into(), ..self }
    }

    /// Sent after this time.
    pub fn after(self, work: Duration) -> Self {
        Self { work, ..self }
    }

    /// Sent once this much of the request's body was read.
    pub fn after_body_bytes(self, bytes: usize) -> Self {
        Self { body_bytes_read: Some(bytes), ..self }
    }
}

/// An upstream that answers each request with the same bytes.
#[derive(Clone, Debug)]
pub struct RawUpstream {
    /// Where it listens.
    pub address: SocketAddr,
    listener: Arc<TcpListener>,
    requests: Arc<AtomicUsize>,
    sent_bytes: Arc<AtomicU64>,
    responses: Arc<Responses>,
}

/// The responses of one upstream.
#[derive(Debug)]
struct Responses {
    /// To requests for `health_path`.
    health: RawResponse,
    health_path: String,
    /// To all others.
    other: Mutex<RawResponse>,
    /// Clients whose connections are closed in the place of a response.
    cut_off: Mutex<Vec<IpAddr>>,
}

/// The head of a request.
#[derive(Debug, Default)]
struct RequestHead {
    target: String,
    id: String,
    body_bytes: usize,
}

impl RawUpstream {
    /// Starts an upstream that answers requests for `health_path` with `health` and all others with `response`.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub fn start(
        address: SocketAddr,
        health_path: &str,
        health: RawResponse,
        response: RawResponse,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let responses = Responses {
            health,
            health_path: health_path.into(),
            other: Mutex::new(response),
            cut_off: Mutex::default(),
        };
        let upstream = Self {
            address: listener.local_addr()?,
            listener: Arc::new(listener),
            requests: Arc::default(),
            sent_bytes: Arc::default(),
            responses: Arc::new(responses),
        };
        let served = upstream.clone();
        thread::spawn(move || {
            loop {
                match served.listener.accept() {
                    Ok((stream, _)) => {
                        let upstream = served.clone();
                        // An error of a connection is the end that its peer has chosen.
                        thread::spawn(move || _ = upstream.serve(&stream));
                    }
                    // The listener was closed.
                    Err(error) if error.kind() == io::ErrorKind::InvalidInput => return,
                    // Any other error concerns the one connection.
                    Err(_) => {}
                }
            }
        });
        Ok(upstream)
    }

    /// Answers requests with `response` from now on.
    pub fn set_response(&self, response: RawResponse) {
        *self.responses.other.lock().unwrap_or_else(PoisonError::into_inner) = response;
    }

    /// Closes the connections of a client in the place of further responses.
    pub fn cut_off(&self, client: IpAddr) {
        self.responses.cut_off.lock().unwrap_or_else(PoisonError::into_inner).push(client);
    }

    fn is_cut_off(&self, stream: &TcpStream) -> bool {
        let cut_off = self.responses.cut_off.lock().unwrap_or_else(PoisonError::into_inner);
        stream.peer_addr().is_ok_and(|client| cut_off.contains(&client.ip()))
    }

    fn response(&self, is_health: bool) -> RawResponse {
        if is_health {
            return self.responses.health.clone();
        }
        self.responses.other.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Number of requests received, without those for the health path.
    pub fn requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }

    /// Bytes of responses that the kernel has accepted, without those to health checks.
    pub fn sent_bytes(&self) -> u64 {
        self.sent_bytes.load(Ordering::SeqCst)
    }

    fn serve(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(OPEN_TIME_MAX))?;
        let mut reader = BufReader::with_capacity(1 << 10, stream);
        while let Some(head) = read_head(&mut reader)? {
            if self.is_cut_off(stream) {
                return Ok(());
            }
            let is_health = head.target == self.responses.health_path;
            let response = self.response(is_health);
            let body_bytes = response.body_bytes_read.unwrap_or(head.body_bytes).min(head.body_bytes);
            io::copy(&mut reader.by_ref().take(body_bytes as u64), &mut io::sink())?;
            if !is_health {
                self.requests.fetch_add(1, Ordering::SeqCst);
            }
            thread::sleep(response.work);
            let sent_bytes = if is_health { &AtomicU64::new(0) } else { &*self.sent_bytes };
            respond(stream, &response, &head.id, sent_bytes)?;
            match response.end {
                ConnectionEnd::Stays => {}
                ConnectionEnd::Closes => {
                    stream.shutdown(Shutdown::Write)?;
                    // The rest is read, since closing with unread bytes resets.
                    io::copy(&mut reader, &mut io::sink())?;
                    return Ok(());
                }
                ConnectionEnd::Crashes => {
                    SockRef::from(&*self.listener).shutdown(Shutdown::Both)?;
                    return stream.shutdown(Shutdown::Both);
                }
                ConnectionEnd::Resets => {
                    thread::sleep(RESET_DELAY);
                    return SockRef::from(stream).set_linger(Some(Duration::ZERO));
                }
            }
        }
        Ok(())
    }
}

/// Writes a response; returns when its peer has closed if it has no end.
fn respond(
    mut stream: &TcpStream,
    response: &RawResponse,
    id: &str,
    sent_bytes: &AtomicU64,
) -> io::Result<()> {
    let bytes = with_id(&response.bytes, id);
    stream.write_all(&bytes)?;
    sent_bytes.fetch_add(bytes.len() as u64, Ordering::SeqCst);
    while !response.repeated.is_empty() {
        stream.write_all(&response.repeated)?;
        sent_bytes.fetch_add(response.repeated.len() as u64, Ordering::SeqCst);
    }
    Ok(())
}

fn with_id(bytes: &[u8], id: &str) -> Vec<u8> {
    let placeholder = ID_PLACEHOLDER.as_bytes();
    match bytes.windows(placeholder.len()).position(|window| window == placeholder) {
        Some(at) => [&bytes[..at], id.as_bytes(), &bytes[at + placeholder.len()..]].concat(),
        None => bytes.into(),
    }
}

/// Reads the head of a request; none at the end of the connection.
fn read_head(reader: &mut impl BufRead) -> io::Result<Option<RequestHead>> {
    let mut head = RequestHead::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    head.target = line.split(' ').nth(1).unwrap_or_default().into();
    loop {
        line.clear();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim().split_once(": ") else { return Ok(Some(head)) };
        match name.to_ascii_lowercase().as_str() {
            "pointvane-request-id" => head.id = value.into(),
            "content-length" => head.body_bytes = value.parse().unwrap_or_default(),
            _ => {}
        }
    }
}
