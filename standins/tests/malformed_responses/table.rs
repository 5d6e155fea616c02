//! Responses of upstreams, well-formed and malformed, and what a caller may see of each.

use {
    crate::caller::Delivery,
    pointvane_standins::raw_upstream::{ConnectionEnd, RawResponse},
    std::time::Duration,
};

/// What the caller of a request may see of an upstream's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen {
    /// The upstream's status with the whole body.
    Whole,
    /// An error of the proxy's own, with nothing of the upstream's response.
    Refused,
    /// The same, or a response that is visibly cut off.
    RefusedOrCutOff,
}

/// One kind of response.
#[derive(Clone, Debug)]
pub struct Row {
    /// Name of the row and of its service.
    pub name: &'static str,
    /// What the upstream sends.
    pub response: RawResponse,
    /// What callers may see.
    pub seen: Seen,
}

impl Row {
    /// Whether the caller of a request may see this of a response whose body has `bytes`.
    pub fn allows(&self, delivery: &Delivery, bytes: usize) -> bool {
        let is_upstreams = delivery.header(RESPONSE_STAMP).is_some();
        let is_whole = is_upstreams && delivery.status == 200 && delivery.body_bytes == bytes;
        let is_refused = !is_upstreams && delivery.status >= 500;
        match self.seen {
            Seen::Whole => delivery.is_complete && is_whole,
            Seen::Refused => delivery.is_complete && is_refused,
            Seen::RefusedOrCutOff => !delivery.is_complete || is_refused,
        }
    }
}

/// All kinds of responses with an end.
pub fn rows(bytes: usize) -> Vec<Row> {
    [whole(bytes), refused(bytes), broken_off(bytes)].concat()
}

/// Header by which an upstream marks its own responses.
pub const RESPONSE_STAMP: &str = "pointvane-response-stamp";
/// Headers of every response of an upstream.
const OWN_HEADERS: &str = "pointvane-request-id: {id}\r\npointvane-response-stamp: s\r\n";
/// Length that a malformed response announces in the place of its own, in bytes.
const SHORTER_BYTES: usize = 12_000;
/// Bytes by which a response announces too much.
const MISSING_BYTES: usize = 5_000;

/// Bytes of an upload that are read before an early response.
const EARLY_BYTES: usize = 10_000;

/// A head with a status line and further header lines.
pub fn head(status_line: &str, lines: &str) -> String {
    format!("{status_line}\r\n{OWN_HEADERS}{lines}\r\n")
}

fn ok(lines: &str) -> String {
    head("HTTP/1.1 200 OK", lines)
}

/// A body of the given length.
pub fn plain(bytes: usize) -> Vec<u8> {
    vec![b'x'; bytes]
}

/// A body of the given length in two chunks, with its end.
pub fn chunked(bytes: usize) -> Vec<u8> {
    let first = bytes / 3;
    let chunk =
        |bytes: usize| [format!("{bytes:x}\r\n").into_bytes(), plain(bytes), b"\r\n".to_vec()].concat();
    [chunk(first), chunk(bytes - first), b"0\r\n\r\n".to_vec()].concat()
}

fn length(bytes: usize) -> String {
    format!("content-length: {bytes}\r\n")
}

const CHUNKED: &str = "transfer-encoding: chunked\r\n";

/// Responses whose body of `bytes` is sent whole.
pub fn whole(bytes: usize) -> Vec<Row> {
    let row = |name, lines: String, body| Row {
        name,
        response: RawResponse::new(&ok(&lines), body),
        seen: Seen::Whole,
    };
    let until_close = RawResponse::new(&ok(""), plain(bytes)).then(ConnectionEnd::Closes);
    let http_1_0 = RawResponse::new(&head("HTTP/1.0 200 OK", ""), plain(bytes)).then(ConnectionEnd::Closes);
    let interim = "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n".repeat(16);
    vec![
        row("length", length(bytes), plain(bytes)),
        row("chunks", CHUNKED.into(), chunked(bytes)),
        row("same-length-twice", length(bytes).repeat(2), plain(bytes)),
        row("same-length-in-list", format!("content-length: {bytes}, {bytes}\r\n"), plain(bytes)),
        row("shorter-length-then-chunks", length(SHORTER_BYTES) + CHUNKED, chunked(bytes)),
        row("chunks-then-shorter-length", CHUNKED.to_owned() + &length(SHORTER_BYTES), chunked(bytes)),
        row("longer-length-and-chunks", length(bytes + MISSING_BYTES) + CHUNKED, chunked(bytes)),
        row("invalid-length-and-chunks", format!("content-length: many\r\n{CHUNKED}"), chunked(bytes)),
        Row { name: "until-close", response: until_close, seen: Seen::Whole },
        Row { name: "http-1-0-until-close", response: http_1_0, seen: Seen::Whole },
        Row {
            name: "http-1-0-length",
            response: RawResponse::new(&head("HTTP/1.0 200 OK", &length(bytes)), plain(bytes)),
            seen: Seen::Whole,
        },
        Row {
            name: "interim-then-length",
            response: RawResponse::new(&(interim + &ok(&length(bytes))), plain(bytes)),
            seen: Seen::Whole,
        },
    ]
}

