//! Probes: asking an upstream for its report where callers' own traffic does not tell enough.

use {super::ServiceBalancer, crate::upstream::UpstreamView, pointvane_core::US_PER_MS, rand::Rng};

/// Time after which a probe without an answer may be repeated. Not measured.
const PROBE_AGAIN_US: u64 = 200 * US_PER_MS;
/// Probes of one service under way at once. Not measured.
const PROBES_AT_ONCE: usize = 8;

impl<W> ServiceBalancer<W> {
    /// An upstream that is due for a probe; the shell sends it and calls [`Self::reported`].
    ///
    /// Only while requests come, and only within this entry VM's share of the fleet's probe budget.
    pub fn next_probe(&mut self, now_us: u64) -> Option<usize> {
        let bound_us = self.evidence_bound_us();
        let recent = self.arrived_at_us.is_some_and(|at_us| now_us.saturating_sub(at_us) <= bound_us);
        if !recent {
            return None;
        }
        let under_way = (0..self.records.len()).filter(|&i| self.probed_lately(i, now_us)).count();
        if under_way >= PROBES_AT_ONCE {
            return None;
        }
        let waits = !self.admission.is_empty();
        // It wants no requests, and a probe takes a slot as they do.
        let may_be_probed = |state: &UpstreamView| !state.backoff.holds(now_us);
        let due = |state: &UpstreamView| {
            let age_us = now_us.saturating_sub(state.evidence.staying_at_us());
            age_us > bound_us || (!waits && age_us > bound_us / 2)
        };
        let offset = self.rng.random_range(0..self.records.len().max(1));
        let order = (offset..self.records.len()).chain(0..offset);
        let mut candidates = order.filter(|&i| {
            !self.records[i].retired && may_be_probed(&self.upstreams[i]) && due(&self.upstreams[i])
        });
        let index = candidates.find(|&i| !self.probed_lately(i, now_us))?;
        if !self.records[index].probes.take(1.0, now_us) {
            return None;
        }
        self.records[index].probed_at_us = Some(now_us);
        Some(index)
    }

    pub(super) fn probed_lately(&self, index: usize, now_us: u64) -> bool {
        self.records[index].probed_at_us.is_some_and(|at_us| now_us.saturating_sub(at_us) < PROBE_AGAIN_US)
    }
}
