//! Contention: how much room the upstreams of a service have in each data centre.
//!
//! Inputs: every load report that this node receives, with the share of slots in use and whether the upstream
//! was uncontended by it, and the reports that other nodes hand over. Reports lose half of their weight every
//! 300 ms, since load shifts within a second. Without reports there is no estimate, and callers of
//! [`Pool::contention`] decide as if the service were not contended.
//!
//! Nodes exchange reports by push-sum gossip while a service is contended: in each round a node hands over a
//! part of the reports that it holds to random other nodes. Reports are moved, not copied, so that none is
//! counted twice however often it is passed on, and all nodes converge to the mean over the fleet's reports.
//! A lost datagram loses reports, but does not bias the mean. An estimate adds these to the node's own
//! reports, with a bounded weight. Tests: `tests/contention.rs`, `tests/contention_fleet.rs`.

mod messages;
mod pair;
mod sums;
mod table;

pub use {
    messages::{CONTENTION_ENTRIES_MAX, ContentionEntry, ContentionMessage, PairId},
    table::{CONTENTION_PEERS, ContentionTable},
};

use {crate::pool::Pool, pair::Pair, pointvane_core::Name};

/// Contention of the upstreams of one service in one data centre.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Contention {
    /// Share of the recent load reports by which an upstream was uncontended, from 0 to 1.
    pub uncontended_share: f32,
    /// Mean share of the slots in use by these reports; above 1 where requests are queued.
    pub occupancy: f32,
    /// Number of reports behind the estimate, older ones weighted less.
    pub reports: f32,
}

/// What one load report says about contention.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ContentionSample {
    /// Whether the upstream was uncontended.
    pub is_uncontended: bool,
    /// Share of the upstream's slots in use.
    pub occupancy: f32,
}

/// A service and data centre that became contended, or no longer is.
#[derive(Clone, Debug, PartialEq)]
pub struct ContentionChange {
    /// The service.
    pub service: Name,
    /// The data centre of its upstreams.
    pub data_centre: Name,
    /// Whether it is contended now.
    pub is_contended: bool,
    /// The estimate, `None` without recent reports.
    pub contention: Option<Contention>,
}

impl ContentionChange {
    fn new(pair: &Pair, nodes: usize, now_us: u64) -> Self {
        Self {
            service: pair.service.clone(),
            data_centre: pair.data_centre.clone(),
            is_contended: pair.is_contended(),
            contention: pair.contention(nodes, now_us),
        }
    }
}

impl Pool {
    /// Contention of a service's upstreams in a data centre; none without recent reports.
    pub fn contention(&self, service: &Name, data_centre: &Name, now_us: u64) -> Option<Contention> {
        self.contention.get(service, data_centre, now_us)
    }

    /// Contention of a service's upstreams in all data centres that may get work; none without recent reports.
    pub fn service_contention(&self, service: &Name, now_us: u64) -> Option<Contention> {
        let may_get_work = |data_centre: &Name| !self.evacuations.is_evacuated(data_centre);
        self.contention.of_service(service, may_get_work, now_us)
    }

    /// The contention of all services, to exchange load reports with other nodes.
    pub fn contention_table(&self) -> &ContentionTable {
        &self.contention
    }

    /// Mutable access to the contention of all services.
    pub fn contention_table_mut(&mut self) -> &mut ContentionTable {
        &mut self.contention
    }
}
