//! Responses that the node generates itself: errors from the table of error kinds, and short texts.

use {
    crate::{connections::RelayBody, node::Node},
    bytes::Bytes,
    hyper::{
        Response, StatusCode,
        header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    },
    pointvane_core::{AnswerRow, ErrorKind, Outcome, PlatformAdapter},
    pointvane_dispatch::{RETRY_AFTER_DEFAULT_MS, WithheldService},
};

/// Milliseconds in a second, the unit of `Retry-After`.
const MS_PER_S: f64 = 1_000.0;

/// A request that the node answers with an error instead of an upstream's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// The error.
    pub kind: ErrorKind,
    /// HTTP status that overrides the one in the table of error kinds.
    pub status: Option<StatusCode>,
    /// Time after which the caller should retry, in milliseconds; [`RETRY_AFTER_DEFAULT_MS`] if none.
    pub retry_after_ms: Option<u32>,
    /// Why the upstreams of the request's service accept no requests, if none of them does.
    pub withheld: Option<WithheldService>,
    /// Whether a part of the request's body has not been read, so that its connection must be closed.
    pub is_body_unread: bool,
}

impl From<ErrorKind> for Refused {
    fn from(kind: ErrorKind) -> Self {
        Self { kind, status: None, retry_after_ms: None, withheld: None, is_body_unread: false }
    }
}

/// Builds the response to a refused request; `id` is the request id that the caller sent, which is echoed.
pub fn refusal_response<A: PlatformAdapter>(
    node: &Node<A>,
    refused: Refused,
    id: Option<HeaderValue>,
) -> Response<RelayBody> {
    let row = refused.kind.answer();
    let text = format!("{}\n", row.name);
    let mut response = Response::new(RelayBody::whole(Bytes::from(text)));
    *response.status_mut() = refused.status.unwrap_or_else(|| status_of(row));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if refused.is_body_unread {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    if let Some(id) = id {
        response.headers_mut().insert(node.headers.request_id.clone(), id);
    }
    if row.retry_after {
        let seconds = f64::from(refused.retry_after_ms.unwrap_or(RETRY_AFTER_DEFAULT_MS)) / MS_PER_S;
        // Digits and a decimal point always form a valid header value.
        if let Ok(value) = HeaderValue::from_str(&format!("{seconds:.3}")) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// The status of a row. A request that has not run is never answered by 502 or 504: callers of a node see no
/// other sign of the outcome, and would not retry work that may run only once.
fn status_of(row: &AnswerRow) -> StatusCode {
    let is_ambiguous = [StatusCode::BAD_GATEWAY, StatusCode::GATEWAY_TIMEOUT]
        .iter()
        .any(|status| row.status == status.as_u16());
    if row.outcome == Outcome::NotRun && is_ambiguous {
        return StatusCode::SERVICE_UNAVAILABLE;
    }
    // The table holds only valid statuses, so the fallback is never taken.
    StatusCode::from_u16(row.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
}

/// Builds a response with a text body, for readiness, the directory and the operator port.
pub fn text_response(status: StatusCode, content_type: &'static str, text: String) -> Response<RelayBody> {
    let mut response = Response::new(RelayBody::whole(Bytes::from(text)));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
