//! Malformed responses of a stand-in upstream.

use {
    super::{RESPONSE_STAMP_HEADER, WAIT_TIMEOUT, upstream_responses::is_closed_within},
    socket2::SockRef,
    std::{
        io::{self, Write},
        net::TcpStream,
        thread,
        time::Duration,
    },
};

/// A kind of malformed response, whose body is `hello` if it is whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// In chunks, with a shorter length beside them.
    ShorterLength,
    /// In chunks, with a longer length beside them.
    LongerLength,
    /// In a coding that nobody asked for.
    UnknownCoding,
    /// With a status that is none.
    Status(u16),
    /// An answer to an upgrade that nobody asked for.
    Upgrade,
    /// Stops within its head.
    StopsInHead,
    /// Without a length, reset within the body.
    ResetInBody,
    /// In HTTP/1.0 without a length, reset within the body.
    ResetInBodyHttp10,
    /// With an invalid chunk.
    SpoiledChunk,
    /// Interim responses without end.
    EndlessInterim,
    /// A header without end.
    EndlessHeader,
    /// A body without end that names no request.
    EndlessBody,
}

/// All kinds.
pub const MALFORMED: [Malformed; 13] = [
    Malformed::ShorterLength,
    Malformed::LongerLength,
    Malformed::UnknownCoding,
    Malformed::Status(0),
    Malformed::Status(999),
    Malformed::Upgrade,
    Malformed::StopsInHead,
    Malformed::ResetInBody,
    Malformed::ResetInBodyHttp10,
    Malformed::SpoiledChunk,
    Malformed::EndlessInterim,
    Malformed::EndlessHeader,
    Malformed::EndlessBody,
];

/// Time between the last byte and a reset, which would discard bytes that the peer has not read.
const RESET_DELAY: Duration = Duration::from_millis(20);

impl Malformed {
    /// Whether its body has no length and is cut off by a reset.
    pub fn is_reset_in_body(self) -> bool {
        matches!(self, Self::ResetInBody | Self::ResetInBodyHttp10)
    }

    /// Writes the response to a request, and waits until the peer closes if the connection cannot be used further.
    pub fn write(self, mut stream: &TcpStream, id: &str) -> io::Result<()> {
        let own = format!("pointvane-request-id: {id}\r\n{RESPONSE_STAMP_HEADER}: s\r\n");
        let chunked = "transfer-encoding: chunked\r\n";
        let hello = "5\r\nhello\r\n0\r\n\r\n";
        let (bytes, repeated) = match self {
            Self::ShorterLength => {
                (format!("HTTP/1.1 200 OK\r\n{own}content-length: 3\r\n{chunked}\r\n{hello}"), "")
            }
            Self::LongerLength => {
                (format!("HTTP/1.1 200 OK\r\n{own}{chunked}content-length: 9\r\n\r\n{hello}"), "")
            }
            Self::UnknownCoding => {
                (format!("HTTP/1.1 200 OK\r\n{own}transfer-encoding: gzip, chunked\r\n\r\n{hello}"), "")
            }
            Self::Status(status) => {
                (format!("HTTP/1.1 {status:03} OK\r\n{own}content-length: 5\r\n\r\nhello"), "")
            }
            Self::Upgrade => (format!("HTTP/1.1 101 Switching Protocols\r\n{own}\r\n"), ""),
            Self::StopsInHead => (format!("HTTP/1.1 200 OK\r\n{own}"), ""),
            Self::ResetInBody => (format!("HTTP/1.1 200 OK\r\n{own}\r\nhel"), ""),
            Self::ResetInBodyHttp10 => (format!("HTTP/1.0 200 OK\r\n{own}\r\nhel"), ""),
            Self::SpoiledChunk => (format!("HTTP/1.1 200 OK\r\n{own}{chunked}\r\n5\r\nhello\r\nxx\r\n"), ""),
            Self::EndlessInterim => (String::new(), "HTTP/1.1 103 Early Hints\r\n\r\n"),
            Self::EndlessHeader => ("HTTP/1.1 200 OK\r\nx: ".into(), "yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy"),
            Self::EndlessBody => ("HTTP/1.1 200 OK\r\n\r\n".into(), "no answer"),
        };
        stream.write_all(bytes.as_bytes())?;
        while !repeated.is_empty() {
            stream.write_all(repeated.as_bytes())?;
        }
        match self {
            // The connection ends with the head.
            Self::StopsInHead => {}
            Self::ResetInBody | Self::ResetInBodyHttp10 => {
                thread::sleep(RESET_DELAY);
                SockRef::from(stream).set_linger(Some(Duration::ZERO))?;
            }
            _ => _ = is_closed_within(stream, WAIT_TIMEOUT),
        }
        Ok(())
    }
}
