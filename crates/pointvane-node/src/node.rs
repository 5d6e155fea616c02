//! The state that all parts of a node share; one thread uses it.

use {
    crate::{
        budgets::Budgets, connections::Connections, headers::Headers, peers::membership, probe::Probes,
        report::Report, settings::NodeSettings, stop::Stage, times::RouteTimes,
    },
    pointvane_config::{ChoicePolicy, NodeAdmissionOptions, NodeOptions},
    pointvane_core::{Clock, Incarnation, Name, PlatformAdapter, RouteRule},
    pointvane_dispatch::{
        AdmissionOptions, Feed, FeedOptions, HeardRounds, Pool, PoolOptions, Ranking, RouteTable,
    },
    pointvane_mesh::Membership,
    pointvane_telemetry::{MonotonicClock, wall_ms},
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

/// Questions to seeds before the platform is asked at the first start of all.
const FIRST_START_ASKS: u32 = 5;
/// Rest between two of these, in milliseconds.
const FIRST_START_REST_MS: u64 = 250;

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
    /// This node's shares of the fleet's budgets.
    pub budgets: RefCell<Budgets>,
    /// This life of the process.
    pub incarnation: Incarnation,
    /// The socket for datagrams of membership, once it is open.
    pub gossip_socket: RefCell<Option<Rc<UdpSocket>>>,
    /// The socket for relays, once it is open.
    pub relay_socket: RefCell<Option<Rc<UdpSocket>>>,
    /// Relays that were heard.
    pub heard_rounds: RefCell<HeardRounds>,
    /// Count of this node's relays.
    pub relay_round: Cell<u64>,
    /// Where the node answers questions that relayed last.
    pub teller: Cell<Option<SocketAddr>>,
    /// The latest revision of the platform that a peer has read.
    pub peer_revision: Cell<u64>,
    /// Tells that a rest or a watch is to end.
    pub watch_renewed: Notify,
    route_times: RefCell<HashMap<Name, RouteTimes>>,
    open: Rc<Cell<usize>>,
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
            feed: RefCell::new(Feed::new(feed_options(&settings), seeder.random())),
            membership: RefCell::new(membership),
            connections: Connections::default(),
            probes: Probes::default(),
            rng: RefCell::new(SmallRng::from_rng(&mut seeder)),
            stage: watch::Sender::new(Stage::Running),
            incarnation,
            budgets: RefCell::new(Budgets::new(now_us)),
            route_times: RefCell::default(),
            open: Rc::default(),
            gossip_socket: RefCell::default(),
            relay_socket: RefCell::default(),
            heard_rounds: RefCell::default(),
            relay_round: Cell::new(incarnation.0),
            teller: Cell::default(),
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
            && self.feed.borrow().mark().revision > 0
    }

    /// What is known of the times of a route's requests.
    pub fn route_times<T>(&self, route: &RouteRule, use_them: impl FnOnce(&mut RouteTimes) -> T) -> T {
        let mut times = self.route_times.borrow_mut();
        use_them(times.entry(route.name.clone()).or_insert_with(|| RouteTimes::new(route)))
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
}

/// At the first start of all, the seeds alone know whom to ask: the platform. The others wait for what these read.
fn feed_options(settings: &NodeSettings) -> FeedOptions {
    let defaults = FeedOptions::default();
    match (settings.first_start, settings.seeds.contains(&settings.gossip)) {
        (true, true) => FeedOptions { start_asks: 0, ..defaults },
        (true, false) => {
            FeedOptions { start_asks: FIRST_START_ASKS, start_rest_ms: FIRST_START_REST_MS, ..defaults }
        }
        (false, _) => defaults,
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
