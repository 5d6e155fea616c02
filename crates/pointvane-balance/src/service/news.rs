//! What one entry VM tells the others of a service's load, and what it makes of theirs.

use {
    super::ServiceBalancer,
    pointvane_core::{Observation, US_PER_MS},
};

/// Age beyond which a peer's own counts are dropped.
const PEER_COUNTS_AGE_MAX_US: u64 = 1_000 * US_PER_MS;
/// Age beyond which a word about leaving is no longer passed on.
const LEAVING_AGE_MAX_US: u64 = 10_000 * US_PER_MS;
/// Time between two tellings of the same word about leaving.
const LEAVING_AGAIN_US: u64 = 200 * US_PER_MS;

/// Where an observation comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObservationSource {
    /// The upstream's report of all requests it holds.
    Total,
    /// The teller's own requests at it.
    Own,
}

/// Own counts that one peer told.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerCounts {
    counts: Vec<u16>,
    told_at_us: u64,
}

impl<W> ServiceBalancer<W> {
    /// Which kind of observation this service tells and expects.
    pub fn source(&self) -> ObservationSource {
        if self.service.load.use_reports {
            ObservationSource::Total
        } else {
            ObservationSource::Own
        }
    }

    /// At most `count_max` observations worth telling peers: words about leaving first, then the newest.
    pub fn news(&mut self, count_max: usize, now_us: u64) -> Vec<Observation> {
        let mut found: Vec<(u64, u16)> = (0..self.by_position.len())
            .filter_map(|position| Some((self.urgency(position, now_us)?, position as u16)))
            .collect();
        found.sort_unstable_by(|a, b| b.cmp(a));
        found.truncate(count_max);
        found
            .into_iter()
            .map(|(_, position)| self.tell(position, now_us))
            .collect()
    }

    /// How much the word about an upstream is worth telling; none if there is nothing new.
    fn urgency(&self, position: usize, now_us: u64) -> Option<u64> {
        let index = self.by_position[position];
        let (state, slot) = (&self.upstreams[index], &self.slots[index]);
        if state.evidence.leaving() {
            let lately = now_us.saturating_sub(slot.told_at_us) < LEAVING_AGAIN_US;
            let old = now_us.saturating_sub(slot.seen_at_us) > LEAVING_AGE_MAX_US;
            return (!lately && !old).then_some(u64::MAX);
        }
        match self.source() {
            ObservationSource::Total => (slot.seen_at_us > slot.told_at_us).then_some(slot.seen_at_us),
            ObservationSource::Own => {
                let change = u64::from(state.own.abs_diff(slot.told_own));
                let seen = u64::from(slot.seen_at_us > slot.told_at_us);
                (change + seen > 0).then_some(change)
            }
        }
    }

    fn tell(&mut self, position: u16, now_us: u64) -> Observation {
        let index = self.by_position[usize::from(position)];
        let (state, slot) = (&self.upstreams[index], &mut self.slots[index]);
        let total = f32::from(state.own) + state.others.at(now_us, f32::MAX, 0.0);
        let requests = match self.service.load.use_reports {
            true => total.round() as u16,
            false => state.own,
        };
        slot.told_at_us = now_us;
        slot.told_own = state.own;
        let age_ms = now_us.saturating_sub(slot.seen_at_us) / US_PER_MS;
        let age_ms = age_ms.min(u64::from(u16::MAX)) as u16;
        Observation {
            position,
            requests,
            leaving: state.evidence.leaving(),
            age_ms,
        }
    }

    /// Takes a peer's observation; `peer` is a small number that stands for the peer.
    pub fn heard(&mut self, peer: usize, observation: &Observation, now_us: u64) {
        let Some(&index) = self.by_position.get(usize::from(observation.position)) else {
            return;
        };
        let at_us = now_us.saturating_sub(u64::from(observation.age_ms) * US_PER_MS);
        let evidence_old = self.upstreams[index].evidence.staying_at_us() >= at_us;
        if observation.leaving || !evidence_old {
            self.upstreams[index].evidence.observe(observation.leaving, at_us);
        }
        match self.source() {
            ObservationSource::Total => self.heard_total(index, observation.requests, at_us),
            ObservationSource::Own => self.heard_own(peer, index, observation, now_us),
        }
    }

    fn heard_total(&mut self, index: usize, requests: u16, at_us: u64) {
        let state = &mut self.upstreams[index];
        let others = f32::from(requests.saturating_sub(state.own));
        state.others.observe(others, at_us);
        self.mean.observe(others, state.upstream.slots);
    }

    fn heard_own(&mut self, peer: usize, index: usize, observation: &Observation, now_us: u64) {
        if self.peers.len() <= peer {
            self.peers.resize(peer + 1, PeerCounts::default());
        }
        let counts = &mut self.peers[peer];
        counts.told_at_us = now_us;
        if counts.counts.len() <= index {
            counts.counts.resize(index + 1, 0);
        }
        counts.counts[index] = observation.requests;
        self.sum_peers(index, now_us);
    }

    fn sum_peers(&mut self, index: usize, now_us: u64) {
        let young = |peer: &&PeerCounts| now_us.saturating_sub(peer.told_at_us) <= PEER_COUNTS_AGE_MAX_US;
        let counts = self
            .peers
            .iter()
            .filter(young)
            .filter_map(|peer| peer.counts.get(index));
        let sum: u32 = counts.map(|&count| u32::from(count)).sum();
        let state = &mut self.upstreams[index];
        state.others.observe(sum as f32, now_us);
        self.mean.observe(sum as f32, state.upstream.slots);
    }
}
