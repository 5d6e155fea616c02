//! Scheduling of platform calls by nodes that are neither watchers nor standbys, so that the call rate of the
//! whole fleet has a bound independent of its size.
//!
//! Each follower draws its wait from a period proportional to the number of nodes it reaches. Whatever
//! happens to the platform or its readers, followers make about as many calls per second in a fleet of
//! hundreds as in one of dozens, and the first that gets a response reads for all. A node that reaches no
//! other counts as a fleet of one.
//!
//! Input: the number of reachable nodes, from the membership; 1 while nothing has been received for some
//! time. Tests: `tests/large_fleets.rs`.

use {super::ReaderOptions, rand::Rng};

const MS_PER_S: f64 = 1_000.0;
/// Mean pause after a failed call relative to the longest: pauses are drawn from the upper half.
const MEAN_PAUSE_SHARE: f64 = 0.75;

/// The turn of this node among those that share the calls.
#[derive(Clone, Copy, Debug)]
pub struct PollSchedule {
    /// Number of reachable nodes, including this one.
    reachable_nodes: usize,
    /// Position in the order of turns, from 0 (first) to 1; redrawn after each platform response.
    position: f64,
}

impl PollSchedule {
    /// Creates the schedule of a node that reaches no other.
    pub fn new(rng: &mut impl Rng) -> Self {
        Self { reachable_nodes: 1, position: rng.random() }
    }

    /// Sets the number of reachable nodes, including this one.
    pub fn set_reachable_nodes(&mut self, nodes: usize) {
        self.reachable_nodes = nodes.max(1);
    }

    /// Whether any other node is reachable.
    pub fn has_reachable_peers(&self) -> bool {
        self.reachable_nodes > 1
    }

    /// Draws a new position.
    pub fn draw(&mut self, rng: &mut impl Rng) {
        self.position = rng.random();
    }

    /// How long a follower waits for a relay after its lease has expired, in milliseconds.
    ///
    /// The initial polls follow each other closely, since the platform may respond to some nodes even if it
    /// responds to no reader. If it responds to none of them, it is most likely down for all.
    pub fn follower_wait_ms(&self, options: &ReaderOptions) -> u64 {
        let before = self.polls_before();
        let initial = before.min(options.initial_polls);
        let wait_s = initial / options.initial_polls_per_s + (before - initial) / options.polls_per_s;
        options.follower_wait_min_ms + (wait_s * MS_PER_S) as u64
    }

    /// Longest pause of a follower after a failed call, in milliseconds. Pauses are drawn from its upper
    /// half.
    pub fn retry_pause_max_ms(&self, options: &ReaderOptions) -> u64 {
        let mean_ms = self.reachable_nodes as f64 / options.polls_per_s * MS_PER_S;
        options.retry_others_max_ms.max((mean_ms / MEAN_PAUSE_SHARE) as u64)
    }

    /// Additional delay before a node calls the platform after peers responded that they know nothing newer,
    /// in milliseconds.
    pub fn declined_wait_ms(&self, options: &ReaderOptions) -> u64 {
        (self.polls_before() / options.initial_polls_per_s * MS_PER_S) as u64
    }

    fn polls_before(&self) -> f64 {
        self.position * self.reachable_nodes as f64
    }
}
