//! The state that all parts of a node share; one thread uses it.

use {
    crate::{connections::Connections, probe::Probes, report::Report, settings::NodeSettings, stop::Stage},
    hyper::header::HeaderName,
    pointvane_config::{ChoicePolicy, NodeAdmissionOptions, NodeOptions},
    pointvane_core::{
        Change, Clock, HeaderNames, Incarnation, Name, PlatformAdapter, RefusedItem, RouteRule,
        RoutingConfiguration, UpstreamLoad, VmIdentity, VmState,
    },
    pointvane_dispatch::{
        AdmissionOptions, DirectoryMember, Feed, FeedOptions, LatencyQuantile, Pool, PoolOptions, Ranking,
        RetryBudget, RetryBudgetOptions, RouteTable, TokenBucket, UpstreamKey, WholeTime,
    },
    pointvane_mesh::{EntryRow, MemberRow, Membership, MembershipOptions, Stamp, choose_readers},
    pointvane_telemetry::{EventKind, MonotonicClock, wall_ms},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        cell::{Cell, RefCell},
        collections::HashMap,
        net::SocketAddr,
        rc::Rc,
    },
    tokio::{
        net::UdpSocket,
        sync::{Notify, watch},
    },
};

/// Time between two checks of other nodes, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 400;
/// Time from suspicion of a node to its death, in milliseconds.
const SUSPECT_MS: u64 = 900;
/// Nodes that budgets are divided among at least, while a node has not met the others yet.
const NODES_MIN: usize = 20;
/// Nodes that look at the platform often, for all.
const SENTINELS: usize = 2;
/// What the sentinels are ranked for.
const SENTINEL_SUBJECT: &str = "platform";
/// Part of the fleet's budget of probes that is used.
const PROBES_USED: f64 = 0.8;
/// Seconds of probes that may be saved up.
const PROBES_SAVED_S: f64 = 3.0;
/// The quantile of answer times after which a second attempt is considered.
const HEDGE_QUANTILE: f64 = 0.9;
const MEDIAN: f64 = 0.5;

/// Times of a route's requests.
#[derive(Clone, Copy, Debug)]
pub struct RouteTimes {
    /// Time from arrival to answer, at the quantile after which a second attempt is considered.
    pub answer: LatencyQuantile,
    /// Median time of an upstream that works at once and at the usual pace.
    pub usual: LatencyQuantile,
    /// The most time that callers give.
    pub whole: WholeTime,
}

impl RouteTimes {
    fn new(route: &RouteRule) -> Self {
        let target_ms = route.target_latency_ms as f64;
        Self {
            answer: LatencyQuantile::new(HEDGE_QUANTILE, target_ms / 2.0),
            usual: LatencyQuantile::new(MEDIAN, target_ms / 4.0),
            whole: WholeTime::default(),
        }
    }
}

/// The headers as `hyper` takes them.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Identity of one attempt of a caller.
    pub request_id: HeaderName,
    /// Milliseconds the sender will still wait.
    pub deadline_ms: HeaderName,
    /// The upstream that alone may run the request.
    pub expect_upstream: HeaderName,
    /// An upstream's load.
    pub load: HeaderName,
    /// An upstream's word that it did not run the request.
    pub not_run: HeaderName,
    /// The upstream's identity.
    pub upstream: HeaderName,
}

impl From<HeaderNames> for Headers {
    fn from(names: HeaderNames) -> Self {
        Self {
            request_id: HeaderName::from_static(names.request_id),
            deadline_ms: HeaderName::from_static(names.deadline_ms),
            expect_upstream: HeaderName::from_static(names.expect_upstream),
            load: HeaderName::from_static(names.load),
            not_run: HeaderName::from_static(names.not_run),
            upstream: HeaderName::from_static(names.upstream),
        }
    }
}

