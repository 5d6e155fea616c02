//! Parameters of a request to an upstream, and the tracking of requests in flight.

use {
    super::Upstream,
    crate::serve::query_parameter,
    hyper::{Request, body::Incoming},
    pointvane_core::header,
    std::{sync::atomic::Ordering, time::Duration},
};

/// Parameters of a request, from its headers and query string.
pub(super) struct Job {
    /// Request id, repeated in the response body.
    pub(super) id: String,
    /// Idempotency key.
    pub(super) key: Option<String>,
    /// Value of the deadline header, 60 s by default; bounds the wait for a slot.
    pub(super) deadline: Duration,
    /// Service time in milliseconds that replaces a random one; at 0, the request does not wait for a slot.
    pub(super) work_ms: Option<f64>,
    /// Length of the filler in the response body.
    pub(super) filler_bytes: usize,
}

impl Job {
    pub(super) fn from_request(request: &Request<Incoming>) -> Self {
        let text = |name| request.headers().get(name).and_then(|value| value.to_str().ok());
        let deadline_ms = text(header::DEADLINE_MS).and_then(|value| value.parse().ok());
        Self {
            id: text("x-request-id").unwrap_or_default().into(),
            key: text(header::KEY).map(str::to_owned),
            deadline: Duration::from_millis(deadline_ms.unwrap_or(60_000)),
            work_ms: query_parameter(request, "work_ms"),
            filler_bytes: query_parameter(request, "size").unwrap_or(200),
        }
    }
}

/// A request in flight. Dropping it before it is complete counts it as cancelled.
pub(super) struct InFlightRequest<'u> {
    upstream: &'u Upstream,
    complete: bool,
}

impl<'u> InFlightRequest<'u> {
    pub(super) fn new(upstream: &'u Upstream) -> Self {
        upstream.in_flight.fetch_add(1, Ordering::Relaxed);
        Self { upstream, complete: false }
    }

    pub(super) fn complete(mut self) {
        self.complete = true;
    }
}

impl Drop for InFlightRequest<'_> {
    fn drop(&mut self) {
        self.upstream.in_flight.fetch_sub(1, Ordering::Relaxed);
        if !self.complete {
            self.upstream.cancelled.fetch_add(1, Ordering::Relaxed);
        }
    }
}
