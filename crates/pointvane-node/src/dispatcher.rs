//! State for sending requests to upstreams: routes, the upstream pool, budgets, measured times, connections,
//! probes.
//!
//! Owns this state and passes it to `pointvane-dispatch`, which makes the decisions.

use {
    crate::{
        connection_metrics::ConnectionMetrics, connections::Connections, probe_table::ProbeTable,
        quota::SharedQuotas, settings::NodeSettings,
    },
    pointvane_config::{ChoicePolicy, NodeAdmissionOptions, NodeOptions},
    pointvane_core::{
        DeltaMismatch, ErrorKind, Incarnation, Name, RouteRule, RoutingConfiguration, RoutingDelta,
    },
    pointvane_dispatch::{
        AdmissionPolicy, BudgetLimits, CallerProgress, NodeBudgets, PeerTable, PipelineLimits, Pool,
        Quarantine, QuarantineOptions, Ranking, RankingOptions, RefusedBy, RequestsByPriority, RetryBudget,
        RouteLatencies, RouteTable, RoutedRequest, RoutingLog, SearchOptions, WarmUpBound, retry_after_ms,
    },
    pointvane_mesh::rank,
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        cell::{Cell, Ref, RefCell, RefMut},
        collections::HashMap,
        rc::Rc,
    },
};

/// Rendezvous key by which a node's identity as a reporter of crashes is derived from its name.
const REPORTER_SUBJECT: &str = "reporter";

/// State that a node needs to send requests to upstreams.
#[derive(Debug)]
pub struct Dispatcher {
    /// Admission policy: when requests are refused.
    pub admission: AdmissionPolicy,
    /// Options of the search for an upstream.
    pub search: SearchOptions,
    /// Limits on reading ahead on callers' connections.
    pub pipeline: PipelineLimits,
    /// Time after the start for which requests wait until the node has its first routing state, in
    /// milliseconds.
    pub start_wait_ms: u64,
    /// Whether slow requests are hedged with a second attempt.
    pub hedges: bool,
    /// Pooled connections to upstreams.
    pub connections: Connections,
    /// Probes in progress.
    pub probes: ProbeTable,
    /// Quotas of client accounts.
    pub quotas: SharedQuotas,
    quarantine: RefCell<Quarantine>,
    routes: RefCell<Rc<RouteTable>>,
    routing_log: RefCell<RoutingLog>,
    pool: RefCell<Pool>,
    budgets: RefCell<NodeBudgets>,
    route_latencies: RefCell<HashMap<Name, RouteLatencies>>,
    caller_progress: RefCell<HashMap<Name, CallerProgress>>,
    priorities: RefCell<HashMap<Name, RequestsByPriority>>,
    peers: RefCell<PeerTable>,
    /// The newest configuration by which another node handled a request of this node.
    peer_version: Cell<u64>,
    rng: RefCell<SmallRng>,
}

impl Dispatcher {
    /// Creates the state of a node that knows no routes and no upstreams.
    pub fn new(
        options: &NodeOptions,
        node: &NodeSettings,
        connections: ConnectionMetrics,
        incarnation: Incarnation,
        seeder: &mut SmallRng,
        now_us: u64,
    ) -> Self {
        let NodeAdmissionOptions { target_share, rank_step } = options.admission;
        let policy = options.choice.policy;
        Self {
            admission: AdmissionPolicy { target_share, rank_step },
            search: search_options(options),
            pipeline: pipeline_limits(options),
            start_wait_ms: options.callers.start_wait_ms,
            hedges: options.repeats.hedge,
            connections: Connections::new(options.fleet.source_ip, connections),
            probes: ProbeTable::default(),
            quotas: SharedQuotas::new(&node.limits, now_us),
            quarantine: RefCell::new(quarantine(options, &node.name, incarnation)),
            routes: RefCell::default(),
            routing_log: RefCell::default(),
            pool: RefCell::new(pool(policy, node, seeder.random())),
            budgets: RefCell::new(NodeBudgets::new(now_us)),
            route_latencies: RefCell::default(),
            caller_progress: RefCell::default(),
            priorities: RefCell::default(),
            peers: RefCell::default(),
            peer_version: Cell::default(),
            rng: RefCell::new(SmallRng::from_rng(seeder)),
        }
    }

    /// The active configuration.
    pub fn routes(&self) -> Rc<RouteTable> {
        Rc::clone(&self.routes.borrow())
    }

    /// Activates a configuration if it is newer than the active one; returns whether it was.
    pub fn accept_configuration(&self, configuration: RoutingConfiguration) -> bool {
        let previous = self.routes();
        let is_newer = configuration.version > previous.version();
        if is_newer {
            self.routing_log.borrow_mut().add_replacement(&previous.configuration(), &configuration);
            self.activate(configuration);
        }
        is_newer
    }

    /// Applies deltas to the active configuration and activates the result.
    ///
    /// # Errors
    /// When the deltas do not follow on the active configuration, which then stays active.
    pub fn accept_deltas(&self, deltas: Vec<RoutingDelta>) -> Result<(), DeltaMismatch> {
        let base = self.routes().configuration();
        let configuration = RoutingDelta::apply(&deltas, base)?;
        self.activate(configuration);
        let mut log = self.routing_log.borrow_mut();
        deltas.into_iter().for_each(|delta| log.add(delta));
        Ok(())
    }

    fn activate(&self, configuration: RoutingConfiguration) {
        let routes = RouteTable::new(configuration);
        self.pool.borrow_mut().set_warm_up_rates(routes.cold_rates_per_s());
        self.routes.replace(Rc::new(routes));
    }

