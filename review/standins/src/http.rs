//! A small HTTP/1.1 reader and the JSON and base64 that the store needs.

use std::{
    io::{self, Read, Write},
    net::TcpStream,
    thread,
    time::Duration,
};

/// The head of a request or of an answer.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// First line.
    pub line: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(other, _)| other == name).map(|(_, value)| value.as_str())
    }

    /// Method of a request.
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    /// Target of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or_default()
    }

    /// Announced length of the body.
    pub fn length(&self) -> Option<usize> {
        self.get("content-length")?.trim().parse().ok()
    }

    /// Whether the body comes in chunks.
    pub fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"))
    }
}

/// A connection whose bytes are read through a buffer.
pub struct Connection {
    /// The socket.
    pub stream: TcpStream,
    /// Pause after each read of up to 16 KB: the rate of the reader's link.
    pub pause: Duration,
    buffer: Vec<u8>,
}

impl Connection {
    /// Wraps a socket.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, pause: Duration::ZERO, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut space = [0; 16_384];
        let read = self.stream.read(&mut space)?;
        if read == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&space[..read]);
        if !self.pause.is_zero() {
            thread::sleep(self.pause);
        }
        Ok(())
    }

    /// Reads a head; none if the other end closes before it begins.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers =
                    headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
                return Ok(Some(Head { line, headers: headers.collect() }));
            }
            match self.fill() {
                Ok(()) => {}
                Err(error) if error.kind() == io::ErrorKind::UnexpectedEof && self.buffer.is_empty() => {
                    return Ok(None);
                }
                Err(error) => return Err(error),
            }
        }
    }

    /// Reads exactly `length` bytes.
    pub fn bytes(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill()?;
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn text_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|bytes| bytes == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    /// Reads the body that belongs to a head.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if !head.is_chunked() {
            return self.bytes(head.length().unwrap_or_default());
        }
        let mut body = Vec::new();
        loop {
            let line = self.text_line()?;
            let size = line.split(';').next().unwrap_or_default().trim().to_owned();
            let size = usize::from_str_radix(&size, 16).map_err(io::Error::other)?;
            if size == 0 {
                while !self.text_line()?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.bytes(size)?);
            self.text_line()?;
        }
    }

    /// Sends bytes.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Whether the other end has closed the connection, without waiting.
    pub fn is_closed(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let closed = match self.stream.peek(&mut [0; 1]) {
            Ok(0) => true,
            Ok(_) => false,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        };
        let _ = self.stream.set_nonblocking(false);
        closed
    }
}

/// Standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let word = group
            .iter()
            .enumerate()
            .fold(0_u32, |word, (at, byte)| word | (u32::from(*byte) << (16 - 8 * at)));
        for at in 0..4 {
            let digit = DIGITS[((word >> (18 - 6 * at)) & 63) as usize];
            text.push(if at <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

/// Value of a parameter in the query of a target.
pub fn parameter<'t>(target: &'t str, name: &str) -> Option<&'t str> {
    let query = target.split_once('?')?.1;
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}
