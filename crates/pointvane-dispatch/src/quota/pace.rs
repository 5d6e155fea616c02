//! Limits on the usage of a quota in spans shorter than its window.
//!
//! Requests admitted in one burst leave the window in one burst, and until then a restart or a partition may
//! make coordinators forget them. The shorter limits spread the usage over the window: the quota's burst may
//! be used at any time, the rest at the quota's rate. Inputs: the quota and the span. Tests:
//! `tests/quota_order.rs`.

use pointvane_core::Quota;

/// Requests allowed in each span in addition, so that the random variation of low request rates passes.
const EXTRA_REQUESTS: f64 = 10.0;

/// Returns the number of requests that may be admitted within a span of time up to the window.
pub fn requests_in_span(quota: Quota, span_us: u64, window_us: u64) -> f64 {
    (quota.requests_in_window(span_us) + EXTRA_REQUESTS).min(quota.requests_in_window(window_us))
}
