//! What a node knows of the contention of one service in one data centre.

use {
    super::{
        Contention, ContentionSample,
        messages::{ContentionEntry, ENTRY_WEIGHT_MAX, EntryValues, PairId},
        sums::DecayingSums,
    },
    pointvane_core::Name,
};

/// Weight, in reports, below which an estimate is not used.
const WEIGHT_MIN: f64 = 0.25;
/// Maximum weight of the fleet's reports in an estimate, in reports. A node with more reports of its own goes
/// mainly by these.
const FLEET_WEIGHT_MAX: f64 = 8.0;
/// Maximum weight of the node's own reports in an estimate, in reports.
const OWN_WEIGHT_MAX: f64 = 64.0;
/// Number of contended reports above the number of uncontended ones from which a node starts an exchange. A
/// single contended report is usual in calm.
const START_EXCESS: f64 = 1.0;
/// Uncontended share below which an exchange goes on.
const EXCHANGE_SHARE: f64 = 0.5;
/// Time for which nodes continue to exchange reports after the share was last below [`EXCHANGE_SHARE`], in
/// microseconds. The reports that end a contention spread within it.
const EXCHANGE_US: u64 = 1_500_000;
/// Time for which a node joins an exchange if the reports that it holds show no contention, in microseconds:
/// long enough to add these.
const JOIN_US: u64 = 300_000;
/// Part of its reports that a node hands over with each message.
const SENT_PART: f64 = 1.0 / 3.0;
/// Uncontended share below which, and occupancy above which, a service counts as contended.
const CONTENDED: (f32, f32) = (0.5, 0.7);
/// Uncontended share below which, and occupancy above which, a service still counts as contended.
const STILL_CONTENDED: (f32, f32) = (0.7, 0.5);

/// Load reports on the upstreams of one service in one data centre.
#[derive(Clone, Debug)]
pub(super) struct Pair {
    pub(super) id: PairId,
    pub(super) service: Name,
    pub(super) data_centre: Name,
    /// Reports that this node received from upstreams.
    own: DecayingSums,
    /// This node's part of all reports in the fleet. Reports are moved between nodes, not copied.
    held: DecayingSums,
    /// Reports that other nodes handed over.
    received: DecayingSums,
    /// When an upstream sent the newest of the held reports.
    newest_at_us: u64,
    exchange_until_us: u64,
    is_contended: bool,
}

impl Pair {
    pub(super) fn new(service: Name, data_centre: Name) -> Self {
        Self {
            id: PairId::of(&service, &data_centre),
            service,
            data_centre,
            own: DecayingSums::default(),
            held: DecayingSums::default(),
            received: DecayingSums::default(),
            newest_at_us: 0,
            exchange_until_us: 0,
            is_contended: false,
        }
    }

    /// Records a load report of an upstream.
    pub(super) fn record(&mut self, sample: ContentionSample, now_us: u64) {
        self.own.record(sample, now_us);
        self.held.record(sample, now_us);
        self.newest_at_us = now_us;
        let uncontended = self.held.uncontended;
        self.exchange_if(self.held.weight - uncontended > uncontended + START_EXCESS, now_us);
    }

    /// Weight of the reports that this node received from upstreams.
    pub(super) fn own_weight(&self, now_us: u64) -> f64 {
        self.own.decayed(now_us).weight
    }

    /// Takes over reports from another node.
    pub(super) fn receive(&mut self, entry: &ContentionEntry, now_us: u64) {
        let EntryValues { weight, uncontended_share: share, occupancy, age_us } = entry.values();
        self.held.add(weight, share, occupancy, now_us);
        self.received.add(weight, share, occupancy, now_us);
        self.newest_at_us = self.newest_at_us.max(now_us.saturating_sub(age_us));
        if share < EXCHANGE_SHARE {
            self.exchange_until_us = self.exchange_until_us.max(now_us + JOIN_US);
        }
    }

    fn exchange_if(&mut self, condition: bool, now_us: u64) {
        if condition {
            self.exchange_until_us = now_us + EXCHANGE_US;
        }
    }

    /// Whether the reports that this node holds show contention.
    pub(super) fn holds_contended(&self) -> bool {
        self.held.uncontended < self.held.weight * EXCHANGE_SHARE
    }

    /// Whether this node exchanges reports on the pair.
    pub(super) fn is_exchanged(&self, now_us: u64) -> bool {
        now_us < self.exchange_until_us
    }

    /// Weight of the reports that this node holds.
    pub(super) fn held_weight(&self, now_us: u64) -> f64 {
        self.held.decayed(now_us).weight
    }

    /// Removes a part of the reports that this node holds, to be sent to another node.
    pub(super) fn take_entry(&mut self, now_us: u64) -> Option<ContentionEntry> {
        self.held = self.held.decayed(now_us);
        self.exchange_if(self.held.uncontended < self.held.weight * EXCHANGE_SHARE, now_us);
        let weight = (self.held.weight * SENT_PART).min(ENTRY_WEIGHT_MAX);
        let values = EntryValues {
            weight,
            uncontended_share: self.held.uncontended / self.held.weight,
            occupancy: self.held.occupancy / self.held.weight,
            age_us: now_us.saturating_sub(self.newest_at_us),
        };
        let entry = ContentionEntry::new(self.id, &values)?;
        self.held.remove(weight);
        Some(entry)
    }

    /// Sums over this node's own reports and those of the fleet, in which own reports dominate if there are
    /// many. `nodes` is the number of nodes among which the fleet's reports are distributed.
    pub(super) fn sums(&self, nodes: usize, now_us: u64) -> DecayingSums {
        // The maximum weights decay too, so that old reports do not outlast others by their number.
        let retained = |newest_at_us: u64| DecayingSums::retained(now_us.saturating_sub(newest_at_us));
        let own = self.own.decayed(now_us);
        let own_weight = own.weight.min(OWN_WEIGHT_MAX * retained(self.own.updated_at_us()));
        let received = self.received.decayed(now_us).weight * nodes as f64;
        let fleet_weight = received.min(FLEET_WEIGHT_MAX * retained(self.newest_at_us));
        own.with_weight(own_weight).plus(&self.held.decayed(now_us).with_weight(fleet_weight))
    }

    /// The contention, or `None` without recent reports.
    pub(super) fn contention(&self, nodes: usize, now_us: u64) -> Option<Contention> {
        contention(&self.sums(nodes, now_us))
    }

    /// Updates whether the pair counts as contended; returns true if that changed.
    pub(super) fn update_state(&mut self, nodes: usize, now_us: u64) -> bool {
        let (share_below, occupancy_above) = if self.is_contended { STILL_CONTENDED } else { CONTENDED };
        let is_contended = self.contention(nodes, now_us).is_some_and(|contention| {
            contention.uncontended_share < share_below && contention.occupancy > occupancy_above
        });
        is_contended != std::mem::replace(&mut self.is_contended, is_contended)
    }

    /// Whether the pair counts as contended.
    pub(super) fn is_contended(&self) -> bool {
        self.is_contended
    }
}

/// The contention by these sums, or `None` if there are too few recent reports.
pub(super) fn contention(sums: &DecayingSums) -> Option<Contention> {
    sums.contention().filter(|contention| f64::from(contention.reports) >= WEIGHT_MIN)
}
