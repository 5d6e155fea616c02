//! What a node knows of the contention of one service in one data centre.

use {
    super::{
        Contention, ContentionSample,
        messages::{ContentionEntry, ENTRY_WEIGHT_MAX, PairId},
        sums::DecayingSums,
    },
    pointvane_core::Name,
};

/// Weight, in reports, below which an estimate is not used.
const WEIGHT_MIN: f64 = 0.25;
/// Maximum weight of the fleet's reports in an estimate, in reports. A node with more reports of its own goes
/// mainly by these.
const FLEET_WEIGHT_MAX: f64 = 8.0;
/// Number of contended reports above the number of uncontended ones from which a node starts an exchange. A
/// single contended report is usual in calm.
const START_EXCESS: f64 = 1.0;
/// Uncontended share below which an exchange goes on.
const EXCHANGE_SHARE: f64 = 0.5;
/// Time for which nodes continue to exchange reports after the share was last below [`EXCHANGE_SHARE`], in
/// microseconds. The reports that end a contention spread within it.
const EXCHANGE_US: u64 = 1_500_000;
/// Part of its reports that a node hands over with each message.
const SENT_PART: f64 = 1.0 / 3.0;
/// Uncontended share below which a service is reported as contended.
const CONTENDED_BELOW: f32 = 0.5;
/// Uncontended share above which a service is no longer reported as contended.
const CONTENDED_UNTIL: f32 = 0.7;

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
            exchange_until_us: 0,
            is_contended: false,
        }
    }

    /// Records a load report of an upstream.
    pub(super) fn record(&mut self, sample: ContentionSample, now_us: u64) {
        self.own.record(sample, now_us);
        self.held.record(sample, now_us);
        let uncontended = self.held.uncontended;
        self.exchange_if(self.held.weight - uncontended > uncontended + START_EXCESS, now_us);
    }

    /// Takes over reports from another node.
    pub(super) fn receive(&mut self, entry: &ContentionEntry, now_us: u64) {
        let (weight, share, occupancy) = (entry.weight(), entry.uncontended_share(), entry.occupancy());
        self.held.add(weight, share, occupancy, now_us);
        self.received.add(weight, share, occupancy, now_us);
        // Also if this node holds other reports: these are then added to the exchange.
        self.exchange_if(share < EXCHANGE_SHARE, now_us);
    }

    fn exchange_if(&mut self, condition: bool, now_us: u64) {
        if condition {
            self.exchange_until_us = now_us + EXCHANGE_US;
        }
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
        let (share, occupancy) =
            (self.held.uncontended / self.held.weight, self.held.occupancy / self.held.weight);
        let entry = ContentionEntry::new(self.id, weight, share, occupancy)?;
        self.held.remove(weight);
        Some(entry)
    }

    /// Sums over this node's own reports and those of the fleet, in which own reports dominate if there are
    /// many. `nodes` is the number of nodes among which the fleet's reports are distributed.
    pub(super) fn sums(&self, nodes: usize, now_us: u64) -> DecayingSums {
        let own = self.own.decayed(now_us);
        let received = self.received.decayed(now_us).weight * nodes as f64;
        own.plus(&self.held.decayed(now_us).with_weight(received.min(FLEET_WEIGHT_MAX)))
    }

    /// The contention, or `None` without recent reports.
    pub(super) fn contention(&self, nodes: usize, now_us: u64) -> Option<Contention> {
        contention(&self.sums(nodes, now_us))
    }

    /// Updates whether the pair counts as contended; returns true if that changed.
    pub(super) fn update_state(&mut self, nodes: usize, now_us: u64) -> bool {
        let below = if self.is_contended { CONTENDED_UNTIL } else { CONTENDED_BELOW };
        let contention = self.contention(nodes, now_us);
        let is_contended = contention.is_some_and(|contention| contention.uncontended_share < below);
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
