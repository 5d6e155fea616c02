//! The answer of the entry's operator port to `/status`.

use {
    crate::{entry::Entry, service::ServiceHandle},
    pointvane_balance::UpstreamSummary,
    pointvane_core::{Incarnation, Name},
    pointvane_telemetry::OperatorState,
    serde::Serialize,
};

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
