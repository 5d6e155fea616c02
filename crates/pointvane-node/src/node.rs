//! The node and its components.
//!
//! Each component owns its state, and all run on one thread: [`Dispatcher`] handles requests, [`Fleet`] the
//! other nodes, [`PlatformState`] the state read from the platform, and [`Lifecycle`] the graceful shutdown.

use {
    crate::{
        connection_metrics::ConnectionMetrics, dispatcher::Dispatcher, fleet::Fleet, headers::Headers,
        lifecycle::Lifecycle, memory::BodyMemory, replica::platform_state::PlatformState, report::Report,
        settings::NodeSettings,
    },
    pointvane_config::NodeOptions,
    pointvane_core::{Clock, Incarnation, PlatformAdapter},
    pointvane_serve::ClosingConnections,
    pointvane_telemetry::{MonotonicClock, unix_time_ms},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        cell::{Ref, RefCell},
        time::Duration,
    },
    tokio::{sync::Notify, time::Instant},
};

/// The state of a node, shared by all of its tasks.
#[derive(Debug)]
pub struct Node<A> {
    /// Translates the platform's formats.
    pub adapter: A,
    /// Names of the HTTP headers in use.
    pub headers: Headers,
    /// Log lines, event log and metrics.
    pub report: Report,
    /// Routes, upstreams, budgets and upstream connections.
    pub dispatcher: Dispatcher,
    /// The other nodes.
    pub fleet: Fleet,
    /// State read from the platform.
    pub platform: PlatformState,
    /// Memory that bodies of requests and answers occupy.
    pub body_memory: BodyMemory,
    /// Stage of a graceful shutdown.
    pub lifecycle: Lifecycle,
    /// Connections of callers that are closing.
    pub closing_connections: ClosingConnections,
    settings: RefCell<NodeSettings>,
    clock: MonotonicClock,
    /// Notified when a crash or a survival must be sent to other nodes at once.
    pub quarantine_updates: Notify,
    /// Notified when a client account with a quota is in use, or this node begins to coordinate one.
    pub quotas_used: Notify,
    /// Notified when a service is lost.
    pub service_lost: Notify,
    /// Notified when an upstream adds, changes or removes its advertised limit.
    pub limits_changed: Notify,
}

impl<A: PlatformAdapter> Node<A> {
    /// Creates a node that has not yet read the platform or contacted other nodes.
    pub fn new(adapter: A, settings: NodeSettings, options: &NodeOptions, report: Report) -> Self {
        let clock = MonotonicClock::start();
        let now_us = clock.now_us();
        let mut seed_rng = SmallRng::from_os_rng();
        let incarnation = Incarnation(unix_time_ms());
        let connections = ConnectionMetrics::new(&report.metrics);
        let dispatcher = Dispatcher::new(options, &settings, connections, incarnation, &mut seed_rng, now_us);
        Self {
            headers: adapter.headers().into(),
            adapter,
            report,
            dispatcher,
            fleet: Fleet::new(&settings, incarnation, &mut seed_rng, now_us),
            platform: PlatformState::new(&settings, seed_rng.random()),
            body_memory: BodyMemory::new(settings.memory_mb),
            lifecycle: Lifecycle::default(),
            closing_connections: ClosingConnections::default(),
            settings: RefCell::new(settings),
            clock,
            quarantine_updates: Notify::new(),
            quotas_used: Notify::new(),
            service_lost: Notify::new(),
            limits_changed: Notify::new(),
        }
    }

    /// The monotonic time, in microseconds.
    pub fn now_us(&self) -> u64 {
        self.clock.now_us()
    }

    /// The instant of a monotonic time, given in microseconds; now if it has passed.
    pub fn instant_of(&self, at_us: u64) -> Instant {
        Instant::now() + Duration::from_micros(at_us.saturating_sub(self.now_us()))
    }

    /// Time since the start of this process, in milliseconds.
    pub fn uptime_ms(&self) -> u64 {
        self.clock.since_start_ms()
    }

    /// The current settings.
    pub fn settings(&self) -> Ref<'_, NodeSettings> {
        self.settings.borrow()
    }

    /// Replaces the settings and recomputes this node's share of the budgets.
    pub fn replace_settings(&self, settings: NodeSettings) {
        self.body_memory.set_limit(settings.memory_mb);
        self.settings.replace(settings);
        self.share_budgets();
    }

    /// Whether this node accepts callers: it is not shutting down and has read the configuration and the
    /// upstreams.
    pub fn is_ready(&self) -> bool {
        self.lifecycle.is_running() && self.has_platform_state()
    }

    /// Whether both the configuration and the upstreams have been read.
    pub fn has_platform_state(&self) -> bool {
        self.dispatcher.routes().version() > 0 && self.platform.mark().revision > 0
    }

    /// Recomputes this node's share of the fleet-wide budgets from the largest number of nodes seen at once
    /// so far.
    pub fn share_budgets(&self) {
        let limits = self.settings().limits.clone();
        let (budgets, warm_up) = (limits.budgets(), limits.warm_up());
        self.dispatcher.share_budgets(self.fleet.size(), &budgets, warm_up, self.now_us());
    }
}
