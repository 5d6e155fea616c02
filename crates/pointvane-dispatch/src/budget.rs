//! Fleet-wide budgets of retries and probes that need no coordination: each node spends a share that is safe
//! on its own.
//!
//! Inputs: the deployment's limits, the number of upstreams, and the largest number of nodes that this node
//! has ever seen at once (at least [`NODES_MIN`], as long as it has not discovered the others). A node that
//! sees too few others, as in a network partition, thus does not spend more than before. Tests:
//! `the_fleet_never_retries_more_than_its_budget`,
//! `a_fleet_starting_with_saved_probes_stays_within_its_probe_budget_in_every_window`.

use {
    pointvane_core::{Name, TokenBucket},
    std::collections::HashMap,
};

/// Minimum number of nodes among which the budgets are divided.
const NODES_MIN: usize = 20;

/// Limits of the deployment, for the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Retries allowed for each request of a service.
    pub retry_ratio: f64,
    /// Retries allowed in addition to that ratio.
    pub retry_slack: f64,
    /// Probes that each upstream may get per second.
    pub probes_per_upstream_per_s: f64,
}

/// A node's shares of all budgets.
#[derive(Debug)]
pub struct NodeBudgets {
    probes: ProbeBudget,
    retry_budgets: HashMap<Name, RetryBudget>,
    /// Largest number of nodes ever seen at once, at least [`NODES_MIN`].
    nodes: usize,
}

impl NodeBudgets {
    /// Creates empty shares; `now_us` is the monotonic clock, in microseconds.
    pub fn new(now_us: u64) -> Self {
        Self { probes: ProbeBudget::new(now_us), retry_budgets: HashMap::new(), nodes: NODES_MIN }
    }

    /// Recomputes the shares for the number of nodes visible now or the largest seen before, whichever is
    /// greater. `now_us` is the monotonic clock, in microseconds.
    pub fn set_fleet_size(&mut self, nodes: usize, upstreams: usize, limits: &BudgetLimits, now_us: u64) {
        self.nodes = self.nodes.max(nodes);
        self.probes.set(limits.probes_per_upstream_per_s, upstreams, self.nodes, now_us);
        self.retry_budgets.values_mut().for_each(|budget| budget.set_nodes(self.nodes));
    }

    /// The largest number of nodes ever seen at once, at least `NODES_MIN`.
    pub fn nodes(&self) -> usize {
        self.nodes
    }

    /// This node's share of the retry budget of a service.
    pub fn retry_budget(&mut self, service: &Name, limits: &BudgetLimits) -> &mut RetryBudget {
        let nodes = self.nodes;
        self.retry_budgets.entry(service.clone()).or_insert_with(|| {
            let (ratio, slack) = (limits.retry_ratio, limits.retry_slack);
            RetryBudget::new(RetryBudgetOptions { ratio, slack, ..RetryBudgetOptions::default() }, nodes)
        })
    }

    /// Takes a token for one probe; returns whether there was one.
    pub fn take_probe(&mut self, now_us: u64) -> bool {
        self.probes.take(now_us)
    }
}

/// The fleet's retry budget of one service.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudgetOptions {
    /// Retries allowed in a window for each of its requests.
    pub ratio: f64,
    /// Retries allowed in a window in addition to that ratio, for the whole fleet.
    pub slack: f64,
    /// Share of the ratio that is used; the rest covers requests that arrive unevenly.
    ///
    /// With upstreams that reject half of the requests they have free slots for, 472 nodes made 7,745 retries
    /// and refused 0.026 of the requests in the end; with 0.8 of the ratio and 0.7 of the slack, 5,695
    /// retries and 0.030.
    pub ratio_used: f64,
    /// Share of the slack that is used: the most that all nodes together may have saved, however suddenly
    /// they spend it. See [`Self::ratio_used`] for the effect of smaller shares.
    pub slack_used: f64,
}

impl Default for RetryBudgetOptions {
    fn default() -> Self {
        Self { ratio: 0.1, slack: 10.0, ratio_used: 0.9, slack_used: 0.9 }
    }
}

/// A node's share of the retry budget of one service.
///
/// Within a window all nodes together spend at most what they earn in it and what they had saved before.
/// Savings are bounded by the slack divided by the number of nodes, so the fleet-wide limit also holds in
/// every network partition.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    options: RetryBudgetOptions,
    tokens: f64,
    tokens_max: f64,
}

impl RetryBudget {
    /// Creates the empty budget of one of `nodes` nodes.
    pub fn new(options: RetryBudgetOptions, nodes: usize) -> Self {
        let mut budget = Self { options, tokens: 0.0, tokens_max: 0.0 };
        budget.set_nodes(nodes);
        budget
    }

    /// Sets the largest number of nodes that may spend at the same time.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.tokens_max = self.options.slack * self.options.slack_used / nodes.max(1) as f64;
        self.tokens = self.tokens.min(self.tokens_max);
    }

    /// Adds the share of a token that one request earns. To be called at its first attempt.
    pub fn deposit(&mut self) {
        let earned = self.options.ratio * self.options.ratio_used;
        self.tokens = (self.tokens + earned).min(self.tokens_max.max(1.0));
    }

    /// Takes a token for one retry or hedge; returns whether there was one.
    pub fn take(&mut self) -> bool {
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Refunds the token of a retry or hedge that was not sent.
    pub fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.tokens_max.max(1.0));
    }
}

/// Share of the fleet's probe budget that is used; with the burst, the budget holds over each
/// [`PROBE_WINDOW_S`].
const PROBE_RATE_USED_SHARE: f64 = 0.9;
/// Probes that may be saved up for a burst, in seconds of the rate used.
const PROBE_BURST_S: f64 = 3.0;
/// Window over which the probe budget holds, in seconds: 0.9 of 30 s at the sustained rate and a burst of 3 s
/// add up to 30 s.
pub const PROBE_WINDOW_S: f64 = 30.0;

/// A node's share of the fleet's probe budget.
///
/// It starts with a full burst: the node sent no probes before its start, and it knows no upstream's load
/// yet.
#[derive(Clone, Debug)]
pub struct ProbeBudget {
    bucket: TokenBucket,
    started: bool,
}

impl ProbeBudget {
    /// Creates an empty share; [`Self::set`] fills it.
    pub fn new(now_us: u64) -> Self {
        Self { bucket: TokenBucket::empty(0.0, 0.0, now_us), started: false }
    }

    /// Sets the probes that each upstream may get per second, the number of upstreams, and the number of
    /// nodes that share them.
    pub fn set(&mut self, per_upstream_per_s: f64, upstreams: usize, nodes: usize, now_us: u64) {
        let rate_per_s = per_upstream_per_s * PROBE_RATE_USED_SHARE * upstreams as f64 / nodes.max(1) as f64;
        let burst = rate_per_s * PROBE_BURST_S;
        self.bucket.set(rate_per_s, burst, now_us);
        if !self.started && upstreams > 0 {
            self.started = true;
            self.bucket.deposit(burst);
        }
    }

    /// Takes a token for one probe; returns whether there was one.
    pub fn take(&mut self, now_us: u64) -> bool {
        self.bucket.try_take(1.0, now_us)
    }
}
