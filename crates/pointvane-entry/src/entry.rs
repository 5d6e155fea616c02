//! The state that all stages share.

use {
    crate::{
        connections::Connections,
        counters::EntryCounters,
        kept_answer::{Joiner, KeptAnswer},
        members::Members,
        routes::Routes,
        service::ServiceHandle,
        transitions::Transitions,
    },
    pointvane_balance::{KeyTable, KeyTableOptions},
    pointvane_config::{Configuration, Settings},
    pointvane_core::{Incarnation, Name},
    pointvane_mesh::{Stamp, VmList},
    pointvane_telemetry::{EventLog, MonotonicClock, wall_ms},
    std::sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

/// The state of one entry process.
#[derive(Debug)]
pub struct Entry {
    /// The VM's settings.
    pub settings: Settings,
    /// This life.
    pub incarnation: Incarnation,
    /// The time.
    pub clock: MonotonicClock,
    /// The time line.
    pub events: Arc<EventLog>,
    /// EntryCounters and histograms.
    pub counters: EntryCounters,
    /// Kept connections to upstreams and other entries.
    pub connections: Connections,
    /// Requests whose keys run, callers gone or not.
    pub keyed_running: AtomicU64,
    /// A stop was asked for.
    pub stopping: AtomicBool,
    keys: Mutex<KeyTable<KeptAnswer, Joiner>>,
    stamp: Mutex<Stamp>,
    routes: RwLock<Arc<Routes>>,
    members: RwLock<Arc<Members>>,
    transitions: Mutex<Transitions>,
}

impl Entry {
    /// An entry that knows no configuration yet.
    pub fn new(settings: Settings, events: Arc<EventLog>, counters: EntryCounters) -> Self {
        let incarnation = Incarnation(wall_ms());
        let keys = KeyTable::new(KeyTableOptions::default(), settings.vm.name.clone(), incarnation);
        Self {
            settings,
            incarnation,
            clock: MonotonicClock::start(),
            events,
            counters,
            connections: Connections::default(),
            keyed_running: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
            keys: Mutex::new(keys),
            stamp: Mutex::default(),
            routes: RwLock::default(),
            members: RwLock::default(),
            transitions: Mutex::default(),
        }
    }

    /// The routes in force.
    pub fn routes(&self) -> Arc<Routes> {
        Arc::clone(&self.routes.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// The other entry VMs.
    pub fn members(&self) -> Arc<Members> {
        Arc::clone(&self.members.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Takes the members.
    pub fn set_members(&self, members: Members) {
        *self.members.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(members);
    }

    /// The keys of this life.
    pub fn keys(&self) -> MutexGuard<'_, KeyTable<KeptAnswer, Joiner>> {
        self.keys.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether a stop was asked for.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Requests in flight and waiting, all services together.
    pub fn requests(&self) -> u32 {
        let routes = self.routes();
        let counts = routes.services.iter().map(|service| {
            let balancer = service.lock();
            balancer.in_flight() + balancer.waiting() as u32
        });
        counts.sum()
    }

    /// Whether a configuration is newer than the one in force; from now on it counts as that.
    pub fn advance(&self, stamp: Stamp) -> bool {
        let mut held = self.stamp.lock().unwrap_or_else(PoisonError::into_inner);
        let newer = stamp > *held;
        *held = (*held).max(stamp);
        newer
    }

    /// Puts a configuration in force; services that stay keep what is in flight and known.
    pub fn configure(&self, configuration: &Configuration) {
        let old = self.routes();
        let handles = configuration.services.iter().map(|service| {
            let known = old.services.iter().find(|handle| handle.name == service.name);
            match known {
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

    /// Takes the platform's list of VMs.
    pub fn listed(&self, list: &VmList) {
        for service in &self.routes().services {
            let now_us = service.now_us();
            let mut balancer = service.lock();
            for vm in &list.vms {
                balancer.listed(&vm.name, vm.leaving, now_us);
            }
        }
    }

    /// Works out anew which part of each upstream's limit this VM may send.
    pub fn place_limits(&self) {
        let members = self.members();
        for service in &self.routes().services {
            let now_us = service.now_us();
            let mut balancer = service.lock();
            let unknown = balancer.limit_place_without_members();
            let place = |upstream: &Name| {
                (!self.is_stopping()).then(|| members.limit_place(upstream).unwrap_or(unknown))
            };
            balancer.place_limits(place, now_us);
        }
    }

    /// Notes on the time line which services and upstreams changed their state since the last call.
    pub fn note_transitions(&self) {
        let mut transitions = self.transitions.lock().unwrap_or_else(PoisonError::into_inner);
        for service in &self.routes().services {
            let upstreams = service.summaries();
            let events = transitions.take(&service.name, service.overloaded(), &upstreams);
            events.into_iter().for_each(|event| self.events.note(event));
        }
    }
}
