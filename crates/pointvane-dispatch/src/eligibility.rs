//! Eligibility: whether an upstream may get a request now, and if not, why.
//!
//! Every path asks here: ranking for its candidates, searches for what they found, and each attempt (first,
//! retry, hedge or forwarded early) immediately before its send, since the result may change while a search
//! runs or a connection is opened. The reason is written to log lines and metrics. Inputs: the platform's
//! entry of the upstream, evacuations, the upstream's own notices, the limit for cold upstreams, the failures
//! seen by this node, and the regions that may serve the request. Whether an upstream has capacity for the
//! request is decided by admission. Tests: `tests/evacuations.rs`, `tests/warm_up.rs`, `tests/notices.rs`,
//! `tests/upstreams.rs`.

use {
    crate::{
        allowed_regions::AllowedRegions, ineligible::Ineligible, pool::Pool, ranking::CandidateCriteria,
        upstream::UpstreamState, upstream_key::UpstreamKey,
    },
    pointvane_core::Name,
};

impl Pool {
    /// Whether an upstream may get a request now.
    ///
    /// # Errors
    /// The first reason against it, binding reasons before the others.
    pub fn eligibility(&self, key: UpstreamKey, now_us: u64) -> Result<(), Ineligible> {
        let state = self.upstreams.get(&key).ok_or(Ineligible::Gone)?;
        let checks = [
            (Ineligible::Draining, state.record.draining),
            (Ineligible::Leaving, state.notices.is_leaving),
            (Ineligible::Evacuated, self.evacuations.is_evacuated(&state.record.data_centre)),
            (Ineligible::BackingOff, state.notices.backoff.blocks_sends(now_us)),
            (Ineligible::Limited, state.notices.limit.blocks_sends(now_us)),
            (Ineligible::Cold, self.warm_up.withholds(key, state, now_us)),
            (Ineligible::Ejected, state.is_ejected(now_us)),
        ];
        checks.into_iter().find(|(_, holds)| *holds).map_or(Ok(()), |(reason, _)| Err(reason))
    }

    /// Whether the upstream is in one of the regions that may serve a request.
    pub fn is_in_allowed_region(&self, key: UpstreamKey, regions: &AllowedRegions) -> bool {
        if *regions == AllowedRegions::ANY {
            return true;
        }
        let state = self.upstreams.get(&key);
        state.is_some_and(|state| regions.allow(self.regions.get(&state.record.data_centre)))
    }

    /// All upstreams that may not get a request now, with the reason.
    pub fn ineligible(&self, now_us: u64) -> impl Iterator<Item = (&UpstreamState, Ineligible)> {
        self.upstreams
            .iter()
            .filter_map(move |(key, state)| Some((state, self.eligibility(*key, now_us).err()?)))
    }

    /// Whether an upstream may get a request if no eligible one is left: it is eligible, or its reason is not
    /// binding.
    pub fn is_usable(&self, key: UpstreamKey, now_us: u64) -> bool {
        self.eligibility(key, now_us).err().is_none_or(|reason| !reason.is_binding())
    }

    /// Records that a request is about to be sent to an upstream, if it may still get one. Call it
    /// immediately before the first byte is written.
    ///
    /// # Errors
    /// The binding reason for which the request must not be sent.
    pub fn begin_send(&mut self, key: UpstreamKey, now_us: u64) -> Result<(), Ineligible> {
        match self.eligibility(key, now_us) {
            Err(reason) if reason.is_binding() => Err(reason),
            _ => {
                if let Some(state) = self.upstreams.get_mut(&key) {
                    self.warm_up.use_draw(state, now_us);
                    state.notices.backoff.record_send(now_us);
                    state.notices.limit.record_send(now_us);
                }
                Ok(())
            }
        }
    }

    /// Why a service has no upstream left for a request. Upstreams that it was sent to before are not
    /// considered; [`Ineligible::Gone`] if no other is known.
    pub fn no_upstream_reason(
        &self,
        service: &Name,
        criteria: &CandidateCriteria<'_>,
        now_us: u64,
    ) -> Ineligible {
        let of_service = |(key, state): &(&UpstreamKey, &UpstreamState)| {
            state.record.service == *service && !criteria.tried.contains(key)
        };
        let candidates = self.upstreams.iter().filter(of_service);
        let reason = |(key, state): (&UpstreamKey, &UpstreamState)| {
            if !self.is_in_allowed_region(*key, criteria.regions) {
                return Some(Ineligible::OutsideRegions);
            }
            let is_reserved = state.limit().is_reserved(criteria.priority, now_us);
            self.eligibility(*key, now_us).err().or_else(|| is_reserved.then_some(Ineligible::Limited))
        };
        let reasons: Vec<Ineligible> = candidates.filter_map(reason).collect();
        // Ordered by how soon the condition is expected to end.
        let soonest = [
            Ineligible::Cold,
            Ineligible::Limited,
            Ineligible::BackingOff,
            Ineligible::Evacuated,
            Ineligible::Draining,
            Ineligible::OutsideRegions,
        ];
        soonest.into_iter().find(|reason| reasons.contains(reason)).unwrap_or(Ineligible::Gone)
    }
}
