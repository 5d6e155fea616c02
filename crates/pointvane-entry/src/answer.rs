//! Last stage: answers to callers.

use {
    crate::body::{AnswerBody, UpstreamBody},
    hyper::{
        HeaderMap, Response, StatusCode,
        header::{CONNECTION, HeaderName, HeaderValue, RETRY_AFTER},
    },
    pointvane_core::{ErrorKind, Outcome, header},
};

/// Headers that concern one connection only.
const HOP_BY_HOP: [&str; 8] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "transfer-encoding",
    "upgrade",
];

/// Removes headers that concern one connection only, those that `Connection` names included.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}

/// The answer that the table gives for an error kind.
pub fn refuse(kind: ErrorKind, retry_after_s: u64) -> Response<AnswerBody> {
    let row = kind.answer();
    let mut response = Response::new(AnswerBody::whole(format!("{}\n", row.name)));
    *response.status_mut() = StatusCode::from_u16(row.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(header::OUTCOME, HeaderValue::from_static(row.outcome.as_str()));
    headers.insert(header::ERROR, HeaderValue::from_static(row.name));
    if row.retry_after {
        headers.insert(RETRY_AFTER, HeaderValue::from(retry_after_s));
    }
    response
}

/// An upstream's answer on its way to the caller.
pub fn pass(response: Response<UpstreamBody>) -> Response<AnswerBody> {
    let mut response = response.map(AnswerBody::Streamed);
    mark_answered(response.headers_mut());
    response
}

/// Another entry VM's answer on its way to the caller: its outcome stays.
pub fn relay(response: Response<UpstreamBody>) -> Response<AnswerBody> {
    let mut response = response.map(AnswerBody::Streamed);
    strip_hop_by_hop(response.headers_mut());
    response
}

/// Marks an upstream's answer, whatever the upstream itself says of an outcome.
pub fn mark_answered(headers: &mut HeaderMap) {
    strip_hop_by_hop(headers);
    headers.remove(header::LOAD);
    headers.remove(header::ERROR);
    headers.insert(header::OUTCOME, HeaderValue::from_static(Outcome::Answered.as_str()));
}

/// Tells the caller to use this connection no more.
pub fn close_after(response: &mut Response<AnswerBody>) {
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
}
