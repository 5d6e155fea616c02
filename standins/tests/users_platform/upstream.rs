//! Stand-in upstreams with configurable behaviour.

use {
    super::{
        RESPONSE_STAMP_HEADER, WAIT_TIMEOUT,
        behaviour::{BodyEnd, RespondTime, UpstreamBehaviour},
        message::{Message, read_body, read_head},
        process::SimulatedProcess,
        unique_address,
        upstream_responses::{
            is_closed, is_closed_within, write_health, write_long, write_ok, write_ok_full, write_ok_leaving,
            write_ok_with_limit, write_pause_request, write_rejection,
        },
    },
    std::{
        io::{self, BufReader, Write},
        net::{IpAddr, SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant, UNIX_EPOCH},
    },
};

/// Idle time after which an upstream that forgets idle connections resets them.
const IDLE_TIMEOUT: Duration = Duration::from_millis(100);

/// Delay before the next attempt after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time that an upstream runs a request that crashes it.
const CRASH_DELAY: Duration = Duration::from_millis(30);

/// The limit that an upstream announced in one response.
pub struct AnnouncedLimit {
    /// Id of the request.
    pub id: String,
    pub at: Instant,
    /// Requests per 1000 s; none if the response announced no limit.
    pub per_1000_s: Option<u32>,
}

/// A stand-in upstream.
#[derive(Clone)]
pub struct Upstream {
    pub id: String,
    pub address: SocketAddr,
    behaviour: Arc<Mutex<UpstreamBehaviour>>,
    /// Number of requests that it ran.
    pub run_count: Arc<AtomicUsize>,
    /// Ids of the requests that it ran.
    pub executed_ids: Arc<Mutex<Vec<String>>>,
    /// Ids and arrival times of requests, without those that it answered as another upstream.
    pub arrivals: Arc<Mutex<Vec<(String, Instant)>>>,
    /// Who sent each of these: the address of a node, or of a proxy before the upstream.
    pub senders: Arc<Mutex<Vec<IpAddr>>>,
    /// Number of requests whose connection was closed before their response was due.
    pub disconnects: Arc<AtomicUsize>,
    /// Number of health probes.
    pub health_probes: Arc<AtomicUsize>,
    /// The last request.
    pub last: Arc<Mutex<Message>>,
    /// Ids of requests that crashed it, and when.
    pub crashes: Arc<Mutex<Vec<(String, Instant)>>>,
    /// Ids of requests that it answered by asking for a pause, when, and the length of the pause.
    pub pauses: Arc<Mutex<Vec<(String, Instant, Duration)>>>,
    /// Limits in its responses since it first announced one.
    pub limits: Arc<Mutex<Vec<AnnouncedLimit>>>,
    /// Ids of requests in whose responses it announced that it is leaving, and when.
    pub departures: Arc<Mutex<Vec<(String, Instant)>>>,
    /// The last error of accepting a connection, for example when the process has no file descriptors left.
    pub accept_error: Arc<Mutex<Option<String>>>,
    /// What it did that a part of a response may come from, with the wall-clock time in milliseconds.
    pub history: Arc<Mutex<Vec<(u64, String)>>>,
    process: SimulatedProcess,
}

impl Upstream {
    /// Starts an upstream on a loopback address of its own.
    pub fn start(id: &str, behaviour: UpstreamBehaviour) -> Self {
        let listener = TcpListener::bind((unique_address(), 8_080)).unwrap();
        let upstream = Self {
            id: id.into(),
            address: listener.local_addr().unwrap(),
            behaviour: Arc::new(Mutex::new(behaviour)),
            run_count: Arc::default(),
            executed_ids: Arc::default(),
            arrivals: Arc::default(),
            senders: Arc::default(),
            disconnects: Arc::default(),
            health_probes: Arc::default(),
            last: Arc::default(),
            crashes: Arc::default(),
            pauses: Arc::default(),
            limits: Arc::default(),
            departures: Arc::default(),
            accept_error: Arc::default(),
            history: Arc::default(),
            process: SimulatedProcess::default(),
        };
        upstream.listen(listener);
        upstream
    }

