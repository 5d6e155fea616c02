//! Response of the entry's operator port to `/status`.

use {
    crate::{entry::Entry, service::ServiceHandle},
    pointvane_balance::UpstreamSummary,
    pointvane_core::{Incarnation, Name},
    pointvane_telemetry::OperatorState,
    serde::Serialize,
};

/// Status of the entry process.
#[derive(Debug, Serialize)]
pub struct EntryStatus {
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Revision of the current configuration; 0 without one.
    pub revision: u64,
    /// Whether a stop has been requested.
    pub stopping: bool,
    /// Number of idempotency keys in the table.
    pub keys: usize,
    /// The services of the current configuration.
    pub services: Vec<ServiceStatus>,
}

/// Status of a service.
#[derive(Debug, Serialize)]
pub struct ServiceStatus {
    /// The service's name.
    pub name: Name,
    /// Requests in flight from this entry.
    pub in_flight: u32,
    /// Requests waiting at this entry.
    pub waiting: usize,
    /// Known state of its upstreams.
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
