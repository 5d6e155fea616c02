//! A request as sent to upstreams.

use {
    crate::{classify::ClassifiedRequest, request_body::RequestBody, response::strip_hop_by_hop},
    hyper::{Request, header::HeaderValue, http::request::Parts},
    pointvane_core::{US_PER_MS, header},
    std::time::Duration,
    tokio::time::Instant,
};

/// Timeout for a streamed request body without an explicit deadline: one day, as an upper bound only.
const STREAM_TIME_MAX: Duration = Duration::from_secs(86_400);

/// Header by which callers identify their requests; it is passed on unchanged.
pub const REQUEST_ID: &str = "x-request-id";

/// A request to be sent, with what is needed to send it more than once.
#[derive(Debug)]
pub struct OutgoingRequest<'r> {
    /// Description of the request.
    pub request: &'r ClassifiedRequest,
    /// Head without hop-by-hop headers.
    pub head: Parts,
}

impl<'r> OutgoingRequest<'r> {
    /// Creates a request and removes hop-by-hop headers from its head.
    pub fn new(request: &'r ClassifiedRequest, mut head: Parts) -> Self {
        strip_hop_by_hop(&mut head.headers);
        Self { request, head }
    }

    /// Builds the request for one attempt. Its deadline header holds the time remaining, in milliseconds.
    pub fn build(&self, body: RequestBody) -> Request<RequestBody> {
        let mut request = Request::new(body);
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = self.head.headers.clone();
        let remaining_ms = self.remaining_us() / US_PER_MS;
        request.headers_mut().insert(header::DEADLINE_MS, HeaderValue::from(remaining_ms));
        request
    }

    /// The id that its caller has sent, for log lines; empty if there is none, or it is not visible ASCII.
    pub fn request_id(&self) -> &str {
        let id = self.head.headers.get(REQUEST_ID);
        id.and_then(|id| id.to_str().ok()).unwrap_or_default()
    }

    /// Time remaining until the deadline, in microseconds.
    pub fn remaining_us(&self) -> u64 {
        self.request.deadline_us.saturating_sub(self.request.service.now_us())
    }

    /// Time at which waiting for the response head ends. This is the deadline, but a streamed request body
    /// may take longer unless the caller has set the deadline.
    pub fn give_up_at(&self, streaming: bool) -> Instant {
        let stream_limit = STREAM_TIME_MAX;
        let remaining = Duration::from_micros(self.remaining_us());
        Instant::now() + if streaming && !self.request.explicit_deadline { stream_limit } else { remaining }
    }
}
