//! Responses to requests with an idempotency key, stored for repeats of the request.

use {
    crate::response_body::ResponseBody,
    bytes::Bytes,
    hyper::{HeaderMap, Response, StatusCode},
    pointvane_balance::ResponseSize,
    pointvane_core::ErrorKind,
    tokio::sync::oneshot,
};

/// Largest response body stored for repeats, in bytes. Bounds the memory per key.
pub const STORED_RESPONSE_LIMIT_BYTES: usize = 256 << 10;

/// Channel on which a request receives the result of the run of its key.
pub type ResponseSender = oneshot::Sender<Result<Response<ResponseBody>, ErrorKind>>;

/// A response stored for repeats.
#[derive(Debug)]
pub struct StoredResponse {
    /// Status code.
    pub status: StatusCode,
    /// Headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl ResponseSize for StoredResponse {
    fn size_bytes(&self) -> usize {
        let headers: usize = self.headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
        headers + self.body.len()
    }
}

impl StoredResponse {
    /// Builds a response for another caller.
    pub fn response(&self) -> Response<ResponseBody> {
        let mut response = Response::new(ResponseBody::buffered(self.body.clone()));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers.clone();
        response
    }
}
