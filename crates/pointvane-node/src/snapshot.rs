//! What was known of an upstream when it was chosen, for decisions and log lines of that moment.

use {
    crate::node::Node,
    pointvane_core::{Name, PlatformAdapter, US_PER_MS, UpstreamLoad},
    pointvane_dispatch::{LoadSample, LoadWhenSent, UpstreamKey},
    std::net::SocketAddr,
};

/// Percent in a cost of 1.
const PERCENT: f32 = 100.0;

/// What was known of an upstream when it was chosen.
#[derive(Clone, Debug)]
pub struct UpstreamSnapshot {
    /// The upstream.
    pub upstream: Name,
    /// Where it serves.
    pub address: SocketAddr,
    /// Expected latency, as a multiple of uncontended work.
    pub cost: f32,
    /// When this was known, in microseconds of the steady clock.
    pub taken_at_us: u64,
    /// Its load at that time.
    pub load_when_sent: LoadWhenSent,
    report: Option<LoadSample>,
}

impl UpstreamSnapshot {
    /// What is known now; none of an upstream that is forgotten.
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

    /// Its last load report; zeros, which no upstream reports as its slots, where there was none.
    pub fn load(&self) -> UpstreamLoad {
        let none = UpstreamLoad { running: 0, waiting: 0, slots: 0, slowdown_percent: 0 };
        self.report.map_or(none, |report| report.load)
    }

    /// Age of that report, in milliseconds; 0 where there was none.
    pub fn load_age_ms(&self) -> u64 {
        self.report.map_or(0, |report| self.taken_at_us.saturating_sub(report.received_at_us) / US_PER_MS)
    }

    /// The cost in percent.
    pub fn cost_percent(&self) -> u32 {
        (self.cost * PERCENT) as u32
    }
}
