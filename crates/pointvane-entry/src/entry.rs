//! State shared by all stages.

use {
    crate::{
        connection_pool::ConnectionPool,
        counters::EntryCounters,
        members::Members,
        routes::Routes,
        service::ServiceHandle,
        stored_response::{ResponseSender, StoredResponse},
        transitions::TransitionTracker,
    },
    pointvane_balance::{KeyTable, KeyTableOptions},
    pointvane_config::{Configuration, Settings},
    pointvane_core::{Incarnation, Name},
    pointvane_mesh::{Stamp, VmList},
    pointvane_telemetry::{EventLog, MonotonicClock, unix_time_ms},
    std::sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

/// The state of one entry process.
#[derive(Debug)]
pub struct Entry {
    /// Settings of the VM.
    pub settings: Settings,
    /// Incarnation of this process, from the wall clock at its start.
    pub incarnation: Incarnation,
    /// Clock of all times in the process.
    pub clock: MonotonicClock,
    /// Event log.
    pub events: Arc<EventLog>,
    /// Counters and histograms.
    pub counters: EntryCounters,
    /// Connections to upstreams and other entry VMs.
    pub connections: ConnectionPool,
    /// Running requests with an idempotency key, including those whose callers have disconnected.
    pub keyed_in_flight: AtomicU64,
    /// Whether a stop has been requested.
    pub stopping: AtomicBool,
    keys: Mutex<KeyTable<StoredResponse, ResponseSender>>,
    stamp: Mutex<Stamp>,
    routes: RwLock<Arc<Routes>>,
    members: RwLock<Arc<Members>>,
    transitions: Mutex<TransitionTracker>,
}

impl Entry {
    /// Creates the state without a configuration.
    pub fn new(settings: Settings, events: Arc<EventLog>, counters: EntryCounters) -> Self {
        let incarnation = Incarnation(unix_time_ms());
        let keys = KeyTable::new(KeyTableOptions::default(), settings.vm.name.clone(), incarnation);
        Self {
            settings,
            incarnation,
            clock: MonotonicClock::start(),
            events,
            counters,
            connections: ConnectionPool::default(),
            keyed_in_flight: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
            keys: Mutex::new(keys),
            stamp: Mutex::default(),
            routes: RwLock::default(),
            members: RwLock::default(),
            transitions: Mutex::default(),
        }
    }

    /// The current routes.
    pub fn routes(&self) -> Arc<Routes> {
        Arc::clone(&self.routes.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// The other entry VMs.
    pub fn members(&self) -> Arc<Members> {
        Arc::clone(&self.members.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Replaces the list of members.
    pub fn set_members(&self, members: Members) {
        *self.members.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(members);
    }

    /// The table of idempotency keys of this incarnation.
    pub fn keys(&self) -> MutexGuard<'_, KeyTable<StoredResponse, ResponseSender>> {
        self.keys.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a stop has been requested.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Number of requests in flight and waiting, over all services.
    pub fn requests(&self) -> u32 {
        let routes = self.routes();
        let counts = routes.services.iter().map(|service| {
            let balancer = service.lock();
            balancer.in_flight() + balancer.waiting() as u32
        });
        counts.sum()
    }

    /// Advances to a configuration's stamp. Returns whether it is newer than the current one.
    pub fn advance(&self, stamp: Stamp) -> bool {
        let mut current = self.stamp.lock().unwrap_or_else(PoisonError::into_inner);
        let newer = stamp > *current;
        *current = (*current).max(stamp);
        newer
    }

    /// Applies a configuration. Services that are in both the old and the new one keep their requests in
    /// flight and the state of their upstreams.
    pub fn configure(&self, configuration: &Configuration) {
        let old = self.routes();
        let handles = configuration.services.iter().map(|service| {
            let existing = old.services.iter().find(|handle| handle.name == service.name);
            match existing {
                Some(handle) => {
                    handle.lock().configure(service, &configuration.limits, handle.now_us());
                    Arc::clone(handle)
                }
                None => {
                    let seed = self.incarnation.0 ^ pointvane_mesh::rank("seed", &service.name);
                    Arc::new(ServiceHandle::new(service, &configuration.limits, seed, self.clock))
                }
            }
        });
        let routes = Arc::new(Routes::new(configuration, handles.collect()));
        *self.routes.write().unwrap_or_else(PoisonError::into_inner) = routes;
    }

    /// Applies the platform's list of VMs.
    pub fn apply_vm_list(&self, list: &VmList) {
        for service in &self.routes().services {
            let now_us = service.now_us();
            let mut balancer = service.lock();
            for vm in &list.vms {
                balancer.apply_vm_list(&vm.name, vm.leaving, now_us);
            }
        }
    }

    /// Recomputes this VM's share of each upstream's request limit.
    pub fn update_limit_shares(&self) {
        let members = self.members();
        for service in &self.routes().services {
            let now_us = service.now_us();
            let mut balancer = service.lock();
            let fallback = balancer.limit_rank_without_members();
            let rank = |upstream: &Name| {
                (!self.is_stopping()).then(|| members.limit_rank(upstream).unwrap_or(fallback))
            };
            balancer.update_limit_ranks(rank, now_us);
        }
    }

    /// Logs an event for each service and upstream whose state has changed since the last call, and for malformed
    /// responses.
    pub fn log_transitions(&self) {
        let mut transitions = self.transitions.lock().unwrap_or_else(PoisonError::into_inner);
        for service in &self.routes().services {
            let upstreams = service.summaries();
            let events = transitions.update(&service.name, service.overload_refusals(), &upstreams);
            let malformed = service.malformed.take(&service.name);
            events.into_iter().chain(malformed).for_each(|event| self.events.record(event));
        }
    }
}