    /// Deltas from a version to the active configuration; none if the log does not reach back to it.
    pub fn configuration_since(&self, version: u64) -> Option<Vec<RoutingDelta>> {
        self.routing_log.borrow().since(version)
    }

    /// Finds the route of a request and draws its service at random by the weights of the route.
    pub fn route(&self, host: &str, path: &str) -> Option<RoutedRequest> {
        self.routes.borrow().route(host, path, &mut self.rng.borrow_mut())
    }

    /// The pool of upstreams.
    pub fn pool(&self) -> Ref<'_, Pool> {
        self.pool.borrow()
    }

    /// The pool of upstreams, mutably.
    pub fn pool_mut(&self) -> RefMut<'_, Pool> {
        self.pool.borrow_mut()
    }

    /// Experience with the nodes that requests are forwarded to.
    pub fn peers_mut(&self) -> RefMut<'_, PeerTable> {
        self.peers.borrow_mut()
    }

    /// Records the version of the configuration by which another node handled a request of this node.
    pub fn record_peer_version(&self, version: u64) {
        self.peer_version.set(self.peer_version.get().max(version));
    }

    /// The newest configuration by which another node handled a request of this node; 0 if there is none.
    /// Later requests must not be handled by an older one, or callers would see a change undone.
    pub fn peer_version(&self) -> u64 {
        self.peer_version.get()
    }

    /// Requests that crash upstreams.
    pub fn quarantine(&self) -> RefMut<'_, Quarantine> {
        self.quarantine.borrow_mut()
    }

    /// The measured times of a route.
    pub fn route_latencies(&self, route: &RouteRule) -> RefMut<'_, RouteLatencies> {
        RefMut::map(self.route_latencies.borrow_mut(), |times| {
            times.entry(route.name.clone()).or_insert_with(|| RouteLatencies::new(route))
        })
    }

    /// The times that callers of a route state.
    pub fn caller_progress(&self, route: &Name) -> RefMut<'_, CallerProgress> {
        RefMut::map(self.caller_progress.borrow_mut(), |progress| progress.entry(route.clone()).or_default())
    }

    /// The recent requests of a service, by priority.
    pub fn priorities(&self, service: &Name) -> RefMut<'_, RequestsByPriority> {
        RefMut::map(self.priorities.borrow_mut(), |priorities| priorities.entry(service.clone()).or_default())
    }

    /// This node's share of a service's retry budget.
    pub fn retry_budget(&self, service: &Name, limits: &BudgetLimits) -> RefMut<'_, RetryBudget> {
        RefMut::map(self.budgets.borrow_mut(), |budgets| budgets.retry_budget(service, limits))
    }

    /// Takes a token of the probe budget; false if it is spent.
    pub fn take_probe(&self, now_us: u64) -> bool {
        self.budgets.borrow_mut().take_probe(now_us)
    }

    /// Divides the fleet's budgets, and the request rate that cold upstreams may get, by the number of nodes.
    pub fn share_budgets(&self, nodes: usize, limits: &BudgetLimits, warm_up: WarmUpBound, now_us: u64) {
        let upstreams = self.pool.borrow().len();
        let mut budgets = self.budgets.borrow_mut();
        budgets.set_fleet_size(nodes, upstreams, limits, now_us);
        self.pool.borrow_mut().set_warm_up_bound(warm_up, budgets.nodes(), now_us);
    }

    /// A uniformly random number from 0 to 1.
    pub fn draw(&self) -> f32 {
        self.rng.borrow_mut().random()
    }

    /// Time after which a caller whose request was refused with `error` should retry, in milliseconds; none
    /// for the default time.
    pub fn retry_after_ms(
        &self,
        route: &RouteRule,
        error: ErrorKind,
        by: RefusedBy,
        back_in_ms: Option<u64>,
    ) -> Option<u32> {
        let draw = self.rng.borrow_mut().random::<f64>();
        retry_after_ms(route, error, by, back_in_ms, draw)
    }
}

fn search_options(options: &NodeOptions) -> SearchOptions {
    SearchOptions {
        probes: options.choice.policy == ChoicePolicy::ProbeLoad,
        first_round: options.choice.ask_first,
        second_round: options.choice.ask_more,
    }
}

fn pipeline_limits(options: &NodeOptions) -> PipelineLimits {
    PipelineLimits {
        requests_max: options.callers.pipeline_requests,
        bytes_max: options.callers.pipeline_bytes,
    }
}

fn pool(policy: ChoicePolicy, node: &NodeSettings, seed: u64) -> Pool {
    let mut pool = Pool::new(ranking_options(policy), node.data_centre.clone(), seed);
    pool.set_regions(node.regions.clone());
    pool
}

fn ranking_options(policy: ChoicePolicy) -> RankingOptions {
    let ranking = match policy {
        ChoicePolicy::ProbeLoad => Ranking::Cost,
        ChoicePolicy::LeastOwnRequests => Ranking::InFlight,
        ChoicePolicy::Random => Ranking::Random,
    };
    RankingOptions { ranking, ..RankingOptions::default() }
}

/// Creates a quarantine without records.
fn quarantine(options: &NodeOptions, node: &Name, incarnation: Incarnation) -> Quarantine {
    let options = QuarantineOptions {
        after_crashes: options.quarantine.after_crashes,
        hold_ms: options.quarantine.hold_ms,
    };
    Quarantine::new(options, rank(REPORTER_SUBJECT, node), incarnation.0)
}