/// Responses whose head is refused.
pub fn refused(bytes: usize) -> Vec<Row> {
    let row = |name, lines: &str, body| Row {
        name,
        response: RawResponse::new(&ok(lines), body),
        seen: Seen::Refused,
    };
    let status = |name, line: &str| {
        let response = RawResponse::new(&head(line, &length(bytes)), plain(bytes));
        Row { name, response, seen: Seen::Refused }
    };
    let stops = |name, bytes: &str| {
        let response = RawResponse::new(bytes, "").then(ConnectionEnd::Closes);
        Row { name, response, seen: Seen::Refused }
    };
    let not_last = RawResponse::new(&ok("transfer-encoding: chunked, identity\r\n"), chunked(bytes));
    let not_last = not_last.then(ConnectionEnd::Closes);
    let unknown = RawResponse::new(&ok("transfer-encoding: compress\r\n"), plain(bytes));
    let unknown = unknown.then(ConnectionEnd::Closes);
    let unended = "HTTP/1.1 200 OK\r\npointvane-request-id: {id}\r\npointvane-response-stamp: s\r\n";
    let http_1_0 = RawResponse::new(&head("HTTP/1.0 200 OK", CHUNKED), chunked(bytes));
    vec![
        row("two-different-lengths", &(length(bytes) + &length(SHORTER_BYTES)), plain(bytes)),
        row("length-no-number", "content-length: many\r\n", plain(bytes)),
        row("length-with-sign", &format!("content-length: +{bytes}\r\n"), plain(bytes)),
        row("coding-before-chunked", "transfer-encoding: gzip, chunked\r\n", chunked(bytes)),
        row("coding-on-a-line-of-its-own", &format!("transfer-encoding: gzip\r\n{CHUNKED}"), chunked(bytes)),
        row("chunked-twice", "transfer-encoding: chunked, chunked\r\n", chunked(bytes)),
        Row { name: "chunked-not-last", response: not_last, seen: Seen::Refused },
        Row { name: "unknown-coding", response: unknown, seen: Seen::Refused },
        Row { name: "http-1-0-chunks", response: http_1_0, seen: Seen::Refused },
        status("status-000", "HTTP/1.1 000 OK"),
        status("status-099", "HTTP/1.1 099 OK"),
        status("status-600", "HTTP/1.1 600 OK"),
        status("status-999", "HTTP/1.1 999 OK"),
        status("unrequested-upgrade", "HTTP/1.1 101 Switching Protocols"),
        status("status-of-four-digits", "HTTP/1.1 2000 OK"),
        stops("stops-in-status-line", "HTTP/1.1 20"),
        stops("stops-after-status-line", "HTTP/1.1 200 OK\r\n"),
        stops("stops-in-header", "HTTP/1.1 200 OK\r\npointvane-requ"),
        stops("stops-before-blank-line", unended),
        stops("stops-after-interim", "HTTP/1.1 100 Continue\r\n\r\n"),
        stops("stops-in-head-after-interim", &format!("HTTP/1.1 100 Continue\r\n\r\n{unended}")),
    ]
}

/// Responses whose body of `bytes` breaks off or is spoiled.
pub fn broken_off(bytes: usize) -> Vec<Row> {
    let row = |name, lines: &str, body: &[u8], end| {
        let response = RawResponse::new(&ok(lines), body).then(end);
        Row { name, response, seen: Seen::RefusedOrCutOff }
    };
    let part = bytes - MISSING_BYTES;
    let chunks = chunked(bytes);
    let unended = &chunks[..chunks.len() - 5];
    let spoiled = [&chunked(bytes)[..chunks.len() - 5], b"zz\r\nyy\r\n0\r\n\r\n"].concat();
    vec![
        row("length-closed", &length(bytes), &plain(part), ConnectionEnd::Closes),
        row("length-reset", &length(bytes), &plain(part), ConnectionEnd::Resets),
        row("chunks-closed", CHUNKED, unended, ConnectionEnd::Closes),
        row("chunks-reset", CHUNKED, unended, ConnectionEnd::Resets),
        row("chunks-spoiled", CHUNKED, &spoiled, ConnectionEnd::Stays),
        row("chunks-and-length-closed", &(length(SHORTER_BYTES) + CHUNKED), unended, ConnectionEnd::Closes),
        row("until-close-reset", "", &plain(part), ConnectionEnd::Resets),
        Row {
            name: "http-1-0-until-close-reset",
            response: RawResponse::new(&head("HTTP/1.0 200 OK", ""), plain(part)).then(ConnectionEnd::Resets),
            seen: Seen::RefusedOrCutOff,
        },
    ]
}

