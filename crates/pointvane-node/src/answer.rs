//! Answers in an upstream's place, by the table of error kinds.

use {
    crate::body::RelayBody,
    bytes::Bytes,
    hyper::{
        Response, StatusCode,
        header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    },
    pointvane_core::ErrorKind,
};

/// Time after which a refused caller is told to come back, in milliseconds.
const COME_BACK_MS: u32 = 80;

/// A request that the system itself answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Why.
    pub kind: ErrorKind,
    /// The status, where it is not the table's.
    pub status: Option<StatusCode>,
    /// When the caller is to come back, where it is not the usual time, in milliseconds.
    pub come_back_ms: Option<u32>,
}

impl From<ErrorKind> for Refused {
    fn from(kind: ErrorKind) -> Self {
        Self { kind, status: None, come_back_ms: None }
    }
}

/// The answer to a refused request.
pub fn refusal(refused: Refused) -> Response<RelayBody> {
    let row = refused.kind.answer();
    let text = format!("{}\n", row.name);
    let mut response = Response::new(RelayBody::whole(Bytes::from(text)));
    let status = StatusCode::from_u16(row.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    *response.status_mut() = refused.status.unwrap_or(status);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
    if row.retry_after {
        let seconds = f64::from(refused.come_back_ms.unwrap_or(COME_BACK_MS)) / 1e3;
        if let Ok(value) = HeaderValue::from_str(&format!("{seconds:.3}")) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}

/// An answer of few words, for readiness and the directory.
pub fn short(status: StatusCode, content_type: &'static str, text: String) -> Response<RelayBody> {
    let mut response = Response::new(RelayBody::whole(Bytes::from(text)));
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}
