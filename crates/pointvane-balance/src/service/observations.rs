//! Observations of a service's load that entry VMs exchange.

use {
    super::ServiceBalancer,
    pointvane_core::{Observation, US_PER_MS},
};

/// Reports of leaving that are older than this are not forwarded.
const LEAVING_FORWARD_AGE_MAX_US: u64 = 10_000 * US_PER_MS;
/// Minimum time before the same report of leaving is sent again.
const LEAVING_RESEND_INTERVAL_US: u64 = 200 * US_PER_MS;

impl<W> ServiceBalancer<W> {
    /// Returns at most `count_max` observations that have not been sent to peers: reports of leaving first,
    /// then the newest.
    pub fn observations(&mut self, count_max: usize, now_us: u64) -> Vec<Observation> {
        let mut candidates: Vec<(u64, u16)> = (0..self.index_by_position.len())
            .filter_map(|position| Some((self.send_priority(position, now_us)?, position as u16)))
            .collect();
        candidates.sort_unstable_by(|a, b| b.cmp(a));
        candidates.truncate(count_max);
        candidates.into_iter().map(|(_, position)| self.observation(position, now_us)).collect()
    }

    /// Priority of sending the observation of an upstream; `None` if there is nothing new.
    fn send_priority(&self, position: usize, now_us: u64) -> Option<u64> {
        let index = self.index_by_position[position];
        let (state, record) = (&self.upstreams[index], &self.records[index]);
        if state.evidence.is_leaving() {
            let sent_recently = now_us.saturating_sub(record.sent_at_us) < LEAVING_RESEND_INTERVAL_US;
            let is_too_old = now_us.saturating_sub(record.reported_at_us) > LEAVING_FORWARD_AGE_MAX_US;
            return (!sent_recently && !is_too_old).then_some(u64::MAX);
        }
        (record.reported_at_us > record.sent_at_us).then_some(record.reported_at_us)
    }

    fn observation(&mut self, position: u16, now_us: u64) -> Observation {
        let index = self.index_by_position[usize::from(position)];
        let (state, record) = (&self.upstreams[index], &mut self.records[index]);
        let total = f32::from(state.own_in_flight) + state.others.estimate_at(now_us, f32::MAX, 0.0);
        let requests = total.round() as u16;
        record.sent_at_us = now_us;
        let age_ms = now_us.saturating_sub(record.reported_at_us) / US_PER_MS;
        let age_ms = age_ms.min(u64::from(u16::MAX)) as u16;
        Observation { position, requests, leaving: state.evidence.is_leaving(), age_ms }
    }

    /// Records a peer's observation.
    pub fn observe(&mut self, observation: &Observation, now_us: u64) {
        let Some(&index) = self.index_by_position.get(usize::from(observation.position)) else {
            return;
        };
        let observed_at_us = now_us.saturating_sub(u64::from(observation.age_ms) * US_PER_MS);
        let state = &mut self.upstreams[index];
        state.evidence.observe(observation.leaving, observed_at_us);
        if self.service.load.use_reports && self.report_trust.is_trusted(now_us) {
            let others = f32::from(observation.requests.saturating_sub(state.own_in_flight));
            state.others.observe(others, observed_at_us);
            self.others_mean.observe(others, state.upstream.slots);
        }
    }
}
