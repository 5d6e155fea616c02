//! Stand-ins for upstreams, each of a manner of its own.

use {
    super::{
        PATIENCE, STAMP,
        message::{Message, read_message},
        own_address,
    },
    std::{
        io::{self, BufReader, Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        sync::{
            Arc, Mutex,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
};

/// How an upstream answers requests; it always answers questions about its health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// A whole answer.
    Well,
    /// A whole answer after this many milliseconds.
    After(u64),
    /// It runs the request and closes with no answer.
    LoseAnswer,
    /// It runs the request and answers with another request's id.
    OtherId,
    /// It says that it is full and did not run the request.
    Shed,
    /// It says 503 but not that it did not run the request.
    Bare503,
    /// It says that it is another upstream.
    Misdirected,
    /// It tells a length and closes before that.
    CutShort,
    /// A whole answer, and another one behind it.
    Surplus,
    /// It runs the request and never answers.
    Silent,
    /// It answers well and tells nothing of its load.
    TellsNothing,
    /// It answers well, but resets a connection that has rested when the next bytes come.
    ForgetIdle,
}
/// Rest after which such an upstream has forgotten a connection.
const FORGOTTEN_AFTER: Duration = Duration::from_millis(100);

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
        };
        let served = upstream.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let upstream = served.clone();
                thread::spawn(move || _ = upstream.serve(stream));
            }
        });
        upstream
    }

    pub fn set(&self, manner: Manner) {
        *self.manner.lock().unwrap() = manner;
    }

    pub fn runs(&self) -> usize {
        self.runs.load(Ordering::SeqCst)
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        loop {
            let waits_since = Instant::now();
            if *self.manner.lock().unwrap() == Manner::ForgetIdle {
                stream.peek(&mut [0; 1])?;
                if waits_since.elapsed() > FORGOTTEN_AFTER {
                    // Closing with unread bytes resets.
                    return Ok(());
                }
            }
            let request = read_message(&mut reader)?;
            if request.target() == "/health" {
                self.asked.fetch_add(1, Ordering::SeqCst);
                if *self.manner.lock().unwrap() == Manner::TellsNothing {
                    write!(
                        stream,
                        "HTTP/1.1 200 OK\r\ncontent-length: 0\r\npointvane-instance-id: {}\r\n\r\n",
                        self.id
                    )?;
                    continue;
                }
                write!(
                    stream,
                    "HTTP/1.1 200 OK\r\ncontent-length: 0\r\npointvane-instance-id: {}\r\npointvane-instance-load: 0,0,3,100\r\n\r\n",
                    self.id
                )?;
                continue;
            }
            *self.last.lock().unwrap() = request.clone();
            let manner = *self.manner.lock().unwrap();
            let id = request.header("pointvane-request-id").unwrap_or_default().to_owned();
            let expected = request.header("pointvane-expect-instance").unwrap_or_default().to_owned();
            if expected != self.id {
                refuse(&mut stream, "421 Misdirected Request", &id, "pointvane-not-executed: 1\r\n")?;
                continue;
            }
            if manner != Manner::Misdirected {
                self.arrivals.lock().unwrap().push((id.clone(), Instant::now()));
            }
            if !matches!(manner, Manner::Shed | Manner::Misdirected) {
                self.runs.fetch_add(1, Ordering::SeqCst);
                self.ran.lock().unwrap().push(id.clone());
            }
            if !self.answer(&mut stream, manner, &id)? {
                return Ok(());
            }
        }
    }

    /// Answers one request; false when the connection is to be closed.
    fn answer(&self, stream: &mut TcpStream, manner: Manner, id: &str) -> io::Result<bool> {
        match manner {
            Manner::Well | Manner::ForgetIdle => whole(stream, id)?,
            Manner::After(ms) => {
                if closed_within(stream, Duration::from_millis(ms)) {
                    self.left.fetch_add(1, Ordering::SeqCst);
                    return Ok(false);
                }
                whole(stream, id)?;
            }
            Manner::LoseAnswer => return Ok(false),
            Manner::TellsNothing => write!(
                stream,
                "HTTP/1.1 200 OK\r\ncontent-length: 5\r\npointvane-request-id: {id}\r\n{STAMP}: s\r\n\r\nhello"
            )?,
            Manner::OtherId => whole(stream, "another")?,
            Manner::Shed => refuse(stream, "503 Service Unavailable", id, "pointvane-not-executed: 1\r\n")?,
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
            Manner::Silent => {
                closed_within(stream, PATIENCE);
                return Ok(false);
            }
        }
        Ok(true)
    }
}

fn whole(stream: &mut TcpStream, id: &str) -> io::Result<()> {
    write!(
        stream,
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\npointvane-request-id: {id}\r\n{STAMP}: s\r\npointvane-instance-load: 1,0,3,100\r\n\r\nhello"
    )
}

fn refuse(stream: &mut TcpStream, status: &str, id: &str, extra: &str) -> io::Result<()> {
    write!(stream, "HTTP/1.1 {status}\r\ncontent-length: 0\r\npointvane-request-id: {id}\r\n{extra}\r\n")
}

/// Whether the peer closes within a time.
fn closed_within(stream: &TcpStream, time: Duration) -> bool {
    if stream.set_read_timeout(Some(time)).is_err() {
        return true;
    }
    let closed = matches!((&mut &*stream).read(&mut [0; 1]), Ok(0));
    _ = stream.set_read_timeout(None);
    closed
}
