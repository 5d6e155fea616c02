//! Which upstreams a service has, as configurations come and go; one that leaves is kept while requests are in flight.

use {
    super::{PROBE_TOKENS_MAX, ServiceBalancer},
    crate::{health::Health, upstream::UpstreamView},
    pointvane_config::Upstream,
    pointvane_core::TokenBucket,
};

/// What is kept of one upstream beside its state.
#[derive(Debug)]
pub(super) struct Record {
    pub(super) probes: TokenBucket,
    pub(super) probed_at_us: Option<u64>,
    /// No longer in the configuration; kept while requests are in flight.
    pub(super) retired: bool,
    /// When a total was last seen in an answer to this entry VM.
    pub(super) reported_at_us: u64,
    /// When the load of this upstream was last sent to peers.
    pub(super) shared_at_us: u64,
    /// When this entry VM last started a request there.
    pub(super) started_at_us: u64,
}

impl<W> ServiceBalancer<W> {
    /// Places the upstreams of the configuration in force.
    pub(super) fn place_upstreams(&mut self, now_us: u64, health: impl Fn(u64) -> Health) {
        for (state, record) in self.upstreams.iter().zip(&mut self.records) {
            record.retired = !self.service.upstreams.iter().any(|u| same_process(u, &state.upstream));
        }
        let wanted = self.service.upstreams.clone();
        let places = wanted.into_iter().map(|upstream| self.place(upstream, health(now_us), now_us));
        self.by_position = places.collect();
    }

    /// The index of an upstream: its old one, that of a retired and empty one, or a new one.
    fn place(&mut self, upstream: Upstream, health: Health, now_us: u64) -> usize {
        if let Some(index) = self.upstreams.iter().position(|s| same_process(&s.upstream, &upstream)) {
            self.upstreams[index].upstream = upstream;
            return index;
        }
        let share_per_s = self.service.load.probes_per_s / f64::from(self.limits.entry_vms_max);
        let record = Record {
            probes: TokenBucket::timed(share_per_s, PROBE_TOKENS_MAX, now_us),
            probed_at_us: None,
            retired: false,
            reported_at_us: 0,
            shared_at_us: 0,
            started_at_us: 0,
        };
        let state = UpstreamView::new(upstream, health);
        let free = (0..self.records.len()).find(|&i| self.records[i].retired && self.upstreams[i].own == 0);
        match free {
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

fn same_process(a: &Upstream, b: &Upstream) -> bool {
    a.name == b.name && a.address == b.address
}
