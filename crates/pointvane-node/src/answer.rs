//! Answers of the node itself: refusals by the table of error kinds, and short texts.

use {
    crate::{connections::RelayBody, node::Node},
    bytes::Bytes,
    hyper::{
        Response, StatusCode,
        header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    },
    pointvane_core::{ErrorKind, PlatformAdapter},
    pointvane_dispatch::{RETRY_AFTER_DEFAULT_MS, WithheldService},
};

/// Milliseconds in a second, the unit of the header.
const MS_PER_S: f64 = 1_000.0;

/// A request that the system itself answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Why.
    pub kind: ErrorKind,
    /// The status, where it is not the table's.
    pub status: Option<StatusCode>,
    /// When the caller should retry, where it is not the usual time, in milliseconds.
    pub retry_after_ms: Option<u32>,
    /// What keeps work from the request's service, if no upstream of it may get any.
    pub withheld: Option<WithheldService>,
}

impl From<ErrorKind> for Refused {
    fn from(kind: ErrorKind) -> Self {
        Self { kind, status: None, retry_after_ms: None, withheld: None }
    }
}

/// The answer to a refused request, with the identity that its caller gave it.
pub fn refusal<A: PlatformAdapter>(
    node: &Node<A>,
    refused: Refused,
    id: Option<HeaderValue>,
) -> Response<RelayBody> {
    let row = refused.kind.answer();
    let text = format!("{}\n", row.name);
    let mut response = Response::new(RelayBody::whole(Bytes::from(text)));
    // The table holds valid statuses only.
    let status = StatusCode::from_u16(row.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    *response.status_mut() = refused.status.unwrap_or(status);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if let Some(id) = id {
        response.headers_mut().insert(node.headers.request_id.clone(), id);
    }
    if row.retry_after {
        let seconds = f64::from(refused.retry_after_ms.unwrap_or(RETRY_AFTER_DEFAULT_MS)) / MS_PER_S;
        // Digits and a point are always a header's value.
        if let Ok(value) = HeaderValue::from_str(&format!("{seconds:.3}")) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// A short text, for readiness, the directory and the operator port.
pub fn short(status: StatusCode, content_type: &'static str, text: String) -> Response<RelayBody> {
    let mut response = Response::new(RelayBody::whole(Bytes::from(text)));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