/// The state of one node.
#[derive(Debug)]
pub struct Node<A> {
    /// The platform's manner of speaking.
    pub adapter: A,
    /// The headers' names.
    pub headers: Headers,
    /// The options.
    pub options: NodeOptions,
    /// The settings in force.
    pub settings: RefCell<NodeSettings>,
    /// The time.
    pub clock: MonotonicClock,
    /// Log lines, time line and metrics.
    pub report: Report,
    /// The configuration in force.
    pub routes: RefCell<Rc<RouteTable>>,
    /// The upstreams.
    pub pool: RefCell<Pool>,
    /// Reading of the platform.
    pub feed: RefCell<Feed>,
    /// The other nodes.
    pub membership: RefCell<Membership>,
    /// Kept connections to upstreams.
    pub connections: Connections,
    /// Questions to upstreams that are under way.
    pub probes: Probes,
    /// Randomness of requests.
    pub rng: RefCell<SmallRng>,
    /// How far a planned stop has come.
    pub stage: watch::Sender<Stage>,
    incarnation: Incarnation,
    probe_budget: RefCell<TokenBucket>,
    retry_budgets: RefCell<HashMap<Name, RetryBudget>>,
    route_times: RefCell<HashMap<Name, RouteTimes>>,
    nodes_seen: Cell<usize>,
    open: Rc<Cell<usize>>,
    gossip_socket: RefCell<Option<Rc<UdpSocket>>>,
    relay_socket: RefCell<Option<Rc<UdpSocket>>>,
    peer_revision: Cell<u64>,
    watch_renewed: Notify,
}

