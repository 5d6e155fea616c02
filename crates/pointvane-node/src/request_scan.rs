//! Finds the boundaries of the requests on a connection.
//!
//! Heads and chunk sizes are parsed by `httparse`. Bytes that cannot be parsed, or whose framing is
//! ambiguous, end the scan: the rest of the connection is passed through unchanged, and no later request is
//! forwarded early.

use {
    crate::request_head::{Framing, HEADERS_MAX, framing},
    httparse::{EMPTY_HEADER, Status},
};

/// Length of the CRLF after a chunk, in bytes.
const LINE_END_BYTES: u64 = 2;
/// End of the trailers of a chunked body.
const TRAILERS_END: &[u8] = b"\r\n\r\n";

/// What the scan found in the next bytes of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scanned {
    /// A complete request head.
    Head {
        /// Its length in bytes.
        length: usize,
        /// Whether the request ends with it.
        ends: bool,
    },
    /// A part of a request body, with its framing.
    Body {
        /// Its length in bytes.
        length: usize,
        /// Whether the request ends with it.
        ends: bool,
    },
    /// More bytes are needed.
    Incomplete,
    /// The rest of the connection cannot be scanned.
    Unknown,
}

/// State of the scan: the element that is expected next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Expected {
    Head,
    Body { left: u64 },
    ChunkSize,
    Chunk { left: u64 },
    Trailers,
    Unknown,
}

/// Scanner of one connection.
#[derive(Debug)]
pub struct RequestScan {
    expected: Expected,
    /// Longest head, chunk size or trailers, in bytes.
    head_bytes_max: usize,
}

impl RequestScan {
    /// Creates a scanner at the start of a connection.
    pub fn new(head_bytes_max: usize) -> Self {
        Self { expected: Expected::Head, head_bytes_max }
    }

    /// Scans the next element at the start of `bytes`; the caller removes the returned length before the next
    /// call.
    pub fn next(&mut self, bytes: &[u8]) -> Scanned {
        if bytes.is_empty() {
            return Scanned::Incomplete;
        }
        let scanned = match self.expected {
            Expected::Head => self.head(bytes),
            Expected::Body { left } => self.body(bytes, left),
            Expected::ChunkSize => self.chunk_size(bytes),
            Expected::Chunk { left } => self.chunk(bytes, left),
            Expected::Trailers => self.trailers(bytes),
            Expected::Unknown => Scanned::Unknown,
        };
        match scanned {
            Scanned::Incomplete if bytes.len() > self.head_bytes_max => self.stop_scan(),
            scanned => scanned,
        }
    }

    /// Whether the next bytes start a request.
    pub fn expects_head(&self) -> bool {
        self.expected == Expected::Head
    }

    /// Remaining bytes of a body of known length; none outside such a body.
    pub fn body_left(&self) -> Option<u64> {
        match self.expected {
            Expected::Body { left } => Some(left),
            _ => None,
        }
    }

    fn stop_scan(&mut self) -> Scanned {
        self.expected = Expected::Unknown;
        Scanned::Unknown
    }

    fn head(&mut self, bytes: &[u8]) -> Scanned {
        let mut headers = [EMPTY_HEADER; HEADERS_MAX];
        let mut request = httparse::Request::new(&mut headers);
        // A malformed head is passed through to the HTTP server, which responds to it.
        let length = match request.parse(bytes) {
            Ok(Status::Complete(length)) => length,
            Ok(Status::Partial) => return Scanned::Incomplete,
            Err(_) => return self.stop_scan(),
        };
        self.expected = match framing(&request) {
            Framing::Length(0) => Expected::Head,
            Framing::Length(left) => Expected::Body { left },
            Framing::Chunked => Expected::ChunkSize,
            Framing::Unknown => return self.stop_scan(),
        };
        Scanned::Head { length, ends: self.expected == Expected::Head }
    }

    fn body(&mut self, bytes: &[u8], left: u64) -> Scanned {
        let length = left.min(bytes.len() as u64);
        let ends = length == left;
        self.expected = if ends { Expected::Head } else { Expected::Body { left: left - length } };
        Scanned::Body { length: length as usize, ends }
    }

    fn chunk_size(&mut self, bytes: &[u8]) -> Scanned {
        let (length, size) = match httparse::parse_chunk_size(bytes) {
            Ok(Status::Complete(chunk)) => chunk,
            Ok(Status::Partial) => return Scanned::Incomplete,
            Err(_) => return self.stop_scan(),
        };
        if size == 0 {
            // The CRLF before the trailers is part of `TRAILERS_END`.
            self.expected = Expected::Trailers;
            return Scanned::Body { length: length - LINE_END_BYTES as usize, ends: false };
        }
        let Some(left) = size.checked_add(LINE_END_BYTES) else { return self.stop_scan() };
        self.expected = Expected::Chunk { left };
        Scanned::Body { length, ends: false }
    }

    fn chunk(&mut self, bytes: &[u8], left: u64) -> Scanned {
        let length = left.min(bytes.len() as u64);
        let rest = left - length;
        self.expected = if rest == 0 { Expected::ChunkSize } else { Expected::Chunk { left: rest } };
        Scanned::Body { length: length as usize, ends: false }
    }

    fn trailers(&mut self, bytes: &[u8]) -> Scanned {
        let end = bytes.windows(TRAILERS_END.len()).position(|window| window == TRAILERS_END);
        let Some(end) = end else { return Scanned::Incomplete };
        self.expected = Expected::Head;
        Scanned::Body { length: end + TRAILERS_END.len(), ends: true }
    }
}
