//! Which requests belong to which service.

use {
    crate::service::ServiceHandle,
    pointvane_config::{Configuration, FleetLimits},
    pointvane_core::Name,
    std::sync::Arc,
};

/// One way to a service.
#[derive(Debug)]
struct Way {
    host: Option<Name>,
    path_prefix: Name,
    service: Arc<ServiceHandle>,
}

/// All ways, the most particular first.
#[derive(Debug, Default)]
pub struct Routes {
    ways: Vec<Way>,
    /// Revision of the configuration.
    pub revision: u64,
    /// The services in the order of the configuration.
    pub services: Vec<Arc<ServiceHandle>>,
    /// How long callers keep locate's answer, in milliseconds.
    pub locate_keep_ms: u64,
    /// Bytes of control traffic that this VM may send each second.
    pub control_bytes_per_s: u32,
}

impl Routes {
    /// The routes of a configuration, whose services stand in the same order as `services`.
    pub fn new(configuration: &Configuration, services: Vec<Arc<ServiceHandle>>) -> Self {
        let mut ways = Vec::new();
        for (service, handle) in configuration.services.iter().zip(&services) {
            let way = |host| Way {
                host,
                path_prefix: service.route.path_prefix.clone(),
                service: Arc::clone(handle),
            };
            if service.route.hosts.is_empty() {
                ways.push(way(None));
            }
            ways.extend(service.route.hosts.iter().map(|host| way(Some(host.clone()))));
        }
        ways.sort_by_key(|way| std::cmp::Reverse((way.host.is_some(), way.path_prefix.as_str().len())));
        let FleetLimits { locate_keep_ms, control_bytes_per_s, .. } = configuration.limits;
        Self { ways, revision: configuration.revision, services, locate_keep_ms, control_bytes_per_s }
    }

    /// The service of a request.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<ServiceHandle>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let fits = |way: &&Way| {
            let host_fits = way.host.as_ref().is_none_or(|wanted| wanted.as_str() == host);
            host_fits && below(path, way.path_prefix.as_str())
        };
        self.ways.iter().find(fits).map(|way| &way.service)
    }
}

/// Whether a path is a prefix's or below it, at a `/`.
fn below(path: &str, prefix: &str) -> bool {
    let rest = path.strip_prefix(prefix.trim_end_matches('/'));
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(['/', '?']))
}
