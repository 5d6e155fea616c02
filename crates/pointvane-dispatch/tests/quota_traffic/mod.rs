//! Simulation of the quota messages of a fleet with many accounts: the number and size of the datagrams of
//! each node, and the time that it spends on them. Nodes exchange messages as `quota_loop.rs` of
//! `pointvane-node` does. The clock is simulated and randomness is seeded. The time spent is measured, so it
//! depends on the machine and its load.

mod exchange;
mod fleet;
mod workload;

pub use {
    exchange::Kind,
    workload::{Overload, Workload},
};

use {
    exchange::InFlight,
    fleet::Fleet,
    pointvane_dispatch::{FleetView, QuotaDecision, Quotas},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{mem, time::Duration},
    workload::Accounts,
};

/// One second, in microseconds.
pub const S: u64 = 1_000_000;
/// Window of the quotas.
const WINDOW_US: u64 = 5 * S;
/// Time at which requests begin: by then nodes have run for longer than a window.
const LOAD_START_US: u64 = 10 * S;
/// Time step of the simulation. Wake-ups of a node within a step count as one.
const STEP_US: u64 = 1_000;
/// Number of steps between two ticks of a node.
const STEPS_PER_TICK: usize = 100;

/// Datagrams and their bytes, IP and UDP headers included.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub datagrams: u64,
    pub bytes: u64,
}

impl Traffic {
    fn record(&mut self, bytes: usize) {
        self.datagrams += 1;
        self.bytes += bytes as u64;
    }
}

/// Cost of the quota messages at one node during the measured time.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeCost {
    /// Datagrams sent, including lost ones.
    pub sent: Traffic,
    pub received: Traffic,
    /// Measured time spent in `Quotas` on reports, shares and heartbeats, without decisions on requests.
    pub busy: Duration,
}

/// Number of kinds of datagrams.
pub const KINDS: usize = 4;

/// Result of a run.
#[derive(Clone, Debug)]
pub struct RunResult {
    pub nodes: Vec<NodeCost>,
    /// Datagrams sent by all nodes, by [`Kind`].
    pub sent_by_kind: [Traffic; KINDS],
    /// Messages dropped since they exceed the size of a datagram.
    pub oversized: u64,
    /// Requests of accounts below their quota during the measured time, and those of them that were refused.
    pub below_quota: u64,
    pub refused_below_quota: u64,
}

struct Simulation {
    fleet: Fleet,
    accounts: Accounts,
    quotas: Vec<Quotas>,
    /// Nodes that have to check for due reports at the end of the step.
    woken: Vec<bool>,
    in_flight: InFlight,
    /// Fraction of a request that is due.
    requests_due: f64,
    is_measured: bool,
    now_us: u64,
    rng: SmallRng,
    result: RunResult,
}

/// Simulates a workload with a seed.
pub fn run(workload: &Workload, seed: u64) -> RunResult {
    let nodes = workload.nodes;
    let mut simulation = Simulation {
        fleet: Fleet::new(nodes),
        accounts: Accounts::new(workload),
        quotas: vec![Quotas::new(WINDOW_US, 0); nodes],
        woken: vec![false; nodes],
        in_flight: InFlight::default(),
        requests_due: 0.0,
        is_measured: false,
        now_us: LOAD_START_US,
        rng: SmallRng::seed_from_u64(seed),
        result: RunResult {
            nodes: vec![NodeCost::default(); nodes],
            sent_by_kind: Default::default(),
            oversized: 0,
            below_quota: 0,
            refused_below_quota: 0,
        },
    };
    simulation.fleet.choose_coordinators(&simulation.accounts);
    let measured_from_us = LOAD_START_US + workload.warm_up_us;
    while simulation.now_us < measured_from_us + workload.measured_us {
        simulation.is_measured = simulation.now_us >= measured_from_us;
        simulation.step();
        simulation.now_us += STEP_US;
    }
    simulation.result
}

impl Simulation {
    fn step(&mut self) {
        self.deliver();
        let first = (self.now_us / STEP_US) as usize % STEPS_PER_TICK;
        for node in (first..self.quotas.len()).step_by(STEPS_PER_TICK) {
            self.tick(node);
        }
        self.requests_due += self.accounts.demand_per_s() * STEP_US as f64 / S as f64;
        while self.requests_due >= 1.0 {
            self.requests_due -= 1.0;
            self.request();
        }
        for node in 0..self.quotas.len() {
            if mem::take(&mut self.woken[node]) {
                self.wake(node);
            }
        }
    }

    /// Offers one request of a random account at a random node.
    fn request(&mut self) {
        let account = &self.accounts.choose(&mut self.rng);
        let node = self.rng.random_range(0..self.quotas.len());
        let (fleet_view, draw) = (self.fleet_view(), self.rng.random());
        let quotas = &mut self.quotas[node];
        let decision = quotas.admit(&account.name, account.quota, fleet_view, self.now_us, draw);
        self.woken[node] |= quotas.has_unreported_account();
        if self.is_measured && !account.is_over_quota {
            self.result.below_quota += 1;
            self.result.refused_below_quota += u64::from(decision != QuotaDecision::Admitted);
        }
    }

    fn fleet_view(&self) -> FleetView {
        FleetView { connected: true, nodes: Some(self.quotas.len()), reachable_share: 1.0 }
    }
}
