//! Startup: for how long a node that knows nothing queries peers before it reads the platform itself.
//!
//! When all nodes start at once, a few read and the others get it from each other, a whole state being passed on by each node
//! that has it. How many nodes start is known to none. So each draws the moment at which it reads by itself, few early and
//! twice as many in each further step: where the state spreads, most have it before their moment comes, and where it does not,
//! nobody waits for longer than the whole time. Where no peer can be reached a node reads soon.
//! Input: whether queries reach peers. Tests: `tests/large_fleets.rs`.

use {super::ReaderOptions, pointvane_core::US_PER_MS, rand::Rng};

/// Steps of the time, in each of which twice as many nodes read as in the one before.
///
/// With 8 steps in 1.6 s, fleets of 472 and 1,800 nodes made 213 and 975 calls where a read takes 0.75 s; with 12 in 2 s 39 and 147
/// (simulated fleet, `tests/large_fleets.rs`).
const STEPS: f64 = 12.0;

/// First queries that reached no peer after which the platform is read: the nodes that all know from the start are not there, so nothing
/// spreads.
///
/// When 18 nodes had lost power and came back one after the other within 0.4 s, the first knew something 0.35 s after its start, in
/// place of 0.05 s, while it went on querying those that had not started.
/// In a fleet of 472 hundreds of nodes read at once after a loss of power by this rule, which fills the platform's link: callers got 0.59
/// of their worth in the worst windows, 0.66 without it (one play each). Not settled.
const UNREACHED_MAX: u32 = 2;

/// When a node that knows nothing reads the platform itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct Startup {
    /// Drawn at the first question.
    read_at_us: Option<u64>,
    /// Queries that reached no peer.
    unreached: u32,
    /// Whether a peer has answered, so that nodes can be reached.
    reached: bool,
}

impl Startup {
    /// Takes note of a query that reached no peer.
    pub fn reached_none(&mut self) {
        self.unreached += 1;
    }

    /// Takes note of a peer that answered, though it knows no more.
    pub fn reached_one(&mut self) {
        self.reached = true;
    }

    /// Whether no query has ended yet.
    pub fn is_first(&self) -> bool {
        !self.reached && self.unreached == 0
    }

    /// Whether peers are still queried, rather than the platform read.
    pub fn queries_peers(&mut self, options: &ReaderOptions, now_us: u64, rng: &mut impl Rng) -> bool {
        let read_at_us = *self.read_at_us.get_or_insert_with(|| {
            let span_us = (options.start_spread_ms * US_PER_MS) as f64;
            let doubled: f64 = rng.random::<f64>() * (STEPS.exp2() - 1.0);
            now_us + (span_us * (1.0 + doubled).log2() / STEPS) as u64
        });
        now_us < read_at_us && (self.reached || self.unreached < UNREACHED_MAX)
    }
}
