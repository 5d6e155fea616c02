//! This node's shares of the fleet's budgets.

use {
    crate::{node::Node, settings::NodeLimits},
    pointvane_core::{Name, PlatformAdapter, VmState},
    pointvane_dispatch::{ProbeBudget, RetryBudget, RetryBudgetOptions},
    std::collections::HashMap,
};

/// Nodes that budgets are divided among at least, while a node has not met the others yet.
const NODES_MIN: usize = 20;
/// This node's shares of the fleet's budgets.
#[derive(Debug)]
pub struct Budgets {
    probes: ProbeBudget,
    repeats: HashMap<Name, RetryBudget>,
    /// The most nodes that were ever seen at once.
    nodes: usize,
}

impl Budgets {
    /// Empty shares.
    pub fn new(now_us: u64) -> Self {
        Self { probes: ProbeBudget::new(now_us), repeats: HashMap::new(), nodes: NODES_MIN }
    }

    fn divide(&mut self, nodes: usize, upstreams: usize, limits: &NodeLimits, now_us: u64) {
        self.nodes = self.nodes.max(nodes);
        self.probes.set(limits.probes_per_s, upstreams, self.nodes, now_us);
        self.repeats.values_mut().for_each(|budget| budget.set_nodes(self.nodes));
    }

    fn repeats(&mut self, service: &Name, limits: &NodeLimits) -> &mut RetryBudget {
        let nodes = self.nodes;
        self.repeats.entry(service.clone()).or_insert_with(|| {
            let (ratio, slack) = (limits.retry_ratio, limits.retry_slack);
            RetryBudget::new(RetryBudgetOptions { ratio, slack, ..RetryBudgetOptions::default() }, nodes)
        })
    }
}

impl<A: PlatformAdapter> Node<A> {
    /// Divides the fleet's budgets anew among the nodes that were ever seen at once.
    pub fn share_budgets(&self) {
        let nodes = self.membership.borrow().rows().filter(|row| row.state != VmState::Dead).count();
        let upstreams = self.pool.borrow().len();
        self.budgets.borrow_mut().divide(nodes, upstreams, &self.settings.borrow().limits, self.now_us());
    }

    /// Takes the price of one probe, if it is there.
    pub fn take_probe(&self) -> bool {
        self.budgets.borrow_mut().probes.take(self.now_us())
    }

    /// Notes a request's first attempt at a service.
    pub fn earn_retry(&self, service: &Name) {
        self.budgets.borrow_mut().repeats(service, &self.settings.borrow().limits).earn();
    }

    /// Takes the price of one repeated attempt at a service, if it is there.
    pub fn take_retry(&self, service: &Name) -> bool {
        self.budgets.borrow_mut().repeats(service, &self.settings.borrow().limits).take()
    }
}
