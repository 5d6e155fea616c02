//! A client's connection.

use {
    crate::http::{Head, Reader},
    std::{
        io::{self, Write},
        net::{SocketAddr, TcpStream},
        time::Duration,
    },
};

pub struct Client {
    pub stream: TcpStream,
    pub reader: Reader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let reader = Reader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    pub fn send(&mut self, method: &str, path: &str, id: &str, deadline_ms: u64, body: &[u8]) -> io::Result<()> {
        let mut text = format!(
            "{method} {path} HTTP/1.1\r\nHost: review.example\r\nPointvane-Request-Id: {id}\r\n\
             Pointvane-Deadline-Ms: {deadline_ms}\r\n"
        );
        if method != "GET" {
            text += &format!("Content-Length: {}\r\n", body.len());
        }
        text += "\r\n";
        self.stream.write_all(&[text.as_bytes(), body].concat())
    }

    /// Reads a whole answer; none if the connection ends before its first byte.
    pub fn answer(&mut self, timeout: Duration) -> io::Result<Option<(Head, Vec<u8>)>> {
        self.stream.set_read_timeout(Some(timeout))?;
        let Some(head) = self.reader.head()? else { return Ok(None) };
        let body = self.reader.body(&head, true)?;
        Ok(Some((head, body)))
    }
}
