//! The platform's header names as `hyper` takes them.

use {hyper::header::HeaderName, pointvane_core::HeaderNames};

/// The headers as `hyper` takes them.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Identity of one attempt of a caller.
    pub request_id: HeaderName,
    /// Milliseconds the sender will still wait.
    pub deadline_ms: HeaderName,
    /// The upstream that alone may run the request.
    pub expect_upstream: HeaderName,
    /// An upstream's load.
    pub load: HeaderName,
    /// An upstream's word that it did not run the request.
    pub not_run: HeaderName,
    /// The upstream's identity.
    pub upstream: HeaderName,
}

impl From<HeaderNames> for Headers {
    fn from(names: HeaderNames) -> Self {
        Self {
            request_id: HeaderName::from_static(names.request_id),
            deadline_ms: HeaderName::from_static(names.deadline_ms),
            expect_upstream: HeaderName::from_static(names.expect_upstream),
            load: HeaderName::from_static(names.load),
            not_run: HeaderName::from_static(names.not_run),
            upstream: HeaderName::from_static(names.upstream),
        }
    }
}