/// Counts an open connection of a caller for as long as it lives.
#[derive(Debug)]
pub struct OpenConnection(Rc<Cell<usize>>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl<A: PlatformAdapter> Node<A> {
    /// A node that knows only its settings.
    pub fn new(adapter: A, settings: NodeSettings, options: NodeOptions, report: Report) -> Self {
        let clock = MonotonicClock::start();
        let now_us = clock.now_us();
        let mut seeder = SmallRng::from_os_rng();
        let incarnation = Incarnation(wall_ms());
        let membership = membership(&settings, incarnation, seeder.random(), now_us);
        let pool = Pool::new(pool_options(&options), settings.data_centre.clone(), seeder.random());
        Self {
            headers: adapter.headers().into(),
            adapter,
            clock,
            options,
            report,
            routes: RefCell::default(),
            pool: RefCell::new(pool),
            feed: RefCell::new(Feed::new(FeedOptions::default(), seeder.random())),
            membership: RefCell::new(membership),
            connections: Connections::default(),
            probes: Probes::default(),
            rng: RefCell::new(SmallRng::from_rng(&mut seeder)),
            stage: watch::Sender::new(Stage::Running),
            incarnation,
            probe_budget: RefCell::new(TokenBucket::new(0.0, 0.0, now_us)),
            retry_budgets: RefCell::default(),
            route_times: RefCell::default(),
            nodes_seen: Cell::new(NODES_MIN),
            open: Rc::default(),
            gossip_socket: RefCell::default(),
            relay_socket: RefCell::default(),
            peer_revision: Cell::default(),
            watch_renewed: Notify::new(),
            settings: RefCell::new(settings),
        }
    }

    /// Microseconds of the steady clock.
    pub fn now_us(&self) -> u64 {
        self.clock.now_us()
    }

    /// The configuration in force.
    pub fn route_table(&self) -> Rc<RouteTable> {
        Rc::clone(&self.routes.borrow())
    }

    /// When work that would be late is told to come back.
    pub fn admission(&self) -> AdmissionOptions {
        let NodeAdmissionOptions { target_share, rank_step } = self.options.admission;
        AdmissionOptions { target_share, rank_step, ..AdmissionOptions::default() }
    }

    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        *self.stage.borrow() == Stage::Running
            && self.routes.borrow().version() > 0
            && self.feed.borrow().revision() > 0
    }

    /// Takes an upstream's own word on its load.
    pub fn hear_load(&self, key: UpstreamKey, load: UpstreamLoad) {
        self.pool.borrow_mut().hear(key, load, self.now_us());
    }

    /// Puts what the platform told in force.
    pub fn apply(&self, changes: Vec<Change>) {
        for change in changes {
            match change {
                Change::Configuration(configuration) => self.take_configuration(*configuration),
                Change::Upstream(record) => {
                    self.report.note(EventKind::UpstreamTold {
                        service: record.service.clone(),
                        upstream: record.id.clone(),
                        draining: record.draining,
                        sequence: record.sequence,
                    });
                    self.pool.borrow_mut().put(record, self.now_us());
                }
                Change::UpstreamGone(id) => {
                    if self.pool.borrow_mut().remove(&id) {
                        self.report.note(EventKind::UpstreamGone { upstream: id });
                    }
                }
            }
        }
        self.share_budgets();
        self.tell_entry();
    }

    /// A node never goes back to an older configuration within its life.
    fn take_configuration(&self, configuration: RoutingConfiguration) {
        if configuration.version <= self.routes.borrow().version() {
            return;
        }
        let index = self.feed.borrow().revision();
        self.report.note(EventKind::ConfigurationAccepted { revision: configuration.version, index });
        *self.routes.borrow_mut() = Rc::new(RouteTable::new(configuration));
    }

    /// Notes items that could not be understood.
    pub fn refuse_items(&self, refused: Vec<RefusedItem>) {
        for RefusedItem { key, problem } in refused {
            self.report.note(EventKind::ItemRefused { key, problem });
        }
    }

    /// Divides the fleet's budgets anew among the nodes that were ever seen at once.
    pub fn share_budgets(&self) {
        let nodes = self.membership.borrow().rows().filter(|row| row.state != VmState::Dead).count();
        let nodes = nodes.max(self.nodes_seen.get());
        self.nodes_seen.set(nodes);
        let limits = self.settings.borrow().limits.clone();
        let rate_per_s = limits.probes_per_s * PROBES_USED * self.pool.borrow().len() as f64 / nodes as f64;
        self.probe_budget.borrow_mut().set(rate_per_s, rate_per_s * PROBES_SAVED_S, self.now_us());
        self.retry_budgets.borrow_mut().values_mut().for_each(|budget| budget.set_nodes(nodes));
    }

    /// Takes the price of one probe, if it is there.
    pub fn take_probe(&self) -> bool {
        self.probe_budget.borrow_mut().take(1.0, self.now_us())
    }

    /// Notes a request's first attempt at a service.
    pub fn earn_retry(&self, service: &Name) {
        self.with_budget(service, RetryBudget::earn);
    }

    /// Takes the price of one repeated attempt at a service, if it is there.
    pub fn take_retry(&self, service: &Name) -> bool {
        self.with_budget(service, RetryBudget::take)
    }

    fn with_budget<T>(&self, service: &Name, use_it: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            let limits = &self.settings.borrow().limits;
            let options = RetryBudgetOptions {
                ratio: limits.retry_ratio,
                slack: limits.retry_slack,
                ..RetryBudgetOptions::default()
            };
            RetryBudget::new(options, self.nodes_seen.get())
        });
        use_it(budget)
    }

    /// What is known of the times of a route's requests.
    pub fn route_times<T>(&self, route: &RouteRule, use_them: impl FnOnce(&mut RouteTimes) -> T) -> T {
        let mut times = self.route_times.borrow_mut();
        use_them(times.entry(route.name.clone()).or_insert_with(|| RouteTimes::new(route)))
    }

    /// Nodes that callers may be sent to.
    pub fn directory_members(&self) -> Vec<DirectoryMember> {
        let membership = self.membership.borrow();
        let usable = membership.rows().filter(|row| {
            matches!(row.state, VmState::Live | VmState::Suspect)
                && row.entry.is_some_and(|entry| !entry.leaving)
        });
        let member = |row: &MemberRow| DirectoryMember {
            address: SocketAddr::new(row.identity.address, row.entry_port),
            data_centre: row.identity.data_centre.clone(),
        };
        usable.map(member).collect()
    }

    /// Tells the other nodes whether callers may be sent here, and what is known of the platform.
    pub fn tell_entry(&self) {
        let leaving = *self.stage.borrow() != Stage::Running;
        let ready = self.is_ready();
        let row = EntryRow { incarnation: self.incarnation, requests: 0, leaving };
        self.membership.borrow_mut().set_entry((ready || leaving).then_some(row));
    }

    /// Counts a caller's connection until the returned value is dropped.
    pub fn connection_opened(&self) -> OpenConnection {
        self.open.set(self.open.get() + 1);
        OpenConnection(Rc::clone(&self.open))
    }

    /// Callers' connections that are open.
    pub fn connections_open(&self) -> usize {
        self.open.get()
    }

    /// Takes the socket for datagrams to other nodes.
    pub fn set_gossip_socket(&self, socket: Rc<UdpSocket>) {
        *self.gossip_socket.borrow_mut() = Some(socket);
    }

    /// The socket for datagrams to other nodes.
    pub fn gossip_socket(&self) -> Option<Rc<UdpSocket>> {
        self.gossip_socket.borrow().clone()
    }

    /// Takes the socket for relays.
    pub fn set_relay_socket(&self, socket: Rc<UdpSocket>) {
        *self.relay_socket.borrow_mut() = Some(socket);
    }

    /// The socket for relays.
    pub fn relay_socket(&self) -> Option<Rc<UdpSocket>> {
        self.relay_socket.borrow().clone()
    }

    /// Notes that a peer has read the platform up to a revision.
    pub fn hear_peer(&self, revision: u64) {
        self.peer_revision.set(self.peer_revision.get().max(revision));
    }

    /// Compares this node's reading with its peers'.
    pub fn look_at_peers(&self) {
        let sentinel = self.is_sentinel();
        self.feed.borrow_mut().hear_peers(sentinel, self.peer_revision.get(), self.now_us());
        self.look_whether_behind();
    }

    /// Ends a rest or a hung watch when the platform is known to hold more.
    pub fn look_whether_behind(&self) {
        if self.feed.borrow().is_behind() {
            self.watch_renewed.notify_waiters();
        }
    }

    /// Whether this node is one of the few that look at the platform often, for all.
    fn is_sentinel(&self) -> bool {
        let membership = self.membership.borrow();
        let sentinels = choose_readers(SENTINEL_SUBJECT, membership.rows(), SENTINELS);
        sentinels.contains(&membership.me().identity.name)
    }

    /// Returns once the watch under way is to be made anew.
    pub async fn watch_renewed(&self) {
        self.watch_renewed.notified().await;
    }

    /// What this node tells of its reading.
    pub fn stamp(&self) -> Stamp {
        Stamp { revision: self.feed.borrow().revision(), index: 0 }
    }
}

fn pool_options(options: &NodeOptions) -> PoolOptions {
    let ranking = match options.choice.policy {
        ChoicePolicy::Ask => Ranking::Cost,
        ChoicePolicy::OwnLeast => Ranking::Own,
        ChoicePolicy::Random => Ranking::Random,
    };
    PoolOptions { ranking, ..PoolOptions::default() }
}

fn membership(settings: &NodeSettings, incarnation: Incarnation, seed: u64, now_us: u64) -> Membership {
    let options = MembershipOptions {
        probe_interval_ms: CHECK_INTERVAL_MS,
        suspect_ms: SUSPECT_MS,
        seeds: settings.seeds.clone(),
        ..MembershipOptions::default()
    };
    let me = MemberRow {
        identity: VmIdentity {
            name: settings.name.clone(),
            data_centre: settings.data_centre.clone(),
            address: settings.gossip.ip(),
            incarnation,
        },
        control_port: settings.gossip.port(),
        entry_port: settings.traffic.port(),
        state: VmState::Live,
        version: 0,
        entry: None,
        stamp: Stamp::default(),
    };
    Membership::new(options, me, seed, now_us)
}