/// Responses to an upload that come before it was read, and whose connection ends while it is written.
pub fn early(bytes: usize) -> Vec<Row> {
    let row = |name, lines: &str, bytes, end| {
        let response = RawResponse::new(&ok(lines), plain(bytes)).then(end);
        Row { name, response: response.after_body_bytes(EARLY_BYTES), seen: Seen::RefusedOrCutOff }
    };
    vec![
        row("early-short-reset", "", bytes / 10, ConnectionEnd::Resets),
        row("early-long-reset", "", bytes, ConnectionEnd::Resets),
        row("early-empty-reset", "", 0, ConnectionEnd::Resets),
        row("early-length-reset", &length(bytes + MISSING_BYTES), bytes, ConnectionEnd::Resets),
        row("early-chunks-reset", CHUNKED, 0, ConnectionEnd::Resets),
        row("early-short-closed", "", bytes / 10, ConnectionEnd::Closes),
        row("early-long-closed", "", bytes, ConnectionEnd::Closes),
        row("early-empty-closed", "", 0, ConnectionEnd::Closes),
    ]
}

/// A response of `bytes` without a length, whose upstream crashes before the last of them.
pub fn crashed(bytes: usize) -> Row {
    let response = RawResponse::new(&ok(""), plain(bytes - MISSING_BYTES)).then(ConnectionEnd::Crashes);
    Row { name: "crashed", response, seen: Seen::RefusedOrCutOff }
}

/// A whole response of `bytes` without a length, with these header lines, after whose last byte its upstream ends; it works
/// for `work` before.
pub fn last_of_its_upstream(bytes: usize, work: Duration, lines: &str) -> Row {
    let response = RawResponse::new(&ok(lines), plain(bytes)).then(ConnectionEnd::Crashes).after(work);
    Row { name: "last", response, seen: Seen::Whole }
}

/// Responses without a body, and the length that their heads announce to callers; the HTTP library leaves out that of
/// a 304, which is optional.
pub fn bodiless() -> Vec<(Row, Option<&'static str>)> {
    let row = |name, line: &str, lines: &str, body: &str| Row {
        name,
        response: RawResponse::new(&head(line, lines), body),
        seen: Seen::Whole,
    };
    let both = format!("content-length: 5\r\n{CHUNKED}");
    let (no_content, not_modified) = ("HTTP/1.1 204 No Content", "HTTP/1.1 304 Not Modified");
    vec![
        (row("no-content", no_content, "", ""), None),
        (row("no-content-length", no_content, "content-length: 5\r\n", "hello"), None),
        (row("no-content-chunks", no_content, CHUNKED, "5\r\nhello\r\n0\r\n\r\n"), None),
        (row("not-modified", not_modified, "", ""), None),
        (row("not-modified-length", not_modified, "content-length: 5\r\n", ""), None),
        (row("not-modified-both", not_modified, &both, ""), None),
    ]
}

/// Responses to `HEAD`, and the length that their heads announce to callers.
pub fn to_head() -> Vec<(Row, Option<&'static str>)> {
    let row = |name, lines: &str| Row { name, response: RawResponse::new(&ok(lines), ""), seen: Seen::Whole };
    vec![
        (row("head-length", "content-length: 5\r\n"), Some("5")),
        (row("head-same-length-twice", "content-length: 5, 5\r\n"), Some("5")),
        (row("head-two-lengths", "content-length: 5\r\ncontent-length: 6\r\n"), None),
        (row("head-chunks", CHUNKED), None),
        (row("head-unknown-coding", "transfer-encoding: gzip\r\n"), None),
        (row("head-both", &format!("content-length: 5\r\n{CHUNKED}")), Some("5")),
        (row("head-neither", ""), None),
    ]
}

/// Responses that go on until the peer closes.
pub fn without_end() -> Vec<Row> {
    let row = |name, head: &str, repeated: &str| {
        let response = RawResponse::new(head, "").then_without_end(repeated.repeat(64));
        Row { name, response, seen: Seen::RefusedOrCutOff }
    };
    vec![
        row("endless-status-line", "HTTP/1.1 200 ", "O"),
        row("endless-header", "HTTP/1.1 200 OK\r\nx: ", "y"),
        row("endless-headers", "HTTP/1.1 200 OK\r\n", "x: y\r\n"),
        row("endless-interim", "", "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"),
        row("endless-continue", "", "HTTP/1.1 100 Continue\r\n\r\n"),
        row("endless-no-answer", "", "\u{1}no answer"),
        row("endless-chunk-extension", &(ok(CHUNKED) + "5;"), "x=y;"),
        row("endless-trailers", &(ok(CHUNKED) + "5\r\nhello\r\n0\r\n"), "x: y\r\n"),
        row("endless-unmarked-body", "HTTP/1.1 200 OK\r\n\r\n", "no answer"),
    ]
}
