//! What an upstream reports about itself in the head of a response: load, shutdown, back-off and request
//! limit.
//!
//! Responses to requests, to probes and to abandoned attempts are parsed alike.

use {
    hyper::{Response, header::RETRY_AFTER},
    pointvane_core::{LimitNotice, LoadReport, header, retry_after_us},
};

/// Notices in the head of one response.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamNotices {
    /// Load report, which also tells whether the upstream is shutting down. `None` if it is absent or
    /// malformed; a malformed report does not invalidate the response.
    pub report: Option<LoadReport>,
    /// Time for which the upstream asks for no requests, in microseconds.
    pub back_off_us: Option<u64>,
    /// Request limit. Unreadable without a load report, which leaves the known limit unchanged.
    pub limit: LimitNotice,
}

impl UpstreamNotices {
    /// Parses the notices of a response.
    pub fn from_response<B>(response: &Response<B>) -> Self {
        let load = response.headers().get(header::LOAD);
        let report = load.and_then(|value| value.to_str().ok()).and_then(LoadReport::parse);
        let retry_after = response.headers().get_all(RETRY_AFTER).into_iter().map(|value| value.as_bytes());
        Self {
            report,
            back_off_us: retry_after_us(response.status().as_u16(), retry_after),
            limit: report.map_or(LimitNotice::Malformed, |report| report.limit),
        }
    }
}
