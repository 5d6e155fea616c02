//! Observations of a service's load: what one entry VM sends to the others, and what it makes of theirs.

use {
    super::ServiceBalancer,
    pointvane_core::{Observation, US_PER_MS},
};

/// Age beyond which a sign of leaving is no longer passed on. Not measured.
const LEAVING_AGE_MAX_US: u64 = 10_000 * US_PER_MS;
/// Time between two transmissions of the same sign of leaving. Not measured.
const LEAVING_AGAIN_US: u64 = 200 * US_PER_MS;

impl<W> ServiceBalancer<W> {
    /// At most `count_max` observations that peers lack: signs of leaving first, then the newest.
    pub fn observations(&mut self, count_max: usize, now_us: u64) -> Vec<Observation> {
        let mut found: Vec<(u64, u16)> = (0..self.by_position.len())
            .filter_map(|position| Some((self.urgency(position, now_us)?, position as u16)))
            .collect();
        found.sort_unstable_by(|a, b| b.cmp(a));
        found.truncate(count_max);
        found.into_iter().map(|(_, position)| self.observation(position, now_us)).collect()
    }

    /// How urgent the observation of an upstream is; none if there is nothing new.
    fn urgency(&self, position: usize, now_us: u64) -> Option<u64> {
        let index = self.by_position[position];
        let (state, record) = (&self.upstreams[index], &self.records[index]);
        if state.evidence.leaving() {
            let lately = now_us.saturating_sub(record.shared_at_us) < LEAVING_AGAIN_US;
            let old = now_us.saturating_sub(record.reported_at_us) > LEAVING_AGE_MAX_US;
            return (!lately && !old).then_some(u64::MAX);
        }
        (record.reported_at_us > record.shared_at_us).then_some(record.reported_at_us)
    }

    fn observation(&mut self, position: u16, now_us: u64) -> Observation {
        let index = self.by_position[usize::from(position)];
        let (state, record) = (&self.upstreams[index], &mut self.records[index]);
        let total = f32::from(state.own) + state.others.at(now_us, f32::MAX, 0.0);
        let requests = total.round() as u16;
        record.shared_at_us = now_us;
        let age_ms = now_us.saturating_sub(record.reported_at_us) / US_PER_MS;
        let age_ms = age_ms.min(u64::from(u16::MAX)) as u16;
        Observation { position, requests, leaving: state.evidence.leaving(), age_ms }
    }

    /// Takes a peer's observation.
    pub fn observe(&mut self, observation: &Observation, now_us: u64) {
        let Some(&index) = self.by_position.get(usize::from(observation.position)) else {
            return;
        };
        let at_us = now_us.saturating_sub(u64::from(observation.age_ms) * US_PER_MS);
        let state = &mut self.upstreams[index];
        state.evidence.observe(observation.leaving, at_us);
        if self.service.load.use_reports && self.trust.holds(now_us) {
            let others = f32::from(observation.requests.saturating_sub(state.own));
            state.others.observe(others, at_us);
            self.mean.observe(others, state.upstream.slots);
        }
    }
}
