//! Names of the platform's HTTP headers as `hyper` types, and parsers of their values.

use {
    hyper::{HeaderMap, header::HeaderName},
    pointvane_core::HeaderNames,
};

/// Header names of the platform, from [`HeaderNames`].
#[derive(Clone, Debug)]
pub struct Headers {
    /// Identifier that a caller gives each of its attempts.
    pub request_id: HeaderName,
    /// Time that the sender will still wait for the response, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Identifier of the only upstream that may run the request.
    pub expect_upstream: HeaderName,
    /// An upstream's load report.
    pub load: HeaderName,
    /// Set by an upstream that did not run the request.
    pub not_run: HeaderName,
    /// The upstream's identifier.
    pub upstream: HeaderName,
    /// Remaining warm-up time of an upstream, in milliseconds.
    pub warm_up_left_ms: HeaderName,
    /// Set by an upstream that is about to leave the service.
    pub leaving: HeaderName,
    /// Requests per second that an upstream accepts from all nodes together.
    pub request_limit: HeaderName,
    /// Name of the client account whose key the request carried.
    pub account: HeaderName,
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
            warm_up_left_ms: HeaderName::from_static(names.warm_up_left_ms),
            leaving: HeaderName::from_static(names.leaving),
            request_limit: HeaderName::from_static(names.request_limit),
            account: HeaderName::from_static(names.account),
        }
    }
}

impl Headers {
    /// Time that a caller will wait, in milliseconds; none if the header is missing or not an integer.
    pub fn caller_timeout_ms(&self, headers: &HeaderMap) -> Option<u64> {
        let text = headers.get(&self.deadline_ms)?.to_str().ok()?;
        text.trim().parse().ok()
    }

    /// Remaining warm-up time of an upstream, in milliseconds; none if the header is missing or not a number.
    pub fn warm_up_left_ms(&self, headers: &HeaderMap) -> Option<u64> {
        let text = headers.get(&self.warm_up_left_ms)?.to_str().ok()?;
        // The cast truncates fractions and turns negative numbers into 0.
        text.trim().parse::<f64>().ok().map(|left_ms| left_ms as u64)
    }

    /// Removes account headers that the caller set, also in spellings with `_` for `-`, which some upstreams
    /// treat as the same header.
    pub fn strip_account(&self, headers: &mut HeaderMap) {
        headers.remove(&self.account);
        let is_equivalent = |name: &&HeaderName| {
            name.as_str().contains('_') && name.as_str().replace('_', "-") == self.account.as_str()
        };
        let equivalent: Vec<HeaderName> = headers.keys().filter(is_equivalent).cloned().collect();
        equivalent.iter().for_each(|name| _ = headers.remove(name));
    }

    /// The request id that a caller sent, for log lines; empty if there is none, or it is not visible ASCII.
    pub fn request_id_text(&self, headers: &HeaderMap) -> String {
        headers.get(&self.request_id).and_then(|id| id.to_str().ok()).unwrap_or_default().into()
    }
}
