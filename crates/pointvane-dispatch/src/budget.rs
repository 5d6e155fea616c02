//! Budgets of retries and probes that hold for the whole fleet without agreement: each node spends a share that is safe
//! by itself.
//!
//! Inputs: the limits of the deployment, the number of upstreams, and the most nodes that this node has ever seen at
//! once (at least [`NODES_MIN`], while it has not met the others). A node that sees too few others, as in a partition, thus
//! does not spend more than before. Tests: `the_fleet_never_repeats_more_than_its_budget`,
//! `a_fleet_that_starts_with_its_savings_keeps_the_budget_of_probes_over_each_window`.

use {
    pointvane_core::{Name, TokenBucket},
    std::collections::HashMap,
};

/// Nodes among which budgets are divided at least. Not measured.
const NODES_MIN: usize = 20;

/// Limits of the deployment, for the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetLimits {
    /// Retries allowed for each request of a service.
    pub retry_ratio: f64,
    /// Retries allowed besides.
    pub retry_slack: f64,
    /// Probes that one upstream may get each second.
    pub probes_per_upstream_per_s: f64,
}

/// A node's shares of all budgets.
#[derive(Debug)]
pub struct NodeBudgets {
    probes: ProbeBudget,
    retries: HashMap<Name, RetryBudget>,
    /// The most nodes that were ever seen at once.
    nodes: usize,
}

impl NodeBudgets {
    /// Empty shares.
    pub fn new(now_us: u64) -> Self {
        Self { probes: ProbeBudget::new(now_us), retries: HashMap::new(), nodes: NODES_MIN }
    }

    /// Divides the budgets anew among the nodes that are seen now, or were seen before.
    pub fn divide(&mut self, nodes: usize, upstreams: usize, limits: &BudgetLimits, now_us: u64) {
        self.nodes = self.nodes.max(nodes);
        self.probes.set(limits.probes_per_upstream_per_s, upstreams, self.nodes, now_us);
        self.retries.values_mut().for_each(|budget| budget.set_nodes(self.nodes));
    }

    /// The most nodes that were ever seen at once, at least [`NODES_MIN`].
    pub fn nodes(&self) -> usize {
        self.nodes
    }

    /// The share of the retry budget of a service.
    pub fn retries(&mut self, service: &Name, limits: &BudgetLimits) -> &mut RetryBudget {
        let nodes = self.nodes;
        self.retries.entry(service.clone()).or_insert_with(|| {
            let (ratio, slack) = (limits.retry_ratio, limits.retry_slack);
            RetryBudget::new(RetryBudgetOptions { ratio, slack, ..RetryBudgetOptions::default() }, nodes)
        })
    }

    /// Takes a token for one probe, if there is one.
    pub fn take_probe(&mut self, now_us: u64) -> bool {
        self.probes.take(now_us)
    }
}

/// The fleet's retry budget of one service.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudgetOptions {
    /// Retries that a window allows for each of its requests.
    pub ratio: f64,
    /// Retries that a window allows besides, for the whole fleet.
    pub slack: f64,
    /// Part of the ratio that is used; the rest covers requests that arrive unevenly.
    ///
    /// With 0.8, and 0.7 of the slack, 472 nodes made 5,695 retries on a day whose upstreams reject half of what they have room for, so 7,745:
    /// 0.030 and 0.026 of the requests were refused in the end.
    pub ratio_used: f64,
    /// Part of the slack that is used: what all nodes may have saved, whatever they spend at once. Measured together with the ratio's.
    pub slack_used: f64,
}

impl Default for RetryBudgetOptions {
    fn default() -> Self {
        Self { ratio: 0.1, slack: 10.0, ratio_used: 0.9, slack_used: 0.9 }
    }
}

/// A node's share of the retry budget of one service.
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

    /// Sets the most nodes that may spend at once.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.tokens_max = self.options.slack * self.options.slack_used / nodes.max(1) as f64;
        self.tokens = self.tokens.min(self.tokens_max);
    }

    /// Earns what one request brings, at its first attempt.
    pub fn earn(&mut self) {
        let earned = self.options.ratio * self.options.ratio_used;
        self.tokens = (self.tokens + earned).min(self.tokens_max.max(1.0));
    }

    /// Takes a token for one retry or hedge, if there is one.
    pub fn take(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }

    /// Takes back a token whose retry or hedge was not sent.
    pub fn give_back(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.tokens_max.max(1.0));
    }
}

/// Part of the fleet's probe budget that is used; with the savings, the budget is kept over each [`PROBE_WINDOW_S`].
///
/// With the savings at the start it gave 0.628 on Heatline's four days, 0.614 before (docs/MEASUREMENTS.md).
const PROBES_USED: f64 = 0.9;
/// Seconds of probes that may be saved up. Measured together with [`PROBES_USED`].
const PROBES_SAVED_S: f64 = 3.0;
/// Seconds over which the probe budget is kept: 0.9 of them used and 3 saved fill 30.
pub const PROBE_WINDOW_S: f64 = 30.0;

/// A node's share of the fleet's probe budget.
///
/// It begins with its savings: the node sent no probes while it was not there, and after a start it knows no load.
#[derive(Clone, Debug)]
pub struct ProbeBudget {
    bucket: TokenBucket,
    started: bool,
}

impl ProbeBudget {
    /// An empty share, until [`Self::set`].
    pub fn new(now_us: u64) -> Self {
        Self { bucket: TokenBucket::empty(0.0, 0.0, now_us), started: false }
    }

    /// Sets the probes that each upstream may get a second, the number of upstreams and of nodes that share them.
    pub fn set(&mut self, per_upstream_per_s: f64, upstreams: usize, nodes: usize, now_us: u64) {
        let rate_per_s = per_upstream_per_s * PROBES_USED * upstreams as f64 / nodes.max(1) as f64;
        let saved_max = rate_per_s * PROBES_SAVED_S;
        self.bucket.set(rate_per_s, saved_max, now_us);
        if !self.started && upstreams > 0 {
            self.started = true;
            self.bucket.earn(saved_max);
        }
    }

    /// Takes a token for one probe, if there is one.
    pub fn take(&mut self, now_us: u64) -> bool {
        self.bucket.take(1.0, now_us)
    }
}
