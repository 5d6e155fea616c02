//! Minimal HTTP/1.1 messages for the tests.

use {
    super::{HOST, WAIT_TIMEOUT},
    std::{
        io::{self, BufRead, BufReader, Write},
        net::{SocketAddr, TcpStream},
    },
};

/// A parsed message: first line, headers with lower-case names, and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header given by its lower-case name.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Status code of a response; 0 if the first line has none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or_default()
    }

    /// Target of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads a message with a body of known length or in chunks. Fails at the end of the connection, on an I/O
/// error and on an invalid chunk size.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = read_head(reader)?;
    read_body(reader, &mut message)?;
    Ok(message)
}

/// Reads a message up to its body.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Message> {
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
    Ok(message)
}

/// Reads the body of a message whose head was read.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    if let Some(length) = message.header("content-length").and_then(|length| length.parse().ok()) {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body)?;
    } else if message.header("transfer-encoding").is_some() {
        message.body = read_chunks(reader)?;
    }
    Ok(())
}

/// Reads a chunked body.
fn read_chunks(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let chunk_size = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; chunk_size + 2];
        reader.read_exact(&mut chunk)?;
        if chunk_size == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk[..chunk_size]);
    }
}

/// Formats a request with id and deadline; a `POST` has a body of four bytes.
pub fn request_head(method: &str, path: &str, id: &str, deadline_ms: u64) -> String {
    let body = if method == "POST" { "content-length: 4\r\n\r\ndata" } else { "\r\n" };
    format!(
        "{method} {path} HTTP/1.1\r\nhost: {HOST}\r\npointvane-request-id: {id}\r\npointvane-deadline-ms: {deadline_ms}\r\n{body}"
    )
}

/// Sends a request on a new connection and reads the response.
pub fn call(address: SocketAddr, head: &str) -> io::Result<Message> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT))?;
    stream.write_all(head.as_bytes())?;
    read_message(&mut BufReader::new(stream))
}
