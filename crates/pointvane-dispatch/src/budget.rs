//! Budgets that hold for the whole fleet without agreement: each node spends a share that is safe by itself.

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
