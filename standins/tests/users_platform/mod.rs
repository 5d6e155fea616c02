//! Stand-ins on loopback for the platform's store and for upstreams, and a node as a real process.
#![allow(dead_code)]

use std::{
    fs,
    io::{self, BufRead, BufReader, Read, Write},
    net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicU32, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use base64::{Engine, engine::general_purpose::STANDARD};

pub const HOST: &str = "app.example";
pub const STAMP: &str = "pointvane-response-stamp";
const TRAFFIC_PORT: u16 = 8_144;
const READY_PORT: u16 = 8_140;
const DIRECTORY_PORT: u16 = 8_143;
const PATIENCE: Duration = Duration::from_secs(20);

/// A loopback address of its own for each thing that listens in these tests.
pub fn own_address() -> Ipv4Addr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id();
    let third = (process / 199 + number / 250 * 100) % 250;
    Ipv4Addr::new(127, (process % 199 + 20) as u8, third as u8, (number % 250 + 1) as u8)
}

/// A message as it was read: its first line, its headers in lower case, its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }
}

pub fn read_message(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    message.first_line = line.trim().into();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim().split_once(':') else { break };
        message.headers.push((name.to_ascii_lowercase(), value.trim().into()));
    }
    if let Some(length) = message.header("content-length").and_then(|length| length.parse().ok()) {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    } else if message.header("transfer-encoding").is_some() {
        message.body = read_chunks(reader)?;
    }
    Ok(message)
}

