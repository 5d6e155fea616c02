//! What was known of an upstream's load when a request was sent there: by it the end of the request is judged.

/// What was known of an upstream's load when a request was sent there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadWhenSent {
    /// Share of its slots that were taken, this request included.
    pub occupancy: f32,
    /// Expected latency, as a multiple of uncontended work.
    pub expected_latency: f32,
    /// Its slowdown by the neighbours' noise, as a multiple of its usual speed.
    pub slowdown: f32,
    /// Whether this rests on a report that was current.
    pub is_current: bool,
}
