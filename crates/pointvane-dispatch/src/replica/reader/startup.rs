//! Startup: how long a node without any state queries peers before it reads the platform itself.
//!
//! When all nodes start at once, a few should read the platform and the others copy the state from node to
//! node. No node knows how many are starting, so each draws the time at which it reads by itself from a
//! distribution in which each further step has twice as many nodes as the one before. If the state spreads,
//! most nodes have it before their time comes; if it does not, none waits longer than the whole period. While
//! a peer reports that it is reading the platform, the others wait for its state, for a few periods at most,
//! because the duration of the read grows with the amount of data. A node that reaches no peer reads the
//! first page at once, and the rest too if there are few pages.
//!
//! Inputs: whether queries reach peers, and whether the platform holds more than one page. Tests:
//! `tests/large_fleets.rs`, `tests/startup.rs`.

use {super::ReaderOptions, pointvane_core::US_PER_MS, rand::Rng};

/// Number of equal steps of the period; each has twice as many reading nodes as the one before.
const SPREAD_STEPS: f64 = 12.0;

/// Rounds of queries that reached no peer after which the platform is called: if the seed nodes are down, no
/// state is spreading.
///
/// A round queries all seed nodes, so a single one suffices.
const UNREACHED_ROUNDS_MAX: u32 = 1;

/// Divisor of the period in which a node that has reached no peer waits before it reads the remaining pages.
///
/// Hundreds of nodes that read several pages each at once would saturate the link of the platform.
const UNREACHED_SPAN_DIVISOR: u64 = 2;

/// Time for which a peer's report that it is reading the platform stays valid, in microseconds.
const PEER_READING_VALID_US: u64 = 600 * US_PER_MS;
/// Longest wait for such a peer, in start periods.
const PEER_READING_SPANS_MAX: u64 = 3;

/// Decides when a node without any state reads the platform itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Startup {
    /// When this node first asked for its next call, in microseconds of the monotonic clock.
    began_us: Option<u64>,
    /// Share of the period after which this node reads; drawn at that time.
    spread_share: f64,
    /// Rounds of queries that reached no peer.
    unreached_rounds: u32,
    /// Whether a peer has responded, so that peers are reachable.
    peer_responded: bool,
    /// When a peer last reported that it is reading the platform, in microseconds of the monotonic clock.
    peer_reading_at_us: Option<u64>,
}

impl Startup {
    /// Records a round of queries that reached no peer.
    pub fn record_unreached_round(&mut self) {
        self.unreached_rounds += 1;
    }

    /// Records a peer that responded, though it knows nothing newer.
    pub fn record_peer_response(&mut self) {
        self.peer_responded = true;
    }

    /// Records a peer that is reading the platform.
    pub fn record_peer_reading(&mut self, now_us: u64) {
        self.peer_reading_at_us = Some(now_us);
    }

    /// Whether a peer is reading the platform, and the limit on waiting for it has not passed.
    fn is_peer_reading(&self, options: &ReaderOptions, began_us: u64, now_us: u64) -> bool {
        let until_us = began_us + PEER_READING_SPANS_MAX * options.start_spread_ms * US_PER_MS;
        let is_recent = self.peer_reading_at_us.is_some_and(|at_us| now_us < at_us + PEER_READING_VALID_US);
        is_recent && now_us < until_us
    }

    /// Whether no query has finished yet.
    pub fn is_first_query(&self) -> bool {
        !self.peer_responded && self.unreached_rounds == 0
    }

    /// Whether to keep querying peers instead of reading the platform. `first_page_read` says whether the
    /// first page was read and more follow.
    ///
    /// If no peer can be reached, the first page is read at once: it costs the platform no more than any
    /// call, and a small state has only one page. The remaining pages of a large state wait until the drawn
    /// time of this node.
    pub fn should_query_peers(
        &mut self,
        options: &ReaderOptions,
        first_page_read: bool,
        now_us: u64,
        rng: &mut impl Rng,
    ) -> bool {
        let began_us = *self.began_us.get_or_insert_with(|| {
            let scaled: f64 = rng.random::<f64>() * (SPREAD_STEPS.exp2() - 1.0);
            self.spread_share = (1.0 + scaled).log2() / SPREAD_STEPS;
            now_us
        });
        let span_divisor = if self.peer_responded { 1 } else { UNREACHED_SPAN_DIVISOR };
        let span_us = (options.start_spread_ms / span_divisor * US_PER_MS) as f64;
        let is_early = now_us < began_us + (span_us * self.spread_share) as u64;
        let is_early = is_early || self.is_peer_reading(options, began_us, now_us);
        is_early && (first_page_read || self.peer_responded || self.unreached_rounds < UNREACHED_ROUNDS_MAX)
    }
}
