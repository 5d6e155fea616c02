//! A caller that reports what it gets by the framing of HTTP alone.

use std::{
    fmt::Display,
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    thread,
    time::Duration,
};

/// Maximum time that a caller waits for bytes.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Version of HTTP that a caller speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerVersion {
    Http10,
    Http11,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    method: &'static str,
    target: String,
    version: CallerVersion,
    headers: String,
    body: Vec<u8>,
}

impl Request {
    /// A `GET` of HTTP/1.1 without a body.
    pub fn new(host: &str, target: &str) -> Self {
        Self {
            method: "GET",
            target: target.into(),
            version: CallerVersion::Http11,
            headers: format!("host: {host}\r\n"),
            body: Vec::new(),
        }
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: impl Display) -> Self {
        self.headers += &format!("{name}: {value}\r\n");
        self
    }

    /// Sets the method.
    pub fn method(self, method: &'static str) -> Self {
        Self { method, ..self }
    }

    /// Sets the version of HTTP.
    pub fn version(self, version: CallerVersion) -> Self {
        Self { version, ..self }
    }

    /// Makes it an upload, unless the body is empty.
    pub fn body(self, body: &[u8]) -> Self {
        if body.is_empty() {
            return self;
        }
        let length = body.len();
        Self { body: body.into(), ..self.method("POST").header("content-length", length) }
    }

    fn bytes(&self) -> Vec<u8> {
        let Self { method, target, headers, body, .. } = self;
        let version = match self.version {
            CallerVersion::Http10 => "HTTP/1.0",
            CallerVersion::Http11 => "HTTP/1.1",
        };
        [format!("{method} {target} {version}\r\n{headers}\r\n").as_bytes(), body].concat()
    }
}

/// What a caller has got.
#[derive(Clone, Debug, Default)]
pub struct Delivery {
    /// 0 without a complete head.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body_bytes: usize,
    /// Whether the response is whole by its framing.
    pub is_complete: bool,
}

impl Delivery {
    /// The value of a header given by its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }
}

/// Sends a request on a new connection and reads the response.
pub fn deliver(address: SocketAddr, request: &Request) -> Delivery {
    deliver_in_turn(address, std::slice::from_ref(request)).remove(0)
}

/// Sends requests on one connection, each after the response to the one before, as long as those are whole and
/// leave the connection open.
pub fn deliver_in_turn(address: SocketAddr, requests: &[Request]) -> Vec<Delivery> {
    let stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let mut reader = BufReader::new(&stream);
    let mut deliveries = Vec::new();
    for request in requests {
        let (bytes, mut writer) = (request.bytes(), stream.try_clone().unwrap());
        let writing = thread::spawn(move || writer.write_all(&bytes));
        let mut delivery = Delivery::default();
        let end = read_response(&mut reader, request.method, &mut delivery);
        // A write to a connection that was reset takes the error, and a read then sees an orderly end.
        let is_reset = || writing.join().unwrap().is_err();
        delivery.is_complete = match end {
            Ok(BodyEnd::Framed) => true,
            Ok(BodyEnd::Connection) => !is_reset(),
            Err(_) => false,
        };
        let is_last = end.map_or(true, |end| end == BodyEnd::Connection) || !request.body.is_empty();
        deliveries.push(delivery);
        if is_last {
            break;
        }
    }
    // Ends a writer whose upload is not read any more.
    _ = stream.shutdown(Shutdown::Both);
    deliveries
}

/// Sends requests on one connection at once, and reads the responses as long as those are whole.
pub fn deliver_pipelined(address: SocketAddr, requests: &[Request]) -> Vec<Delivery> {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let bytes: Vec<Vec<u8>> = requests.iter().map(Request::bytes).collect();
    stream.write_all(&bytes.concat()).unwrap();
    let mut reader = BufReader::new(&stream);
    let mut deliveries = Vec::new();
    for request in requests {
        let mut delivery = Delivery::default();
        let end = read_response(&mut reader, request.method, &mut delivery);
        delivery.is_complete = end.is_ok();
        deliveries.push(delivery);
        if !matches!(end, Ok(BodyEnd::Framed)) {
            break;
        }
    }
    deliveries
}

/// What ends a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyEnd {
    /// Its length, its last chunk or its status.
    Framed,
    /// The end of the connection.
    Connection,
}

/// Reads a response; an error if it is cut off.
fn read_response(reader: &mut impl BufRead, method: &str, delivery: &mut Delivery) -> io::Result<BodyEnd> {
    read_head(reader, delivery)?;
    if method == "HEAD" || matches!(delivery.status, 204 | 304) {
        return Ok(BodyEnd::Framed);
    }
    if delivery.header("transfer-encoding").is_some() {
        read_chunks(reader, delivery)?;
        return Ok(BodyEnd::Framed);
    }
    if let Some(length) = delivery.header("content-length") {
        let length = length.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        read_plain(reader, length, delivery)?;
        return Ok(BodyEnd::Framed);
    }
    io::copy(reader, &mut Counter(&mut delivery.body_bytes))?;
    Ok(BodyEnd::Connection)
}

fn read_head(reader: &mut impl BufRead, delivery: &mut Delivery) -> io::Result<()> {
    let status_line = read_line(reader)?;
    delivery.status =
        status_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or_default();
    loop {
        let line = read_line(reader)?;
        let Some((name, value)) = line.split_once(": ") else { return Ok(()) };
        delivery.headers.push((name.to_ascii_lowercase(), value.into()));
    }
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    reader.read_line(&mut line)?;
    match line.strip_suffix("\r\n") {
        Some(line) => Ok(line.into()),
        None => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

fn read_chunks(reader: &mut impl BufRead, delivery: &mut Delivery) -> io::Result<()> {
    loop {
        let line = read_line(reader)?;
        let length = usize::from_str_radix(&line, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        read_plain(reader, length, delivery)?;
        read_line(reader)?;
        if length == 0 {
            return Ok(());
        }
    }
}

fn read_plain(reader: &mut impl BufRead, length: usize, delivery: &mut Delivery) -> io::Result<()> {
    let read = io::copy(&mut reader.take(length as u64), &mut Counter(&mut delivery.body_bytes))?;
    if read < length as u64 { Err(io::ErrorKind::UnexpectedEof.into()) } else { Ok(()) }
}

/// Counts the bytes that are written to it.
struct Counter<'c>(&'c mut usize);

impl Write for Counter<'_> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        *self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
