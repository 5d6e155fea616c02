//! The state that all stages share.

use {
    crate::{
        connections::Connections,
        counters::Counters,
        keyed::{Joiner, KeptAnswer},
        members::Members,
        routes::Routes,
        service::ServiceHandle,
    },
    pointvane_balance::{KeyTable, KeyTableOptions, UpstreamSummary},
    pointvane_config::{Configuration, Settings},
    pointvane_core::{Incarnation, Name},
    pointvane_mesh::{Stamp, VmList},
    pointvane_telemetry::{EventKind, EventLog, MonotonicClock, OperatorState, wall_ms},
    serde::Serialize,
    std::{
        collections::HashMap,
        mem,
        sync::{
            Arc, Mutex, MutexGuard, PoisonError, RwLock,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
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
    /// Counters and histograms.
    pub counters: Counters,
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
    shown: Mutex<ShownStates>,
}

/// What the time line last said.
#[derive(Debug, Default)]
struct ShownStates {
    /// By service and upstream.
    upstreams: HashMap<(Name, Name), Shown>,
    /// By service.
    services: HashMap<Name, ShownLoad>,
}

/// What the time line last said of a service's load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ShownLoad {
    /// Requests refused for overload when last looked at.
    refused: u64,
    /// Looks since the last refusal.
    quiet_looks: u32,
    overloaded: bool,
}

/// Looks without a refusal after which an overload counts as over.
const QUIET_LOOKS: u32 = 20;

impl ShownLoad {
    /// The load at the next look.
    fn next(self, refused: u64) -> Self {
        let quiet_looks = if refused > self.refused { 0 } else { self.quiet_looks.saturating_add(1) };
        let overloaded = refused > self.refused || (self.overloaded && quiet_looks < QUIET_LOOKS);
        Self { refused, quiet_looks, overloaded }
    }
}

/// What the time line last said of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Shown {
    leaving: bool,
    ejected: bool,
}

/// What the operator port shows.
#[derive(Debug, Serialize)]
pub struct EntryStatus {
    /// This life.
    pub incarnation: Incarnation,
    /// Revision in force here; 0 for none.
    pub revision: u64,
    /// Whether it is stopping.
    pub stopping: bool,
    /// Keys remembered.
    pub keys: usize,
    /// The services.
    pub services: Vec<ServiceStatus>,
}

/// What the operator port shows of a service.
#[derive(Debug, Serialize)]
pub struct ServiceStatus {
    /// The service's name.
    pub name: Name,
    /// This entry's requests in flight.
    pub in_flight: u32,
    /// Requests that wait here.
    pub waiting: usize,
    /// What is believed of its upstreams.
    pub upstreams: Vec<UpstreamSummary>,
}

impl Entry {
    /// An entry that knows no configuration yet.
    pub fn new(settings: Settings, events: Arc<EventLog>, counters: Counters) -> Self {
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
            shown: Mutex::default(),
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

    /// Notes on the time line which services and upstreams changed their state since the last call.
    pub fn show_changes(&self) {
        let mut shown = self.shown.lock().unwrap_or_else(PoisonError::into_inner);
        for service in &self.routes().services {
            let load = shown.services.entry(service.name.clone()).or_default();
            let before = mem::replace(load, load.next(service.overloaded()));
            self.show_load(&service.name, before, *load);
            for summary in service.summaries() {
                let key = (service.name.clone(), summary.name.clone());
                let now = Shown { leaving: summary.leaving, ejected: summary.ejected };
                let before = shown.upstreams.insert(key, now).unwrap_or_default();
                self.show_change(&service.name, &summary.name, before, now);
            }
        }
    }

    fn show_load(&self, service: &Name, before: ShownLoad, now: ShownLoad) {
        let service = service.clone();
        match (before.overloaded, now.overloaded) {
            (false, true) => self.events.note(EventKind::OverloadBegan { service }),
            (true, false) => self.events.note(EventKind::OverloadEnded { service }),
            _ => {}
        }
    }

    fn show_change(&self, service: &Name, upstream: &Name, before: Shown, now: Shown) {
        let (service, upstream) = (service.clone(), upstream.clone());
        match (before.leaving, now.leaving) {
            (false, true) => return self.events.note(EventKind::UpstreamLeaving { service, upstream }),
            (true, false) => return self.events.note(EventKind::UpstreamStaying { service, upstream }),
            _ => {}
        }
        match (before.ejected, now.ejected) {
            (false, true) => self.events.note(EventKind::UpstreamEjected { service, upstream }),
            (true, false) => self.events.note(EventKind::UpstreamReturned { service, upstream }),
            _ => {}
        }
    }
}

impl OperatorState for Entry {
    type Status = EntryStatus;

    fn status(&self) -> EntryStatus {
        let routes = self.routes();
        EntryStatus {
            incarnation: self.incarnation,
            revision: routes.revision,
            stopping: self.is_stopping(),
            keys: self.keys().len(),
            services: routes.services.iter().map(|service| service_status(service)).collect(),
        }
    }
}

fn service_status(service: &ServiceHandle) -> ServiceStatus {
    let upstreams = service.summaries();
    let balancer = service.lock();
    ServiceStatus {
        name: service.name.clone(),
        in_flight: balancer.in_flight(),
        waiting: balancer.waiting(),
        upstreams,
    }
}
