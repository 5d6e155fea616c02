//! Stand-ins for upstreams, each of a manner of its own.

use {
    super::{
        PATIENCE, STAMP,
        manner::Manner,
        message::{Message, read_message},
        own_address,
        process::Process,
        upstream_answers::{
            ask_for_pause, closed_within, healthy, is_closed, refuse, whole, whole_of_one_that_leaves,
            whole_of_one_that_names_a_limit,
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

/// Rest after which such an upstream has forgotten a connection.
const FORGOTTEN_AFTER: Duration = Duration::from_millis(100);

/// Rest after a connection that could not be accepted.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// Time for which an upstream runs a request under which it crashes.
const CRASHES_AFTER: Duration = Duration::from_millis(30);

/// What an upstream said of its limit in one answer.
pub struct LimitSaid {
    /// The request.
    pub id: String,
    pub at: Instant,
    /// None if it named none.
    pub per_1000_s: Option<u32>,
}

/// A stand-in for an upstream.
#[derive(Clone)]
pub struct Upstream {
    pub id: String,
    pub address: SocketAddr,
    manner: Arc<Mutex<Manner>>,
    /// Requests that it ran.
    pub runs: Arc<AtomicUsize>,
    /// Identities of these.
    pub ran: Arc<Mutex<Vec<String>>>,
    /// Requests that reached it and were not told that it is another upstream, and when.
    pub arrivals: Arc<Mutex<Vec<(String, Instant)>>>,
    /// Requests whose connection closed before their answer was due.
    pub left: Arc<AtomicUsize>,
    /// Questions about its health.
    pub asked: Arc<AtomicUsize>,
    /// The last request that it got.
    pub last: Arc<Mutex<Message>>,
    /// Requests under which it crashed, and when.
    pub crashes: Arc<Mutex<Vec<(String, Instant)>>>,
    /// Requests that it answered by asking for a pause: when, and for how long.
    pub pauses: Arc<Mutex<Vec<(String, Instant, Duration)>>>,
    /// What it said in its answers to requests since it first named a limit.
    pub limits: Arc<Mutex<Vec<LimitSaid>>>,
    /// Requests in whose answers it said that it leaves, and when.
    pub leavings: Arc<Mutex<Vec<(String, Instant)>>>,
    /// Why it could not accept a connection the last time it failed to, as where the process has no descriptors left.
    pub accept_failure: Arc<Mutex<Option<String>>>,
    process: Process,
}

impl Upstream {
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
            process: Process::default(),
        };
        upstream.listen(listener);
        upstream
    }

    /// Accepts connections until it crashes.
    fn listen(&self, listener: TcpListener) {
        let listener = Arc::new(listener);
        self.process.started(Arc::clone(&listener));
        let upstream = self.clone();
        thread::spawn(move || {
            loop {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let upstream = upstream.clone();
                        thread::spawn(move || _ = upstream.serve(stream));
                    }
                    Err(_) if !upstream.process.listens_at(&listener) => return,
                    Err(error) => upstream.note_failed_accept(&error),
                }
            }
        });
    }

    /// A stand-in that cannot accept is a fault of the harness, not one that a promise has to bear.
    fn note_failed_accept(&self, error: &io::Error) {
        *self.accept_failure.lock().unwrap() = Some(error.to_string());
        thread::sleep(ACCEPT_AGAIN);
    }

    /// Crashes from now on under each request to this path.
    pub fn crash_on(&self, path: &str) {
        self.process.crash_on(path);
    }

    /// Whether it has crashed and not started again.
    pub fn is_down(&self) -> bool {
        self.process.is_down()
    }

    /// Ends at once, as a process that crashes: nobody listens any more, and all connections close.
    pub fn crash(&self) {
        self.process.crash();
    }

    /// Starts again at its address after a crash.
    pub fn start_again(&self) {
        self.listen(TcpListener::bind(self.address).unwrap());
    }

    pub fn set(&self, manner: Manner) {
        *self.manner.lock().unwrap() = manner;
    }

    pub fn runs(&self) -> usize {
        self.runs.load(Ordering::SeqCst)
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        // One descriptor a connection: a large fleet holds thousands of them.
        let stream = Arc::new(stream);
        let _open = self.process.opened(Arc::clone(&stream));
        let mut reader = BufReader::new(&*stream);
        loop {
            let waits_since = Instant::now();
            let manner = *self.manner.lock().unwrap();
            if matches!(manner, Manner::ForgetIdle | Manner::ForgetIdleSilently) {
                stream.peek(&mut [0; 1])?;
                if waits_since.elapsed() > FORGOTTEN_AFTER {
                    // Closing with unread bytes resets.
                    return Ok(());
                }
            }
            let request = read_message(&mut reader)?;
            if request.target() == "/health" {
                self.asked.fetch_add(1, Ordering::SeqCst);
                let manner = *self.manner.lock().unwrap();
                if let Manner::LateHealth(after_ms) = manner {
                    thread::sleep(Duration::from_millis(after_ms));
                }
                healthy(&stream, &self.id, manner)?;
                continue;
            }
            if !self.take(&stream, &request)? {
                return Ok(());
            }
        }
    }

    /// Takes one request; false when the connection is to be closed.
    fn take(&self, stream: &TcpStream, request: &Message) -> io::Result<bool> {
        *self.last.lock().unwrap() = request.clone();
        let manner = self.manner.lock().unwrap().for_request(request);
        let id = request.header("pointvane-request-id").unwrap_or_default();
        let expected = request.header("pointvane-expect-instance").unwrap_or_default();
        if expected != self.id {
            refuse(stream, "421 Misdirected Request", id, "pointvane-not-executed: 1\r\n")?;
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
        if self.process.crashes_under(request.target()) {
            thread::sleep(CRASHES_AFTER);
            self.crashes.lock().unwrap().push((id.into(), Instant::now()));
            self.process.crash();
            return Ok(false);
        }
        let is_kept = self.answer(stream, manner, id)?;
        self.note_limit(manner, id);
        Ok(is_kept)
    }

    fn note_limit(&self, manner: Manner, id: &str) {
        let mut limits = self.limits.lock().unwrap();
        let named = match manner {
            Manner::NameLimit { per_1000_s } => Some(per_1000_s),
            _ if limits.is_empty() => return,
            _ => None,
        };
        limits.push(LimitSaid { id: id.into(), at: Instant::now(), per_1000_s: named });
    }

    /// Whether it names a limit now.
    pub fn names_limit(&self) -> bool {
        matches!(*self.manner.lock().unwrap(), Manner::NameLimit { .. })
    }

    /// Answers one request; false when the connection is to be closed.
    fn answer(&self, mut stream: &TcpStream, manner: Manner, id: &str) -> io::Result<bool> {
        match manner {
            Manner::Well | Manner::Cold | Manner::LateHealth(_) | Manner::ForgetIdle => whole(stream, id)?,
            Manner::NameLimit { per_1000_s } => whole_of_one_that_names_a_limit(stream, id, per_1000_s)?,
            Manner::After(ms) => {
                if closed_within(stream, Duration::from_millis(ms)) {
                    self.left.fetch_add(1, Ordering::SeqCst);
                    return Ok(false);
                }
                whole(stream, id)?;
            }
            Manner::LoseAnswer => return Ok(false),
            Manner::TellsNothing | Manner::ForgetIdleSilently => write!(
                stream,
                "HTTP/1.1 200 OK\r\ncontent-length: 5\r\npointvane-request-id: {id}\r\n{STAMP}: s\r\n\r\nhello"
            )?,
            Manner::OtherId => whole(stream, "another")?,
            Manner::Shed => refuse(stream, "503 Service Unavailable", id, "pointvane-not-executed: 1\r\n")?,
            Manner::AskForPause(pause_ms) => {
                ask_for_pause(stream, id, pause_ms)?;
                let asked = (id.into(), Instant::now(), Duration::from_millis(pause_ms));
                self.pauses.lock().unwrap().push(asked);
            }
            Manner::AskForPauseLate { pause_ms, after_ms } => {
                thread::sleep(Duration::from_millis(after_ms));
                let is_heard = !is_closed(stream)?;
                ask_for_pause(stream, id, pause_ms)?;
                if is_heard {
                    let asked = (id.into(), Instant::now(), Duration::from_millis(pause_ms));
                    self.pauses.lock().unwrap().push(asked);
                }
            }
            Manner::SayLeaving => {
                whole_of_one_that_leaves(stream, id)?;
                self.leavings.lock().unwrap().push((id.into(), Instant::now()));
            }
            Manner::Bare503 => refuse(stream, "503 Service Unavailable", id, "")?,
            Manner::Misdirected => refuse(stream, "421 Misdirected Request", id, "")?,
            Manner::CutShort => {
                write!(
                    stream,
                    "HTTP/1.1 200 OK\r\ncontent-length: 100\r\npointvane-request-id: {id}\r\n\r\nhalf"
                )?;
                return Ok(false);
            }
            Manner::Surplus => {
                whole(stream, id)?;
                whole(stream, id)?;
            }
            Manner::AskForPauseAtDeadline(_) => unreachable!("resolved when the request was taken"),
            Manner::Silent => {
                closed_within(stream, PATIENCE);
                return Ok(false);
            }
        }
        Ok(true)
    }
}
