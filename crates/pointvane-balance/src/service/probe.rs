//! Probes: requests for an upstream's load report when callers' traffic does not provide recent ones.

use {super::ServiceBalancer, crate::upstream::UpstreamState, pointvane_core::US_PER_MS, rand::Rng};

/// Time after which an unanswered probe may be repeated.
const PROBE_RETRY_US: u64 = 200 * US_PER_MS;
/// Maximum number of pending probes of one service.
const PENDING_PROBES_MAX: usize = 8;

impl<W> ServiceBalancer<W> {
    /// Returns an upstream that is due for a probe. The caller sends the probe and passes the result to
    /// [`Self::record_report`].
    ///
    /// Probes are sent only while requests arrive, and only within this entry VM's share of the fleet's probe
    /// budget.
    pub fn next_probe(&mut self, now_us: u64) -> Option<usize> {
        let age_max_us = self.evidence_age_max_us();
        let has_recent_arrival =
            self.last_arrival_us.is_some_and(|at_us| now_us.saturating_sub(at_us) <= age_max_us);
        if !has_recent_arrival {
            return None;
        }
        let pending = (0..self.records.len()).filter(|&i| self.is_probe_pending(i, now_us)).count();
        if pending >= PENDING_PROBES_MAX {
            return None;
        }
        let has_waiting = !self.admission.is_empty();
        // A probe takes a slot like any request, so an upstream that is backing off is not probed.
        let may_be_probed = |state: &UpstreamState| !state.backoff.blocks_sends(now_us);
        let is_due = |state: &UpstreamState| {
            let age_us = now_us.saturating_sub(state.evidence.last_staying_us());
            age_us > age_max_us || (!has_waiting && age_us > age_max_us / 2)
        };
        let offset = self.rng.random_range(0..self.records.len().max(1));
        let order = (offset..self.records.len()).chain(0..offset);
        let mut candidates = order.filter(|&i| {
            !self.records[i].retired && may_be_probed(&self.upstreams[i]) && is_due(&self.upstreams[i])
        });
        let index = candidates.find(|&i| !self.is_probe_pending(i, now_us))?;
        if !self.records[index].probe_budget.try_take(1.0, now_us) {
            return None;
        }
        self.records[index].probed_at_us = Some(now_us);
        Some(index)
    }

    pub(super) fn is_probe_pending(&self, index: usize, now_us: u64) -> bool {
        self.records[index].probed_at_us.is_some_and(|at_us| now_us.saturating_sub(at_us) < PROBE_RETRY_US)
    }
}
