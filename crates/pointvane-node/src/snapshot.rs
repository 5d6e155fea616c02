//! Snapshot of an upstream's state when it was chosen, for decisions and log lines about the attempt.

use {
    crate::node::Node,
    pointvane_core::{Name, PlatformAdapter, US_PER_MS, UpstreamLoad},
    pointvane_dispatch::{LoadSample, LoadWhenSent, UpstreamKey},
    std::net::SocketAddr,
};

/// Percent that a cost of 1 corresponds to.
const PERCENT: f32 = 100.0;

/// State of an upstream when it was chosen.
#[derive(Clone, Debug)]
pub struct UpstreamSnapshot {
    /// The upstream's identifier.
    pub upstream: Name,
    /// Address that it serves on.
    pub address: SocketAddr,
    /// Expected latency, as a multiple of the latency without contention.
    pub cost: f32,
    /// When the snapshot was taken, in microseconds of the monotonic clock.
    pub taken_at_us: u64,
    /// The upstream's load at that time.
    pub load_when_sent: LoadWhenSent,
    report: Option<LoadSample>,
}

impl UpstreamSnapshot {
    /// Takes a snapshot; none if the upstream was removed from the pool.
    pub fn of<A: PlatformAdapter>(node: &Node<A>, key: UpstreamKey) -> Option<Self> {
        let taken_at_us = node.now_us();
        let pool = node.dispatcher.pool();
        let state = pool.get(key)?;
        let (upstream, address, report) = (state.id().clone(), state.address(), state.report());
        let load_when_sent = pool.load_when_sent(key, taken_at_us)?;
        Some(Self {
            upstream,
            address,
            cost: pool.cost(key, taken_at_us),
            taken_at_us,
            load_when_sent,
            report,
        })
    }

    /// The last load report; all zeros if there is none. No upstream reports 0 slots, so the two differ.
    pub fn load(&self) -> UpstreamLoad {
        let none = UpstreamLoad { running: 0, waiting: 0, slots: 0, slowdown_percent: 0 };
        self.report.map_or(none, |report| report.load)
    }

    /// Age of the last load report, in milliseconds; 0 if there is none.
    pub fn load_age_ms(&self) -> u64 {
        self.report.map_or(0, |report| self.taken_at_us.saturating_sub(report.received_at_us) / US_PER_MS)
    }

    /// The cost in percent, truncated.
    pub fn cost_percent(&self) -> u32 {
        (self.cost * PERCENT) as u32
    }
}
