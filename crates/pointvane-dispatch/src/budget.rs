//! Budgets that hold for the whole fleet without agreement: each node spends a share that is safe by itself.

use pointvane_balance::TokenBucket;

/// Rules of the fleet's budget of repeated attempts at one service.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudgetOptions {
    /// Repeats that a window allows for each of its requests.
    pub ratio: f64,
    /// Repeats that a window allows besides, for the whole fleet.
    pub slack: f64,
    /// Part of the ratio that is used; the rest is kept against requests that arrive unevenly.
    pub ratio_used: f64,
    /// Part of the slack that is used.
    pub slack_used: f64,
}

impl Default for RetryBudgetOptions {
    fn default() -> Self {
        Self { ratio: 0.1, slack: 10.0, ratio_used: 0.8, slack_used: 0.7 }
    }
}

/// A node's share of the budget of repeats at one service.
///
/// Within a window all nodes together spend at most what they earn in it and what they had saved before it. Savings
/// are bounded by the slack divided among the nodes, so the fleet's bound holds in every partition.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    options: RetryBudgetOptions,
    tokens: f64,
    tokens_max: f64,
}

impl RetryBudget {
    /// An empty budget of one of `nodes` nodes.
    pub fn new(options: RetryBudgetOptions, nodes: usize) -> Self {
        let mut budget = Self { options, tokens: 0.0, tokens_max: 0.0 };
        budget.set_nodes(nodes);
        budget
    }

    /// Takes the most nodes that may spend at once.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.tokens_max = self.options.slack * self.options.slack_used / nodes.max(1) as f64;
        self.tokens = self.tokens.min(self.tokens_max);
    }

    /// Notes a request's first attempt.
    pub fn earn(&mut self) {
        let earned = self.options.ratio * self.options.ratio_used;
        self.tokens = (self.tokens + earned).min(self.tokens_max.max(1.0));
    }

    /// Takes the price of one repeat, if it is there.
    pub fn take(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}

/// Part of the fleet's budget of probes that is used.
///
/// With the savings, the budget is kept over each [`PROBE_WINDOW_S`].
const PROBES_USED: f64 = 0.9;
/// Seconds of probes that may be saved up.
const PROBES_SAVED_S: f64 = 3.0;
/// Seconds over which the budget of probes is kept.
pub const PROBE_WINDOW_S: f64 = 30.0;

/// A node's share of the fleet's budget of probes.
///
/// It begins with its savings: nothing was asked while the node was not there, and after a start everything has to be
/// asked.
#[derive(Clone, Debug)]
pub struct ProbeBudget {
    bucket: TokenBucket,
    begun: bool,
}

impl ProbeBudget {
    /// A share of nothing, until [`Self::set`] tells of what.
    pub fn new(now_us: u64) -> Self {
        Self { bucket: TokenBucket::empty(0.0, 0.0, now_us), begun: false }
    }

    /// Takes the probes that each of so many upstreams may get a second, and the nodes that share them.
    pub fn set(&mut self, per_upstream_per_s: f64, upstreams: usize, nodes: usize, now_us: u64) {
        let rate_per_s = per_upstream_per_s * PROBES_USED * upstreams as f64 / nodes.max(1) as f64;
        let saved_max = rate_per_s * PROBES_SAVED_S;
        self.bucket.set(rate_per_s, saved_max, now_us);
        if !self.begun && upstreams > 0 {
            self.begun = true;
            self.bucket.earn(saved_max);
        }
    }

    /// Takes the price of one probe, if it is there.
    pub fn take(&mut self, now_us: u64) -> bool {
        self.bucket.take(1.0, now_us)
    }
}
