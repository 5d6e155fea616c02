//! Ranking: which upstreams of a service a request should go to, the best first.
//!
//! Decided for each search without probes, and where upstreams report no load; `search_plan.rs` plans the
//! others. Inputs: the cost of each upstream that may get work (`eligibility.rs`), whether it is in the node's
//! data centre, the size of the request's body, and the upstreams the request was sent to before. Ejected upstreams are ranked only if there are no others. Each
//! cost is multiplied by a random factor, so that nodes with the same information choose different upstreams.
//! Tests: `slow_and_full_upstreams_come_after_idle_ones`,
//! `near_upstreams_come_first_and_the_more_so_the_larger_the_body`,
//! `upstreams_that_were_tried_or_are_draining_are_no_candidates`.

use {
    crate::{
        allowed_regions::AllowedRegions,
        load_when_sent::LoadWhenSent,
        pool::Pool,
        ranking_options::Ranking,
        upstream::{LoadSample, UpstreamState},
        upstream_key::UpstreamKey,
    },
    pointvane_core::Name,
    rand::{Rng, SeedableRng, rngs::SmallRng},
};

/// Criteria by which candidates for a request are selected.
#[derive(Clone, Copy, Debug)]
pub struct CandidateCriteria<'t> {
    /// Upstreams that the request was sent to before.
    pub tried: &'t [UpstreamKey],
    /// Size of the request's body in bytes, as far as it is known.
    pub body_bytes: usize,
    /// Maximum number of candidates.
    pub count: usize,
    /// The regions whose upstreams may serve the request.
    pub regions: &'t AllowedRegions,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u32,
}

impl Pool {
    /// Upstreams of a service that may get the request, the best first.
    pub fn candidates(
        &mut self,
        service: &Name,
        criteria: &CandidateCriteria<'_>,
        now_us: u64,
    ) -> Vec<UpstreamKey> {
        let keys = self.preferred_upstreams(service, criteria, now_us);
        let far_factor = self.far_factor(criteria.body_bytes);
        let mut ranked: Vec<(f32, UpstreamKey)> = Vec::with_capacity(keys.len());
        for key in keys {
            let jitter_factor = 1.0 + self.options.jitter * self.rng.random::<f32>();
            ranked.push((self.rank(key, far_factor, now_us) * jitter_factor, key));
        }
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
        ranked.into_iter().take(criteria.count).map(|(_, key)| key).collect()
    }

    /// The eligible upstreams that this node prefers; if none is eligible, the usable ones.
    pub(crate) fn preferred_upstreams(
        &mut self,
        service: &Name,
        criteria: &CandidateCriteria<'_>,
        now_us: u64,
    ) -> Vec<UpstreamKey> {
        let Some(upstreams) = self.by_service.get(service) else {
            return Vec::new();
        };
        // A separate generator, since the eligibility checks borrow the pool.
        let mut rng = SmallRng::from_rng(&mut self.rng);
        let suitable = |key: UpstreamKey| self.meets_criteria(key, criteria, now_us);
        let usable = |key: UpstreamKey| suitable(key) && self.is_usable(key, now_us);
        let eligible = |key: UpstreamKey| suitable(key) && self.eligibility(key, now_us).is_ok();
        let mut keys = upstreams.subset(eligible, &mut rng);
        if keys.is_empty() {
            keys = upstreams.subset(usable, &mut rng);
        }
        keys
    }

    /// Whether an upstream suits this request, apart from its eligibility.
    pub(crate) fn meets_criteria(
        &self,
        key: UpstreamKey,
        criteria: &CandidateCriteria<'_>,
        now_us: u64,
    ) -> bool {
        let is_reserved = |state: &UpstreamState| state.limit().is_reserved(criteria.priority, now_us);
        // Few upstreams advertise limits; the others need no look-up.
        let is_limit_reserved =
            self.limited.contains(&key) && self.upstreams.get(&key).is_some_and(is_reserved);
        !criteria.tried.contains(&key)
            && self.is_in_allowed_region(key, criteria.regions)
            && !is_limit_reserved
    }

    /// Sort key of an upstream, the lowest being the best.
    fn rank(&self, key: UpstreamKey, far_factor: f32, now_us: u64) -> f32 {
        match self.options.ranking {
            Ranking::Cost => self.cost_with_locality(key, far_factor, now_us),
            Ranking::InFlight => {
                self.upstreams.get(&key).map_or(f32::INFINITY, |state| (state.in_flight() + 1) as f32)
            }
            Ranking::Random => 1.0,
        }
    }

    /// Cost of a request sent to an upstream now (see `cost.rs`); infinite once the upstream has been
    /// removed.
    pub fn cost(&self, key: UpstreamKey, now_us: u64) -> f32 {
        let cost =
            |state: &UpstreamState| state.cost(self.services.get(&state.record.service)?, now_us).into();
        self.upstreams.get(&key).and_then(cost).unwrap_or(f32::INFINITY)
    }

    /// Whether an upstream has capacity for another request sent now; false once it has been removed.
    ///
    /// The learned limit on its slots in use binds only while these are known: if no probe was answered in
    /// time, an upstream that had a free slot by its last report is not taken for full.
    pub fn has_capacity(&mut self, key: UpstreamKey, now_us: u64) -> bool {
        let Some(state) = self.upstreams.get(&key) else {
            return false;
        };
        let occupancy = state.occupancy(now_us);
        if !state.has_current_report(now_us) {
            return occupancy <= 1.0;
        }
        self.services.get_mut(&state.record.service).is_some_and(|service| service.curve.admits(occupancy))
    }

    /// Learned latency factor of a service's upstreams with all slots in use, relative to empty ones.
    pub fn full_slowdown(&self, service: &Name) -> f32 {
        self.services.get(service).map_or(1.0, |service| service.curve.factor(1.0))
    }

    /// Snapshot of an upstream's known load, taken when a request is sent; none once it has been removed.
    pub fn load_when_sent(&self, key: UpstreamKey, now_us: u64) -> Option<LoadWhenSent> {
        let state = self.upstreams.get(&key)?;
        let service = self.services.get(&state.record.service)?;
        Some(state.load_when_sent(service, now_us))
    }

    /// The cost, times `far_factor` for upstreams in other data centres.
    fn cost_with_locality(&self, key: UpstreamKey, far_factor: f32, now_us: u64) -> f32 {
        self.cost(key, now_us) * if self.is_near(key) { 1.0 } else { far_factor }
    }

    /// Whether, by a fresh load report, the upstream would run a request without queueing and near its usual
    /// speed.
    pub fn is_uncontended(&self, key: UpstreamKey, now_us: u64) -> bool {
        let state = self.upstreams.get(&key);
        state.is_some_and(|state| self.has_fresh_report(state, now_us))
            && self.cost(key, now_us) <= self.options.uncontended_cost
    }

    /// Whether the load report of an upstream is fresh.
    pub(crate) fn has_fresh_report(&self, state: &UpstreamState, now_us: u64) -> bool {
        let is_fresh =
            |report: LoadSample| now_us.saturating_sub(report.received_at_us) <= self.options.report_fresh_us;
        state.report().is_some_and(is_fresh)
    }
}
