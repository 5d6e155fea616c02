//! Load of an upstream at the time when a request was sent to it; the outcome of the request is interpreted
//! by it.

/// What was known of the load of an upstream when a request was sent to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadWhenSent {
    /// Share of its slots that were in use, counting this request.
    pub occupancy: f32,
    /// Expected latency, as a multiple of that at an uncontended upstream.
    pub expected_latency: f32,
    /// Slowdown caused by noisy neighbours, as a multiple of its normal service time.
    pub slowdown: f32,
    /// Whether these values rest on a current load report.
    pub is_current: bool,
}
