//! HTTP pipelining: which requests of a connection are forwarded before those ahead of them are answered.
//!
//! Decided when a request has been read, and again when one ahead of it is answered. Inputs: whether the
//! request and all requests ahead of it on the connection may be repeated, by their routes. Answers are
//! always sent in the order of the requests. A request that may not be repeated waits until all ahead of it
//! are answered, and those behind it wait for it: its caller may rely on their order, and an answer that
//! closes the connection implies that the requests behind it have not run. Tests: `tests/pipeline.rs`.

use pointvane_core::RouteKind;

/// Limits on reading ahead on one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PipelineLimits {
    /// Requests of one connection that may be in flight at once. It bounds the number of upstreams whose
    /// answers wait behind a slow answer at the head of the connection.
    pub requests_max: usize,
    /// Bytes of waiting requests that are read ahead.
    pub bytes_max: usize,
}

/// Whether a request is forwarded before those ahead of it are answered.
///
/// Without this, requests that a caller sends together would each wait for the service times of all those
/// ahead.
pub fn may_forward_early(
    kind: RouteKind,
    ahead: impl IntoIterator<Item = RouteKind>,
    limits: &PipelineLimits,
) -> bool {
    let mut free_slots = limits.requests_max;
    let mut takes_slot = |ahead: RouteKind| {
        free_slots = free_slots.saturating_sub(1);
        ahead.is_repeatable()
    };
    let all_repeatable = ahead.into_iter().all(&mut takes_slot);
    kind.is_repeatable() && all_repeatable && free_slots > 0
}
