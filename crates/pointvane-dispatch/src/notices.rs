//! Notices in response headers: an upstream asks for a back-off or announces that it is leaving.
//!
//! A notice takes effect as soon as the response head of a request or probe has been read. Inputs: the
//! notice, the incarnation of the upstream to which the request was sent, the monotonic clock, the number of
//! nodes, and the number of upstreams in the service.
//!
//! - Both notices are binding, even if the service has no other upstream (`eligibility.rs`).
//! - Both apply to this node only and are not forwarded. A back-off is requested of one node, and each node
//!   learns of a departure from the upstream itself or from the platform (docs/design/backing-off.md).
//! - No notice cancels another: a shorter back-off does not shorten a longer one, and a directory entry that
//!   says "ready" does not revoke a departure.
//! - Notices survive the removal and return of the directory entry of the same incarnation, provided the
//!   entry states when the incarnation started.
//! - A new incarnation does not inherit them, with one exception: if the previous one was backing off, the
//!   new one is sent a single trial request at first, because it may itself have sent the notice before its
//!   entry was known.
//! - Notices from an incarnation that is no longer known are ignored.
//!
//! Tests: `tests/notices.rs`, fleet simulations: `tests/notices_fleet.rs`.

use {
    crate::{
        ineligible::Ineligible,
        pool::Pool,
        subset::{SUBSET_MAX, ServiceUpstreams},
        upstream_key::UpstreamKey,
    },
    pointvane_core::{Name, US_PER_MS, resume_delay_max_us},
    rand::Rng,
    std::mem,
};

/// Summary of a service none of whose upstreams may receive work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WithheldService {
    /// Number of known upstreams of the service.
    pub upstreams: usize,
    /// Number of upstreams that asked for a back-off.
    pub backing_off: usize,
    /// Number of upstreams that have reached their request limit.
    pub limited: usize,
    /// Time until the first upstream that is backing off or limited may receive work, in milliseconds,
    /// rounded up; `None` if there is no such upstream.
    pub back_in_ms: Option<u64>,
}

impl Pool {
    /// Records that an upstream asked for a back-off of `for_us`. Returns the whole time for which this node
    /// sends it nothing, in microseconds, if that extends the current back-off.
    pub fn record_back_off(&mut self, key: UpstreamKey, for_us: u64, now_us: u64) -> Option<u64> {
        let record = &self.upstreams.get(&key)?.record;
        let (nodes, slots) = (self.nodes_using(&record.service), record.slots);
        let jitter_us = self.rng.random_range(0..=resume_delay_max_us(nodes, slots, for_us));
        let state = self.upstreams.get_mut(&key)?;
        state.notices.backoff.record_retry_after(for_us, jitter_us, now_us).then_some(for_us + jitter_us)
    }

    /// Returns how many nodes use each upstream of a service. In a large service, each node uses only a
    /// subset.
    pub(crate) fn nodes_using(&self, service: &Name) -> usize {
        let (nodes, upstreams) =
            (self.warm_up.nodes(), self.by_service.get(service).map_or(0, ServiceUpstreams::len));
        nodes.min((nodes * SUBSET_MAX).div_ceil(upstreams.max(1)))
    }

    /// Records that an upstream is leaving; returns true if that was not known.
    pub fn record_leaving(&mut self, key: UpstreamKey) -> bool {
        let state = self.upstreams.get_mut(&key);
        state.is_some_and(|state| !mem::replace(&mut state.notices.is_leaving, true))
    }

    /// Records the end of a request on an upstream; returns true if that ends the trial phase after a
    /// back-off.
    pub fn record_return(&mut self, key: UpstreamKey, ran: bool, now_us: u64) -> bool {
        self.upstreams.get_mut(&key).is_some_and(|state| state.notices.backoff.record_result(ran, now_us))
    }

    /// Returns why no upstream of a service may receive work of a priority; `None` if one may, or if the
    /// service is unknown.
    pub fn withheld(&self, service: &Name, priority: u32, now_us: u64) -> Option<WithheldService> {
        let mut withheld = WithheldService { upstreams: 0, backing_off: 0, limited: 0, back_in_ms: None };
        for key in self.by_service.get(service)?.keys() {
            withheld.upstreams += 1;
            let state = self.upstreams.get(&key)?;
            let is_reserved = state.limit().is_reserved(priority, now_us);
            let reason = is_reserved.then_some(Ineligible::Limited);
            match self.eligibility(key, now_us).and(reason.map_or(Ok(()), Err)) {
                Err(reason @ (Ineligible::BackingOff | Ineligible::Limited)) => {
                    withheld.backing_off += usize::from(reason == Ineligible::BackingOff);
                    withheld.limited += usize::from(reason == Ineligible::Limited);
                    let remaining_us = state.available_in_us(priority, now_us);
                    let remaining_ms = remaining_us.map(|remaining_us| remaining_us.div_ceil(US_PER_MS));
                    withheld.back_in_ms = withheld.back_in_ms.into_iter().chain(remaining_ms).min();
                }
                Err(reason) if reason.is_binding() => {}
                Ok(()) | Err(_) => return None,
            }
        }
        Some(withheld)
    }
}