fn read_chunks(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let size = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// What the store holds; changes are kept as events.
#[derive(Default)]
struct Stored {
    revision: u64,
    items: Vec<(String, Vec<u8>, u64)>,
    events: Vec<(u64, String, Option<Vec<u8>>)>,
}

/// A stand-in for the platform's store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    stored: Arc<(Mutex<Stored>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind((own_address(), 8_142)).unwrap();
        let store = Self { address: listener.local_addr().unwrap(), stored: Arc::default() };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || _ = store.serve(stream));
            }
        });
        store
    }

    pub fn put(&self, key: &str, value: &str) {
        let mut stored = self.stored.0.lock().unwrap();
        stored.revision += 1;
        let revision = stored.revision;
        stored.items.retain(|(held, _, _)| held != key);
        stored.items.push((key.into(), value.into(), revision));
        stored.events.push((revision, key.into(), Some(value.into())));
        self.stored.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        let mut stored = self.stored.0.lock().unwrap();
        stored.revision += 1;
        let revision = stored.revision;
        stored.items.retain(|(held, _, _)| held != key);
        stored.events.push((revision, key.into(), None));
        self.stored.1.notify_all();
    }

    /// Publishes a configuration: routes as path, kind, time-out and service.
    pub fn configure(&self, version: u64, routes: &[(&str, &str, u64, &str)]) {
        let route = |(path, kind, timeout_ms, service): &(&str, &str, u64, &str)| {
            format!(
                r#"{{"name":"r{path}","host":"{HOST}","path-prefix":"{path}","type":"{kind}","timeout-ms":{timeout_ms},"target-latency-ms":200,"priority":1,"service":"{service}","max-attempts":2}}"#
            )
        };
        let routes: Vec<String> = routes.iter().map(route).collect();
        self.put(
            "op/config",
            &format!(
                r#"{{"version":"{version:08x}","routes":[{}],"services":[{{"name":"app","health-path":"/health","max-connections":100,"protocol":"h1","tls":false}}],"limits":{{"max-header-bytes":16384,"max-body-bytes":67108864,"header-timeout-ms":3000,"idle-timeout-ms":15000}}}}"#,
                routes.join(",")
            ),
        );
    }

    pub fn list(&self, upstream: &Upstream, state: &str, sequence: u64) {
        self.list_at(upstream, upstream.address, state, sequence);
    }

    /// Lists an upstream that is reached at another address than its own.
    pub fn list_at(&self, upstream: &Upstream, address: SocketAddr, state: &str, sequence: u64) {
        self.put(
            &format!("servers/{}", upstream.id),
            &format!(
                r#"{{"address":"{address}","info":{{"service":"app","version":"v1","zone":"one","slots":3}},"status":{{"state":"{state}","sequence":{sequence},"warmup-left-ms":0}}}}"#
            ),
        );
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        loop {
            let request = read_message(&mut reader)?;
            let body = self.answer(request.target());
            write!(stream, "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len())?;
        }
    }

    fn answer(&self, target: &str) -> String {
        let query = |name: &str| {
            let pairs = target.split_once('?').map_or("", |(_, query)| query).split('&');
            pairs
                .filter_map(|pair| pair.split_once('='))
                .find(|(key, _)| *key == name)
                .map(|(_, value)| value.to_owned())
        };
        let number = |name: &str| query(name).and_then(|value| value.parse::<u64>().ok()).unwrap_or_default();
        let (lock, changed) = &*self.stored;
        let mut stored = lock.lock().unwrap();
        if target.starts_with("/kv-range") {
            let items = stored.items.iter().map(|(key, value, revision)| item(key, Some(value), *revision));
            let items: Vec<String> = items.collect();
            return format!(r#"{{"items":[{}],"more":false,"at":{}}}"#, items.join(","), stored.revision);
        }
        let after = number("after");
        let until = Instant::now() + Duration::from_millis(number("wait-ms"));
        while stored.revision <= after && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            stored = changed.wait_timeout(stored, left).unwrap().0;
        }
        let events = stored.events.iter().filter(|(revision, _, _)| *revision > after);
        let events: Vec<String> =
            events.map(|(revision, key, value)| item(key, value.as_ref(), *revision)).collect();
        format!(r#"{{"events":[{}],"at":{}}}"#, events.join(","), stored.revision)
    }
}

fn item(key: &str, value: Option<&Vec<u8>>, revision: u64) -> String {
    match value {
        Some(value) => {
            let value = STANDARD.encode(value);
            format!(r#"{{"tls-key":"{key}","value":"{value}","revision":{revision},"made":1,"lease":0}}"#)
        }
        None => format!(r#"{{"tls-key":"{key}","revision":{revision},"gone":true}}"#),
    }
}

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

/// The program, as `cargo test --workspace` or `cargo build --workspace` built it last.
fn program() -> PathBuf {
    let tests = std::env::current_exe().unwrap();
    tests.parent().unwrap().parent().unwrap().join("pointvane-platform-node")
}

/// A node as a real process; it is killed when dropped.
/// What becomes of the lines that a node writes.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Log {
    /// They go to a file.
    File,
    /// All lines go to a pipe that nobody reads.
    NeverRead,
}

pub struct NodeProcess {
    pub ip: Ipv4Addr,
    child: Child,
    settings: PathBuf,
    pub output: PathBuf,
}

/// Options by which each request is told in lines.
const ALL_LINES: &str = "[lines]\nwell_every = 1\nwrong_per_s = 100000\nbeliefs_per_s = 100000\n";

impl NodeProcess {
    pub fn start(store: &Store) -> Self {
        Self::start_in(store, &[])
    }

    pub fn start_in(store: &Store, seeds: &[Ipv4Addr]) -> Self {
        Self::start_with(store, seeds, Log::File)
    }

    pub fn start_with(store: &Store, seeds: &[Ipv4Addr], log: Log) -> Self {
        Self::start_at(own_address(), store.address, seeds, log)
    }

    /// A node at an address; it may have run there before.
    pub fn start_at(ip: Ipv4Addr, store: SocketAddr, seeds: &[Ipv4Addr], log: Log) -> Self {
        let folder = std::env::temp_dir().join(format!("pointvane-{ip}"));
        fs::create_dir_all(&folder).unwrap();
        let settings = folder.join("boot.toml");
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}:8146\"")).collect();
        let text = format!(
            r#"[self]
node-name = "node-{ip}"
ip = "{ip}"
zone = "one"
[network]
internal-ports = [7660, 7675]
seeds = [{}]
[network.listen]
front = "{ip}:{TRAFFIC_PORT}"
ready = "{ip}:{READY_PORT}"
directory = "{ip}:{DIRECTORY_PORT}"
[platform.platform]
address = "{}"
[terms.bounds]
grace-s = 3
budget-ratio = 0.2
budget-slack = 200
probes-per-s = 1000
ttl_max_s = 5
"#,
            seeds.join(","),
            store
        );
        fs::write(&settings, text).unwrap();
        let output = folder.join("stdout");
        let mut command = Command::new(program());
        command.env("POINTVANE_BOOT", &settings).stderr(Stdio::inherit());
        match log {
            Log::File => command.stdout(fs::File::create(&output).unwrap()),
            Log::NeverRead => {
                let options = folder.join("options.toml");
                fs::write(&options, ALL_LINES).unwrap();
                command.arg("--options").arg(options).stdout(Stdio::piped())
            }
        };
        let node = Self { ip, child: command.spawn().unwrap(), settings, output };
        eventually(|| TcpStream::connect((ip, READY_PORT)).is_ok());
        node
    }

    pub fn until_ready(&self) {
        eventually(|| self.ready() == 200);
    }

    pub fn ready(&self) -> u16 {
        let head = "GET /ready HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        call((self.ip, READY_PORT).into(), head).map_or(0, |message| message.status())
    }

    pub fn directory(&self) -> String {
        let head = "GET /resolve?name=a&region=r&zone=one HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        call((self.ip, DIRECTORY_PORT).into(), head)
            .map_or_else(|_| String::new(), |m| String::from_utf8(m.body).unwrap())
    }

    pub fn traffic(&self) -> SocketAddr {
        (self.ip, TRAFFIC_PORT).into()
    }

    /// One request on a connection of its own.
    pub fn request(&self, method: &str, path: &str, id: &str, deadline_ms: u64) -> io::Result<Message> {
        call(self.traffic(), &request_head(method, path, id, deadline_ms))
    }

    pub fn signal(&self, name: &str) {
        let status = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
        assert!(status.unwrap().success());
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Waits for the process to end; its exit code.
    pub fn ended(&mut self) -> Option<i32> {
        let mut code = None;
        eventually(|| match self.child.try_wait() {
            Ok(Some(status)) => {
                code = status.code();
                true
            }
            _ => false,
        });
        code
    }

    pub fn lines(&self) -> String {
        fs::read_to_string(&self.output).unwrap_or_default()
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        _ = self.child.kill();
        _ = self.child.wait();
        _ = fs::remove_dir_all(self.settings.parent().unwrap());
    }
}

pub fn request_head(method: &str, path: &str, id: &str, deadline_ms: u64) -> String {
    let body = if method == "POST" { "content-length: 4\r\n\r\ndata" } else { "\r\n" };
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\npointvane-request-id: {id}\r\npointvane-deadline-ms: {deadline_ms}\r\n{body}"
    )
}

pub fn call(address: SocketAddr, head: &str) -> io::Result<Message> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.write_all(head.as_bytes())?;
    read_message(&mut BufReader::new(stream))
}

/// Waits until something holds; fails when it never does.
#[track_caller]
pub fn eventually(mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < until, "never came true");
        thread::sleep(Duration::from_millis(10));
    }
}
