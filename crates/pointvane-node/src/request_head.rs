//! Parses request heads with `httparse`.

use {
    httparse::EMPTY_HEADER,
    hyper::{
        HeaderMap, Method, Request, Uri,
        header::{HeaderName, HeaderValue},
        http::request::Parts,
    },
};

/// Most headers in a request head: the limit of `hyper`.
pub const HEADERS_MAX: usize = 100;

/// How the end of a request's body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// Length in bytes; 0 without a body.
    Length(u64),
    /// Chunked transfer coding.
    Chunked,
    /// The framing is ambiguous, or no further request follows on the connection.
    Unknown,
}

/// Determines the framing of a request's body; unknown if length and transfer coding conflict or repeat.
pub fn framing(request: &httparse::Request<'_, '_>) -> Framing {
    let named = |name: &'static str| {
        let headers = request.headers.iter();
        headers.filter(move |header| header.name.eq_ignore_ascii_case(name)).map(|header| header.value)
    };
    let is_persistent = request.version == Some(1)
        && request.method != Some("CONNECT")
        && named("connection").all(|value| value.eq_ignore_ascii_case(b"keep-alive"))
        && named("upgrade").next().is_none();
    if !is_persistent {
        return Framing::Unknown;
    }
    let mut codings = named("transfer-encoding");
    let mut lengths = named("content-length");
    match (codings.next(), codings.next(), lengths.next(), lengths.next()) {
        (None, _, None, _) => Framing::Length(0),
        (None, _, Some(length), None) => body_length(length).map_or(Framing::Unknown, Framing::Length),
        (Some(coding), None, None, _) if coding.eq_ignore_ascii_case(b"chunked") => Framing::Chunked,
        _ => Framing::Unknown,
    }
}

/// Parses a `Content-Length` value; none unless it consists of digits only.
fn body_length(value: &[u8]) -> Option<u64> {
    let digits = value.iter().all(u8::is_ascii_digit);
    let text = str::from_utf8(value).ok().filter(|_| digits)?;
    text.parse().ok()
}

/// Parses the head of a request; none if it is malformed.
pub fn parse_head(bytes: &[u8]) -> Option<Parts> {
    let mut headers = [EMPTY_HEADER; HEADERS_MAX];
    let mut parsed = httparse::Request::new(&mut headers);
    parsed.parse(bytes).ok()?;
    let mut request = Request::new(());
    *request.method_mut() = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
    *request.uri_mut() = parsed.path?.parse::<Uri>().ok()?;
    *request.headers_mut() = header_map(parsed.headers)?;
    Some(request.into_parts().0)
}

fn header_map(headers: &[httparse::Header<'_>]) -> Option<HeaderMap> {
    let pair = |header: &httparse::Header<'_>| {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        Some((name, HeaderValue::from_bytes(header.value).ok()?))
    };
    let mut map = HeaderMap::with_capacity(headers.len());
    for header in headers {
        let (name, value) = pair(header)?;
        map.append(name, value);
    }
    Some(map)
}
