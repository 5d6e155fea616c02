//! Turns: when nodes that are no readers call the platform, so that the calls of the whole fleet have a bound that does not grow with it.
//!
//! Each follower draws its wait from a span that grows with the nodes that it reaches. So whatever befalls the platform or its
//! readers, followers make about as many calls a second in a fleet of hundreds as in one of dozens, and whoever is answered first
//! reads on for all. A node that reaches no other counts as a fleet of one, and calls by itself.
//! Input: the count of reached nodes, from the membership; while nothing was received for a while it is 1.
//! Tests: `tests/large_fleets.rs`.

use {super::ReaderOptions, rand::Rng};

/// Milliseconds in a second.
const MS_PER_S: f64 = 1_000.0;
/// Mean pause after a failed call as a share of the longest: it is drawn from the upper half.
const MEAN_PAUSE: f64 = 0.75;

/// This node's turn among those that share the calls.
#[derive(Clone, Copy, Debug)]
pub struct Turns {
    /// Nodes that are reached, this one included.
    nodes: usize,
    /// This node's position in the order of turns, from 0 for the first to 1; drawn anew after each answer.
    position: f64,
}

impl Turns {
    /// The turn of a node that reaches no other.
    pub fn new(rng: &mut impl Rng) -> Self {
        Self { nodes: 1, position: rng.random() }
    }

    /// Takes the count of nodes that are reached, this one included.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.nodes = nodes.max(1);
    }

    /// Whether any other node is reached.
    pub fn reaches_others(&self) -> bool {
        self.nodes > 1
    }

    /// Draws another position.
    pub fn draw(&mut self, rng: &mut impl Rng) {
        self.position = rng.random();
    }

    /// How long a follower waits for a reader's relay after its lease, in milliseconds.
    ///
    /// The first turns follow each other soon, since the platform may answer some nodes though it answers no reader. If it answers none
    /// of them, it answers nobody.
    pub fn follower_wait_ms(&self, options: &ReaderOptions) -> u64 {
        let before = self.turns_before();
        let first = before.min(options.first_turns);
        let wait_s = first / options.first_turns_per_s + (before - first) / options.turns_per_s;
        options.follower_wait_min_ms + (wait_s * MS_PER_S) as u64
    }

    /// Longest pause of a follower after a failed call, in milliseconds. Pauses are drawn from its upper half.
    pub fn retry_pause_max_ms(&self, options: &ReaderOptions) -> u64 {
        let mean_ms = self.nodes as f64 / options.turns_per_s * MS_PER_S;
        options.retry_others_max_ms.max((mean_ms / MEAN_PAUSE) as u64)
    }

    /// How much longer a node leaves the platform alone whom peers answer, though they know no more, in milliseconds.
    pub fn declined_wait_ms(&self, options: &ReaderOptions) -> u64 {
        (self.turns_before() / options.first_turns_per_s * MS_PER_S) as u64
    }

    fn turns_before(&self) -> f64 {
        self.position * self.nodes as f64
    }
}
