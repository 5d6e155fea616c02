//! Upstreams of a service across configuration changes. A removed upstream is kept while requests are in
//! flight.

use {
    super::{PROBE_TOKENS_MAX, ServiceBalancer},
    crate::{health::Health, upstream::UpstreamState},
    pointvane_config::Upstream,
    pointvane_core::TokenBucket,
};

/// Bookkeeping for one upstream besides its state.
#[derive(Debug)]
pub(super) struct UpstreamRecord {
    pub(super) probe_budget: TokenBucket,
    pub(super) probed_at_us: Option<u64>,
    /// No longer in the configuration; kept while requests are in flight.
    pub(super) retired: bool,
    /// When a response or probe last brought a load report to this entry VM.
    pub(super) reported_at_us: u64,
    /// When the load of this upstream was last sent to peers.
    pub(super) sent_at_us: u64,
    /// When this entry VM last started a request there.
    pub(super) last_start_us: u64,
}

impl<W> ServiceBalancer<W> {
    /// Updates the upstreams to the current configuration.
    pub(super) fn update_upstreams(&mut self, now_us: u64, health: impl Fn(u64) -> Health) {
        for (state, record) in self.upstreams.iter().zip(&mut self.records) {
            record.retired = !self.service.upstreams.iter().any(|u| is_same_process(u, &state.upstream));
        }
        let configured = self.service.upstreams.clone();
        let indices =
            configured.into_iter().map(|upstream| self.insert_or_update(upstream, health(now_us), now_us));
        self.index_by_position = indices.collect();
    }

    /// Returns the index of an upstream: its previous one, that of a retired upstream without requests, or a
    /// new one.
    fn insert_or_update(&mut self, upstream: Upstream, health: Health, now_us: u64) -> usize {
        if let Some(index) = self.upstreams.iter().position(|s| is_same_process(&s.upstream, &upstream)) {
            self.upstreams[index].upstream = upstream;
            return index;
        }
        let budget_per_s = self.service.load.probes_per_s / f64::from(self.limits.entry_vms_max);
        let record = UpstreamRecord {
            probe_budget: TokenBucket::full(budget_per_s, PROBE_TOKENS_MAX, now_us),
            probed_at_us: None,
            retired: false,
            reported_at_us: 0,
            sent_at_us: 0,
            last_start_us: 0,
        };
        let state = UpstreamState::new(upstream, health);
        let reusable = (0..self.records.len())
            .find(|&i| self.records[i].retired && self.upstreams[i].own_in_flight == 0);
        match reusable {
            Some(index) => {
                self.upstreams[index] = state;
                self.records[index] = record;
                index
            }
            None => {
                self.upstreams.push(state);
                self.records.push(record);
                self.upstreams.len() - 1
            }
        }
    }
}

fn is_same_process(a: &Upstream, b: &Upstream) -> bool {
    a.name == b.name && a.address == b.address
}
