//! Locality: what the distance to another data centre adds to the cost of a request.
//!
//! The distance is measured: the shortest recent response time of probes to a data centre, less that within
//! the node's own. It is set against the latency of the request's route at an uncontended upstream, so that
//! the same distance weighs little on long work and much on short work. A small preference for the node's own
//! data centre and a part for the size of the body keep traffic local among equals. Tests:
//! `tests/placement.rs`.

use {
    crate::{latency::MinimumLatency, pool::Pool, upstream::UpstreamState, upstream_key::UpstreamKey},
    pointvane_core::{Name, US_PER_MS},
    std::collections::BTreeMap,
};

/// Bytes in the unit of `far_factor_per_100_kb`.
const BYTES_PER_100_KB: f32 = 100_000.0;
/// Maximum share that distance may add to the latency of work at an upstream that counts as uncontended.
const DISTANCE_SHARE_MAX: f32 = 0.3;

/// Measured response times of probes by data centre.
#[derive(Clone, Debug, Default)]
pub(crate) struct Distances {
    by_data_centre: BTreeMap<Name, MinimumLatency>,
}

impl Distances {
    fn record(&mut self, data_centre: &Name, time_ms: f64) {
        match self.by_data_centre.get_mut(data_centre) {
            Some(minimum) => minimum.record(time_ms),
            None => self.by_data_centre.entry(data_centre.clone()).or_default().record(time_ms),
        }
    }

    /// Additional round trip to `to`, compared with an upstream in `from`; 0 until both were measured.
    fn additional_ms(&self, from: &Name, to: &Name) -> f64 {
        let minimum_ms = |name| self.by_data_centre.get(name)?.get_ms();
        minimum_ms(to).zip(minimum_ms(from)).map_or(0.0, |(to_ms, from_ms)| (to_ms - from_ms).max(0.0))
    }
}

/// The parts of a request that determine what distance costs it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct DistanceCriteria {
    /// Latency of the route at an uncontended upstream, in milliseconds, as far as it is known.
    pub(crate) baseline_ms: Option<f64>,
    /// Size of the request's body in bytes, as far as it is known.
    pub(crate) body_bytes: usize,
}

impl Pool {
    /// Records the response time of a probe over a connection that was open before, in microseconds.
    pub fn record_probe_round_trip(&mut self, key: UpstreamKey, time_us: u64) {
        if let Some(state) = self.upstreams.get(&key) {
            self.distances.record(&state.record.data_centre, time_us as f64 / US_PER_MS as f64);
        }
    }

    /// Whether an upstream is in the node's own data centre.
    pub fn is_near(&self, key: UpstreamKey) -> bool {
        self.upstreams.get(&key).is_some_and(|state| state.record.data_centre == self.data_centre)
    }

    /// Factor on the cost of upstreams in other data centres where nothing is known about load, for a request
    /// with a body of `body_bytes`.
    pub fn far_factor(&self, body_bytes: usize) -> f32 {
        self.options.far_factor + self.body_factor(body_bytes)
    }

    /// The cost of a request at an upstream (see `cost.rs`), with what its distance adds.
    pub(crate) fn cost_at_distance(&self, key: UpstreamKey, criteria: DistanceCriteria, now_us: u64) -> f32 {
        let factor = self.upstreams.get(&key).map_or(1.0, |state| self.distance_factor(state, criteria));
        self.cost(key, now_us) * factor
    }

    /// Whether a request that runs without queueing at this distance is still about as fast as near the node.
    pub(crate) fn is_within_reach(&self, key: UpstreamKey, criteria: DistanceCriteria) -> bool {
        let state = self.upstreams.get(&key);
        state.is_some_and(|state| self.distance_share(state, criteria.baseline_ms) <= DISTANCE_SHARE_MAX)
    }

    /// Factor on the cost of an upstream for its distance.
    pub(crate) fn distance_factor(&self, state: &UpstreamState, criteria: DistanceCriteria) -> f32 {
        if state.record.data_centre == self.data_centre {
            return 1.0;
        }
        let distance_share = self.distance_share(state, criteria.baseline_ms);
        1.0 + self.options.near_preference + distance_share + self.body_factor(criteria.body_bytes)
    }

    /// Additional round trip to an upstream as a share of the baseline latency.
    fn distance_share(&self, state: &UpstreamState, baseline_ms: Option<f64>) -> f32 {
        let additional_ms = self.distances.additional_ms(&self.data_centre, &state.record.data_centre);
        baseline_ms.map_or(0.0, |baseline_ms| (additional_ms / baseline_ms.max(1.0)) as f32)
    }

    fn body_factor(&self, body_bytes: usize) -> f32 {
        let added = body_bytes as f32 / BYTES_PER_100_KB * self.options.far_factor_per_100_kb;
        added.min(self.options.far_factor_added_max)
    }
}
