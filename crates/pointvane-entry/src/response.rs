//! Last stage: headers of the responses to callers, and responses for errors.

use {
    crate::response_body::{ResponseBody, UpstreamBody},
    hyper::{
        HeaderMap, Response, StatusCode,
        header::{CONNECTION, HeaderName, HeaderValue, RETRY_AFTER},
    },
    pointvane_core::{ErrorKind, Outcome, header},
};

/// Hop-by-hop headers, which a proxy does not pass on.
const HOP_BY_HOP_HEADERS: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "transfer-encoding",
    "upgrade",
];

/// Removes hop-by-hop headers, including those listed in `Connection`.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}

/// Builds the response for an error kind, with `Retry-After` in seconds where the kind has one.
pub fn error_response(kind: ErrorKind, retry_after_s: u64) -> Response<ResponseBody> {
    let row = kind.answer();
    let mut response = Response::new(ResponseBody::buffered(format!("{}\n", row.name)));
    *response.status_mut() = StatusCode::from_u16(row.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(header::OUTCOME, HeaderValue::from_static(row.outcome.as_str()));
    headers.insert(header::ERROR, HeaderValue::from_static(row.name));
    if row.retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(retry_after_s));
    }
    response
}

/// Passes an upstream's response on to the caller, with outcome `answered`.
pub fn proxy_response(response: Response<UpstreamBody>) -> Response<ResponseBody> {
    let mut response = response.map(ResponseBody::Streamed);
    mark_answered(response.headers_mut());
    response
}

/// Passes another entry VM's response on to the caller and keeps the outcome that the VM has set.
pub fn proxy_entry_response(response: Response<UpstreamBody>) -> Response<ResponseBody> {
    let mut response = response.map(ResponseBody::Streamed);
    strip_hop_by_hop(response.headers_mut());
    response
}

/// Sets the outcome of an upstream's response to `answered`, overwriting any value set by the upstream, and
/// removes hop-by-hop headers and the headers between upstreams and entry VMs.
pub fn mark_answered(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    headers.remove(header::LOAD);
    headers.remove(header::ERROR);
    headers.insert(header::OUTCOME, HeaderValue::from_static(Outcome::Answered.as_str()));
}

/// Sets `Connection: close`, so that the caller does not reuse the connection.
pub fn set_connection_close(response: &mut Response<ResponseBody>) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}
