//! What an upstream says of itself in the head of an answer: its load, that it leaves, and that it wants no requests for a time.
//!
//! Read alike in answers to requests, to probes, and to attempts that were abandoned.

use {
    hyper::{Response, body::Incoming, header::RETRY_AFTER},
    pointvane_core::{LoadReport, header, retry_after_us},
};

/// What the head of one answer says.
#[derive(Clone, Copy, Debug)]
pub struct HeadNotices {
    /// The load report, which also tells whether the upstream leaves; none if there is none that can be read, since the answer is good all the same.
    pub report: Option<LoadReport>,
    /// Time for which the upstream wants no requests, in microseconds.
    pub back_off_us: Option<u64>,
}

impl HeadNotices {
    /// Reads them.
    pub fn of(response: &Response<Incoming>) -> Self {
        let load = response.headers().get(header::LOAD);
        let report = load.and_then(|value| value.to_str().ok()).and_then(LoadReport::parse);
        let retry_after = response.headers().get_all(RETRY_AFTER).into_iter().map(|value| value.as_bytes());
        Self { report, back_off_us: retry_after_us(response.status().as_u16(), retry_after) }
    }
}
