//! Answers of keyed work that are kept for repeats, and the requests that wait for them.

use {
    crate::body::AnswerBody,
    bytes::Bytes,
    hyper::{HeaderMap, Response, StatusCode},
    pointvane_balance::Kept,
    pointvane_core::ErrorKind,
    tokio::sync::oneshot,
};

/// Largest answer that is kept for repeats, in bytes. Not measured: it bounds the memory of a key.
pub const KEPT_ANSWER_LIMIT_BYTES: usize = 256 << 10;

/// Where a request receives the end of its key's run.
pub type Joiner = oneshot::Sender<Result<Response<AnswerBody>, ErrorKind>>;

/// An answer kept for repeats.
#[derive(Debug)]
pub struct KeptAnswer {
    /// Its status.
    pub status: StatusCode,
    /// Its headers, without those of one connection only.
    pub headers: HeaderMap,
    /// Its whole body.
    pub body: Bytes,
}

impl Kept for KeptAnswer {
    fn size_bytes(&self) -> usize {
        let headers: usize = self.headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
        headers + self.body.len()
    }
}

impl KeptAnswer {
    /// The answer for one more caller.
    pub fn response(&self) -> Response<AnswerBody> {
        let mut response = Response::new(AnswerBody::whole(self.body.clone()));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers.clone();
        response
    }
}
