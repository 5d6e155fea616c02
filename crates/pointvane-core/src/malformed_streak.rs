//! When an upstream that sends malformed responses again and again gets no more requests.
//!
//! Ejection spreads requests over the other upstreams of a service; when all fail, or there is one, they all stay in
//! use. An upstream whose responses are not HTTP, or belong to other requests, runs each request and gives its caller
//! nothing. So it is as good as down after [`RESPONSES_MAX`] in a row: both forms then treat it as if it had asked for a
//! pause ([`crate::Backoff`]). Callers of a service without any other are refused at once, and a single request tries
//! it at the end. Each pause that is followed by another malformed response is twice as long as the last.
//!
//! Input: whether a response was malformed or valid, whatever its status. A response that breaks off, a
//! connection without a response and the answer to a health check say nothing here.

/// Malformed responses in a row that an upstream may send. A faulty upstream also spoils single responses: of one that
/// spoils two in five, one response in ten thousand completes such a row.
const RESPONSES_MAX: u32 = 10;
/// First pause, in microseconds: as long as the first ejection.
const PAUSE_BASE_US: u64 = 400_000;
/// Maximum number of doublings of the pause: 6.4 s at most.
const PAUSE_DOUBLINGS_MAX: u32 = 4;

/// Malformed responses in a row of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MalformedStreak {
    responses: u32,
    pauses: u32,
}

impl MalformedStreak {
    /// Records a valid response.
    pub fn record_valid_response(&mut self) {
        *self = Self::default();
    }

    /// Records a malformed response; returns the time for which the upstream gets no requests, in microseconds, if a
    /// pause follows. Not to be called for requests that were sent before the current pause.
    pub fn record_malformed(&mut self) -> Option<u64> {
        self.responses = self.responses.saturating_add(1);
        if self.responses < RESPONSES_MAX {
            return None;
        }
        let doublings = self.pauses.min(PAUSE_DOUBLINGS_MAX);
        self.pauses = self.pauses.saturating_add(1);
        Some(PAUSE_BASE_US << doublings)
    }
}