    /// Accepts connections until it crashes.
    fn listen(&self, listener: TcpListener) {
        let listener = Arc::new(listener);
        self.process.set_listener(Arc::clone(&listener));
        let upstream = self.clone();
        thread::spawn(move || {
            loop {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let upstream = upstream.clone();
                        thread::spawn(move || _ = upstream.serve(stream));
                    }
                    Err(_) if !upstream.process.is_current_listener(&listener) => return,
                    Err(error) => upstream.record_accept_error(&error),
                }
            }
        });
    }

    /// Records a failed accept: this is a fault of the test harness and must not count against the code under
    /// test.
    fn record_accept_error(&self, error: &io::Error) {
        *self.accept_error.lock().unwrap() = Some(error.to_string());
        thread::sleep(ACCEPT_RETRY_DELAY);
    }

    /// From now on, crashes on each request to this path.
    pub fn crash_on(&self, path: &str) {
        self.process.crash_on(path);
    }

    /// Whether it has crashed and has not been restarted.
    pub fn is_down(&self) -> bool {
        self.process.is_down()
    }

    /// Crashes: closes its listener and all connections at once.
    pub fn crash(&self) {
        self.note("crashes");
        self.process.crash();
    }

    /// Restarts at the same address after a crash.
    pub fn restart(&self) {
        self.note("starts again");
        self.listen(TcpListener::bind(self.address).unwrap());
    }

    /// Adds to the history.
    fn note(&self, what: &str) {
        let at_ms = UNIX_EPOCH.elapsed().unwrap().as_millis() as u64;
        self.history.lock().unwrap().push((at_ms, format!("{} {what}", self.id)));
    }

    /// Sets the behaviour for requests from now on.
    pub fn set_behaviour(&self, behaviour: UpstreamBehaviour) {
        *self.behaviour.lock().unwrap() = behaviour;
    }

    /// Number of requests that it ran.
    pub fn run_count(&self) -> usize {
        self.run_count.load(Ordering::SeqCst)
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        // Shares one file descriptor per connection: a large fleet holds thousands of connections.
        let stream = Arc::new(stream);
        let _open = self.process.track_connection(Arc::clone(&stream));
        let mut reader = BufReader::new(&*stream);
        loop {
            let idle_since = Instant::now();
            let behaviour = *self.behaviour.lock().unwrap();
            if matches!(
                behaviour,
                UpstreamBehaviour::ResetIdle | UpstreamBehaviour::ResetIdleWithoutLoadReport
            ) {
                stream.peek(&mut [0; 1])?;
                if idle_since.elapsed() > IDLE_TIMEOUT {
                    // Closing a socket with unread bytes resets the connection.
                    return Ok(());
                }
            }
            let mut request = read_head(&mut reader)?;
            if request.target() == "/health" {
                self.health_probes.fetch_add(1, Ordering::SeqCst);
                let behaviour = *self.behaviour.lock().unwrap();
                if let UpstreamBehaviour::SlowProbes(after_ms) = behaviour {
                    thread::sleep(Duration::from_millis(after_ms));
                }
                write_health(&stream, &self.id, behaviour)?;
                continue;
            }
            let behaviour = *self.behaviour.lock().unwrap();
            if let UpstreamBehaviour::PauseReading { pause_ms, respond } = behaviour {
                let responds_first = respond == RespondTime::BeforeBody;
                if responds_first && !self.handle(&stream, &request)? {
                    return Ok(());
                }
                thread::sleep(Duration::from_millis(pause_ms));
                if responds_first {
                    read_body(&mut reader, &mut request)?;
                    *self.last.lock().unwrap() = request;
                    continue;
                }
            }
            read_body(&mut reader, &mut request)?;
            if !self.handle(&stream, &request)? {
                return Ok(());
            }
        }
    }

    /// Handles one request; returns false if the connection must be closed.
    fn handle(&self, stream: &TcpStream, request: &Message) -> io::Result<bool> {
        *self.last.lock().unwrap() = request.clone();
        let behaviour = self.behaviour.lock().unwrap().for_request(request);
        let id = request.header("pointvane-request-id").unwrap_or_default();
        let expected = request.header("pointvane-expect-instance").unwrap_or_default();
        if expected != self.id {
            write_rejection(stream, "421 Misdirected Request", id, "pointvane-not-executed: 1\r\n")?;
            return Ok(true);
        }
        if behaviour != UpstreamBehaviour::Misdirected {
            let sender = stream.peer_addr()?.ip();
            let mut arrivals = self.arrivals.lock().unwrap();
            arrivals.push((id.into(), Instant::now()));
            // Under the same lock, so that both have the same order.
            self.senders.lock().unwrap().push(sender);
        }
        if !matches!(
            behaviour,
            UpstreamBehaviour::Reject
                | UpstreamBehaviour::RequestPause(_)
                | UpstreamBehaviour::RequestPauseLate { .. }
                | UpstreamBehaviour::Misdirected
        ) {
            self.run_count.fetch_add(1, Ordering::SeqCst);
            self.executed_ids.lock().unwrap().push(id.into());
        }
        if self.process.is_crash_target(request.target()) {
            thread::sleep(CRASH_DELAY);
            self.crashes.lock().unwrap().push((id.into(), Instant::now()));
            self.crash();
            return Ok(false);
        }
        let keep_open = self.respond(stream, behaviour, id)?;
        self.record_limit(behaviour, id);
        Ok(keep_open)
    }

    fn record_limit(&self, behaviour: UpstreamBehaviour, id: &str) {
        let mut limits = self.limits.lock().unwrap();
        let announced = match behaviour {
            UpstreamBehaviour::AnnounceLimit { per_1000_s } => Some(per_1000_s),
            _ if limits.is_empty() => return,
            _ => None,
        };
        limits.push(AnnouncedLimit { id: id.into(), at: Instant::now(), per_1000_s: announced });
    }

    /// Whether it currently announces a limit.
    pub fn announces_limit(&self) -> bool {
        matches!(*self.behaviour.lock().unwrap(), UpstreamBehaviour::AnnounceLimit { .. })
    }

    /// Responds to one request; returns false if the connection must be closed.
    fn respond(&self, mut stream: &TcpStream, behaviour: UpstreamBehaviour, id: &str) -> io::Result<bool> {
        match behaviour {
            UpstreamBehaviour::Normal
            | UpstreamBehaviour::Cold
            | UpstreamBehaviour::SlowProbes(_)
            | UpstreamBehaviour::PauseReading { .. }
            | UpstreamBehaviour::ResetIdle => write_ok(stream, id)?,
            UpstreamBehaviour::ReportFull => write_ok_full(stream, id)?,
            UpstreamBehaviour::AnnounceLimit { per_1000_s } => write_ok_with_limit(stream, id, per_1000_s)?,
            UpstreamBehaviour::Delayed(ms) => {
                if is_closed_within(stream, Duration::from_millis(ms)) {
                    self.disconnects.fetch_add(1, Ordering::SeqCst);
                    return Ok(false);
                }
                write_ok(stream, id)?;
            }
            UpstreamBehaviour::Long { after_ms, length, end } => {
                thread::sleep(Duration::from_millis(after_ms));
                write_long(stream, id, length, end)?;
                if end == BodyEnd::Hangs && is_closed_within(stream, WAIT_TIMEOUT) {
                    self.disconnects.fetch_add(1, Ordering::SeqCst);
                }
                return Ok(end == BodyEnd::Complete);
            }
            UpstreamBehaviour::LoseResponse => return Ok(false),
            UpstreamBehaviour::NoLoadReport | UpstreamBehaviour::ResetIdleWithoutLoadReport => write!(
                stream,
                "HTTP/1.1 200 OK\r\ncontent-length: 5\r\npointvane-request-id: {id}\r\n{RESPONSE_STAMP_HEADER}: s\r\n\r\nhello"
            )?,
            UpstreamBehaviour::WrongRequestId => write_ok(stream, "another")?,
            UpstreamBehaviour::Reject => {
                write_rejection(stream, "503 Service Unavailable", id, "pointvane-not-executed: 1\r\n")?
            }
            UpstreamBehaviour::RequestPause(pause_ms) => {
                write_pause_request(stream, id, pause_ms)?;
                let pause = (id.into(), Instant::now(), Duration::from_millis(pause_ms));
                self.pauses.lock().unwrap().push(pause);
            }
            UpstreamBehaviour::RequestPauseLate { pause_ms, after_ms } => {
                thread::sleep(Duration::from_millis(after_ms));
                let is_open = !is_closed(stream)?;
                write_pause_request(stream, id, pause_ms)?;
                if is_open {
                    let pause = (id.into(), Instant::now(), Duration::from_millis(pause_ms));
                    self.pauses.lock().unwrap().push(pause);
                }
            }
            UpstreamBehaviour::AnnounceLeaving => {
                write_ok_leaving(stream, id)?;
                self.departures.lock().unwrap().push((id.into(), Instant::now()));
            }
            UpstreamBehaviour::Unmarked503 => write_rejection(stream, "503 Service Unavailable", id, "")?,
            UpstreamBehaviour::Misdirected => write_rejection(stream, "421 Misdirected Request", id, "")?,
            UpstreamBehaviour::Truncated => {
                write!(
                    stream,
                    "HTTP/1.1 200 OK\r\ncontent-length: 100\r\npointvane-request-id: {id}\r\n\r\nhalf"
                )?;
                return Ok(false);
            }
            UpstreamBehaviour::Malformed(kind) => {
                self.note(&format!("responds {kind:?} to {id}"));
                kind.write(stream, id)?;
                self.note(&format!("ends the connection of {id}"));
                return Ok(false);
            }
            UpstreamBehaviour::DuplicateResponse => {
                write_ok(stream, id)?;
                write_ok(stream, id)?;
            }
            UpstreamBehaviour::RequestPauseAtDeadline(_) => {
                unreachable!("resolved when the request was taken")
            }
            UpstreamBehaviour::Silent => {
                is_closed_within(stream, WAIT_TIMEOUT);
                return Ok(false);
            }
        }
        Ok(true)
    }
}
