//! What was believed of an upstream when it was chosen.

use {
    crate::node::Node,
    pointvane_core::{Name, PlatformAdapter, US_PER_MS, UpstreamLoad},
    pointvane_dispatch::{LoadSample, UpstreamKey},
};

const PERCENT: f32 = 100.0;

/// What was believed of an upstream when it was chosen.
#[derive(Clone, Debug)]
pub struct Belief {
    /// The upstream.
    pub upstream: Name,
    /// The expected time, in multiples of the usual.
    pub cost: f32,
    /// When it was believed.
    pub at_us: u64,
    sample: Option<LoadSample>,
}

impl Belief {
    /// What is believed now; none of an upstream that is forgotten.
    pub fn of<A: PlatformAdapter>(node: &Node<A>, key: UpstreamKey) -> Option<Self> {
        let at_us = node.now_us();
        let pool = node.pool.borrow();
        let state = pool.get(key)?;
        let (upstream, sample) = (state.id().clone(), state.sample());
        Some(Self { upstream, cost: pool.cost(key, at_us), at_us, sample })
    }

    /// Its last word on its load; nothing running where there was none.
    pub fn load(&self) -> UpstreamLoad {
        let unknown = UpstreamLoad { running: 0, waiting: 0, slots: 0, pace_percent: 0 };
        self.sample.map_or(unknown, |sample| sample.load)
    }

    /// Age of that word, in milliseconds; 0 where there was none.
    pub fn load_age_ms(&self) -> u64 {
        self.sample.map_or(0, |sample| self.at_us.saturating_sub(sample.heard_at_us) / US_PER_MS)
    }

    /// The expected time, in percent of the usual.
    pub fn cost_percent(&self) -> u32 {
        (self.cost * PERCENT) as u32
    }
}
