//! Caller progress: how much of its own time a caller has already spent before this attempt reached a node.
//!
//! Callers state the time that they will still wait. A caller that comes back after a refusal states what is
//! left of it, so its request is recognized by a time below the ones that callers of the route usually state.
//! Inputs: the stated time of each request, and whether the service was contended. Usual are exact values that
//! make up at least [`USUAL_SHARE_MIN`] of the recent requests; remainders are spread over many values and do
//! not reach it. Where callers state many values, where more than [`UNUSUAL_SHARE_MAX`] of them state an
//! unusual one although nothing is refused, and where they state none, nothing is known, and callers count as
//! new. Tests: `tests/caller_progress.rs`.

/// Number of values that are counted at once.
const VALUES_MAX: usize = 16;
/// Share of the recent requests from which a value is usual.
const USUAL_SHARE_MIN: f64 = 0.15;
/// Weight that is kept of earlier requests with each new one.
const WEIGHT_KEPT: f64 = 0.995;
/// Requests after which values are taken for usual.
const REQUESTS_MIN: f64 = 10.0;
/// Largest share of requests with unusual values while nothing is refused, with which such values are taken
/// for remainders.
const UNUSUAL_SHARE_MAX: f64 = 0.2;
/// Weight of one request in that share.
const UNUSUAL_WEIGHT: f64 = 0.02;
/// Difference to a usual value, as a share of it, up to which a value is taken for the same: the time on the
/// way.
const TOLERANCE_SHARE: f64 = 0.01;
/// Largest share of the usual time that a caller can have spent; a request with less left is not attributed.
const SPENT_SHARE_MAX: f64 = 0.6;

/// A stated time, and its weight among the recent requests.
#[derive(Clone, Copy, Debug)]
struct StatedTime {
    timeout_ms: u64,
    weight: f64,
}

/// The times that callers of one route state.
#[derive(Clone, Debug, Default)]
pub struct CallerProgress {
    stated: Vec<StatedTime>,
    /// Weight of all recent requests.
    requests: f64,
    /// Share of the requests with unusual values while the service was not contended.
    unusual_share: f64,
}

impl CallerProgress {
    /// Records the time that a caller states, and returns how much it has spent before, in milliseconds; 0 if
    /// that is not known. `is_contended` tells whether requests of the service may have been refused lately.
    pub fn record(&mut self, timeout_ms: Option<u64>, is_contended: bool) -> f64 {
        let Some(timeout_ms) = timeout_ms else { return 0.0 };
        let spent_ms = self.time_to_usual_ms(timeout_ms);
        if !is_contended && self.requests >= REQUESTS_MIN {
            let is_unusual = f64::from(u8::from(spent_ms.is_none_or(|spent_ms| spent_ms > 0.0)));
            self.unusual_share += (is_unusual - self.unusual_share) * UNUSUAL_WEIGHT;
        }
        self.count(timeout_ms);
        spent_ms.filter(|_| self.unusual_share <= UNUSUAL_SHARE_MAX).unwrap_or(0.0)
    }

    /// The difference to the next usual value above; 0 for a usual value, `None` without one in range.
    fn time_to_usual_ms(&self, timeout_ms: u64) -> Option<f64> {
        let weight_min = (self.requests * USUAL_SHARE_MIN).max(REQUESTS_MIN * USUAL_SHARE_MIN);
        let usual = self.stated.iter().filter(|stated| stated.weight >= weight_min);
        let timeout_ms = timeout_ms as f64;
        let above = usual
            .map(|stated| stated.timeout_ms as f64)
            .filter(|usual_ms| timeout_ms <= usual_ms * (1.0 + TOLERANCE_SHARE))
            .min_by(f64::total_cmp)?;
        let spent_ms = above - timeout_ms;
        match spent_ms <= above * TOLERANCE_SHARE {
            true => Some(0.0),
            false => {
                (self.requests >= REQUESTS_MIN && spent_ms <= above * SPENT_SHARE_MAX).then_some(spent_ms)
            }
        }
    }

    /// Counts a value in place of the rarest one if there is no room.
    fn count(&mut self, timeout_ms: u64) {
        self.requests = self.requests * WEIGHT_KEPT + 1.0;
        self.stated.iter_mut().for_each(|stated| stated.weight *= WEIGHT_KEPT);
        if let Some(stated) = self.stated.iter_mut().find(|stated| stated.timeout_ms == timeout_ms) {
            stated.weight += 1.0;
            return;
        }
        if self.stated.len() >= VALUES_MAX {
            let rarest = (0..self.stated.len())
                .min_by(|one, other| self.stated[*one].weight.total_cmp(&self.stated[*other].weight));
            rarest.map(|rarest| self.stated.swap_remove(rarest));
        }
        self.stated.push(StatedTime { timeout_ms, weight: 1.0 });
    }
}
