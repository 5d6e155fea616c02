//! Stand-in upstreams with configurable behaviour.

use {
    super::{
        STAMP, WAIT_TIMEOUT,
        manner::Manner,
        message::{Message, read_message},
        own_address,
        process::SimulatedProcess,
        upstream_answers::{
            is_closed, is_closed_within, write_health, write_ok, write_ok_leaving, write_ok_with_limit,
            write_pause_request, write_rejection,
        },
    },
    std::{
        io::{self, BufReader, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
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
    manner: Arc<Mutex<Manner>>,
    /// Number of requests that it ran.
    pub runs: Arc<AtomicUsize>,
    /// Ids of the requests that it ran.
    pub ran: Arc<Mutex<Vec<String>>>,
    /// Ids and arrival times of requests, without those that it answered as another upstream.
    pub arrivals: Arc<Mutex<Vec<(String, Instant)>>>,
    /// Number of requests whose connection was closed before their response was due.
    pub left: Arc<AtomicUsize>,
    /// Number of health probes.
    pub asked: Arc<AtomicUsize>,
    /// The last request.
    pub last: Arc<Mutex<Message>>,
    /// Ids of requests that crashed it, and when.
    pub crashes: Arc<Mutex<Vec<(String, Instant)>>>,
    /// Ids of requests that it answered by asking for a pause, when, and the length of the pause.
    pub pauses: Arc<Mutex<Vec<(String, Instant, Duration)>>>,
    /// Limits in its responses since it first announced one.
    pub limits: Arc<Mutex<Vec<AnnouncedLimit>>>,
    /// Ids of requests in whose responses it announced that it is leaving, and when.
    pub leavings: Arc<Mutex<Vec<(String, Instant)>>>,
    /// The last error of accepting a connection, for example when the process has no file descriptors left.
    pub accept_failure: Arc<Mutex<Option<String>>>,
    process: SimulatedProcess,
}

impl Upstream {
    /// Starts an upstream on a loopback address of its own.
    pub fn start(id: &str, manner: Manner) -> Self {
        let listener = TcpListener::bind((own_address(), 8_080)).unwrap();
        let upstream = Self {
            id: id.into(),
            address: listener.local_addr().unwrap(),
            manner: Arc::new(Mutex::new(manner)),
            runs: Arc::default(),
            ran: Arc::default(),
            arrivals: Arc::default(),
            left: Arc::default(),
            asked: Arc::default(),
            last: Arc::default(),
            crashes: Arc::default(),
            pauses: Arc::default(),
            limits: Arc::default(),
            leavings: Arc::default(),
            accept_failure: Arc::default(),
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
        *self.accept_failure.lock().unwrap() = Some(error.to_string());
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
        self.process.crash();
    }

    /// Restarts at the same address after a crash.
    pub fn start_again(&self) {
        self.listen(TcpListener::bind(self.address).unwrap());
    }

    /// Sets the behaviour for requests from now on.
    pub fn set(&self, manner: Manner) {
        *self.manner.lock().unwrap() = manner;
    }

    /// Number of requests that it ran.
    pub fn runs(&self) -> usize {
        self.runs.load(Ordering::SeqCst)
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        // Shares one file descriptor per connection: a large fleet holds thousands of connections.
        let stream = Arc::new(stream);
        let _open = self.process.track_connection(Arc::clone(&stream));
        let mut reader = BufReader::new(&*stream);
        loop {
            let idle_since = Instant::now();
            let manner = *self.manner.lock().unwrap();
            if matches!(manner, Manner::ForgetIdle | Manner::ForgetIdleWithoutLoadReport) {
                stream.peek(&mut [0; 1])?;
                if idle_since.elapsed() > IDLE_TIMEOUT {
                    // Closing a socket with unread bytes resets the connection.
                    return Ok(());
                }
            }
            let request = read_message(&mut reader)?;
            if request.target() == "/health" {
                self.asked.fetch_add(1, Ordering::SeqCst);
                let manner = *self.manner.lock().unwrap();
                if let Manner::SlowProbes(after_ms) = manner {
                    thread::sleep(Duration::from_millis(after_ms));
                }
                write_health(&stream, &self.id, manner)?;
                continue;
            }
            if !self.handle(&stream, &request)? {
                return Ok(());
            }
        }
    }

    /// Handles one request; returns false if the connection must be closed.
    fn handle(&self, stream: &TcpStream, request: &Message) -> io::Result<bool> {
        *self.last.lock().unwrap() = request.clone();
        let manner = self.manner.lock().unwrap().for_request(request);
        let id = request.header("pointvane-request-id").unwrap_or_default();
        let expected = request.header("pointvane-expect-instance").unwrap_or_default();
        if expected != self.id {
            write_rejection(stream, "421 Misdirected Request", id, "pointvane-not-executed: 1\r\n")?;
            return Ok(true);
        }
        if manner != Manner::Misdirected {
            self.arrivals.lock().unwrap().push((id.into(), Instant::now()));
        }
        if !matches!(
            manner,
            Manner::Shed | Manner::AskForPause(_) | Manner::AskForPauseLate { .. } | Manner::Misdirected
        ) {
            self.runs.fetch_add(1, Ordering::SeqCst);
            self.ran.lock().unwrap().push(id.into());
        }
        if self.process.is_crash_target(request.target()) {
            thread::sleep(CRASH_DELAY);
            self.crashes.lock().unwrap().push((id.into(), Instant::now()));
            self.process.crash();
            return Ok(false);
        }
        let keep_open = self.respond(stream, manner, id)?;
        self.record_limit(manner, id);
        Ok(keep_open)
    }

    fn record_limit(&self, manner: Manner, id: &str) {
        let mut limits = self.limits.lock().unwrap();
        let announced = match manner {
            Manner::NameLimit { per_1000_s } => Some(per_1000_s),
            _ if limits.is_empty() => return,
            _ => None,
        };
        limits.push(AnnouncedLimit { id: id.into(), at: Instant::now(), per_1000_s: announced });
    }

    /// Whether it currently announces a limit.
    pub fn names_limit(&self) -> bool {
        matches!(*self.manner.lock().unwrap(), Manner::NameLimit { .. })
    }

    /// Responds to one request; returns false if the connection must be closed.
    fn respond(&self, mut stream: &TcpStream, manner: Manner, id: &str) -> io::Result<bool> {
        match manner {
            Manner::Well | Manner::Cold | Manner::SlowProbes(_) | Manner::ForgetIdle => write_ok(stream, id)?,
            Manner::NameLimit { per_1000_s } => write_ok_with_limit(stream, id, per_1000_s)?,
            Manner::After(ms) => {
                if is_closed_within(stream, Duration::from_millis(ms)) {
                    self.left.fetch_add(1, Ordering::SeqCst);
                    return Ok(false);
                }
                write_ok(stream, id)?;
            }
            Manner::LoseAnswer => return Ok(false),
            Manner::NoLoadReport | Manner::ForgetIdleWithoutLoadReport => write!(
                stream,
                "HTTP/1.1 200 OK\r\ncontent-length: 5\r\npointvane-request-id: {id}\r\n{STAMP}: s\r\n\r\nhello"
            )?,
            Manner::OtherId => write_ok(stream, "another")?,
            Manner::Shed => {
                write_rejection(stream, "503 Service Unavailable", id, "pointvane-not-executed: 1\r\n")?
            }
            Manner::AskForPause(pause_ms) => {
                write_pause_request(stream, id, pause_ms)?;
                let asked = (id.into(), Instant::now(), Duration::from_millis(pause_ms));
                self.pauses.lock().unwrap().push(asked);
            }
            Manner::AskForPauseLate { pause_ms, after_ms } => {
                thread::sleep(Duration::from_millis(after_ms));
                let is_open = !is_closed(stream)?;
                write_pause_request(stream, id, pause_ms)?;
                if is_open {
                    let asked = (id.into(), Instant::now(), Duration::from_millis(pause_ms));
                    self.pauses.lock().unwrap().push(asked);
                }
            }
            Manner::SayLeaving => {
                write_ok_leaving(stream, id)?;
                self.leavings.lock().unwrap().push((id.into(), Instant::now()));
            }
            Manner::Bare503 => write_rejection(stream, "503 Service Unavailable", id, "")?,
            Manner::Misdirected => write_rejection(stream, "421 Misdirected Request", id, "")?,
            Manner::CutShort => {
                write!(
                    stream,
                    "HTTP/1.1 200 OK\r\ncontent-length: 100\r\npointvane-request-id: {id}\r\n\r\nhalf"
                )?;
                return Ok(false);
            }
            Manner::Surplus => {
                write_ok(stream, id)?;
                write_ok(stream, id)?;
            }
            Manner::AskForPauseAtDeadline(_) => unreachable!("resolved when the request was taken"),
            Manner::Silent => {
                is_closed_within(stream, WAIT_TIMEOUT);
                return Ok(false);
            }
        }
        Ok(true)
    }
}
