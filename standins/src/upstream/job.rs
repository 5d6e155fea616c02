//! One request at an upstream: what it asks for, and whether it was held to its end.

use {
    super::Upstream,
    crate::serve::parameter,
    hyper::{Request, body::Incoming},
    pointvane_core::header,
    std::{sync::atomic::Ordering, time::Duration},
};

/// What a request asks of the upstream.
pub(super) struct Job {
    pub(super) id: String,
    pub(super) key: Option<String>,
    pub(super) deadline: Duration,
    pub(super) asked_ms: Option<f64>,
    pub(super) answer_bytes: usize,
}

impl Job {
    pub(super) fn of(request: &Request<Incoming>) -> Self {
        let text = |name| request.headers().get(name).and_then(|value| value.to_str().ok());
        let deadline_ms = text(header::DEADLINE_MS).and_then(|value| value.parse().ok());
        Self {
            id: text("x-request-id").unwrap_or_default().into(),
            key: text(header::KEY).map(str::to_owned),
            deadline: Duration::from_millis(deadline_ms.unwrap_or(60_000)),
            asked_ms: parameter(request, "work_ms"),
            answer_bytes: parameter(request, "size").unwrap_or(200),
        }
    }
}

/// A request that is held; dropped unfinished, it was cancelled.
pub(super) struct Held<'u> {
    upstream: &'u Upstream,
    finished: bool,
}

impl<'u> Held<'u> {
    pub(super) fn new(upstream: &'u Upstream) -> Self {
        upstream.in_flight.fetch_add(1, Ordering::Relaxed);
        Self { upstream, finished: false }
    }

    pub(super) fn finished(mut self) {
        self.finished = true;
    }
}

impl Drop for Held<'_> {
    fn drop(&mut self) {
        self.upstream.in_flight.fetch_sub(1, Ordering::Relaxed);
        if !self.finished {
            self.upstream.cancelled.fetch_add(1, Ordering::Relaxed);
        }
    }
}
