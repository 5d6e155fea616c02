//! Routing of requests to services by host and path prefix.

use {
    crate::service::ServiceHandle,
    pointvane_config::{Configuration, FleetLimits},
    pointvane_core::Name,
    std::sync::Arc,
};

/// Route to a service; without a host it matches all hosts.
#[derive(Debug)]
struct Route {
    host: Option<Name>,
    path_prefix: Name,
    service: Arc<ServiceHandle>,
}

/// All routes, the most specific first: those with a host before those without, then by length of the prefix.
#[derive(Debug, Default)]
pub struct Routes {
    routes: Vec<Route>,
    /// Revision of the configuration; 0 without one.
    pub revision: u64,
    /// The services in the order of the configuration.
    pub services: Vec<Arc<ServiceHandle>>,
    /// Time for which callers cache an answer of the locate service, in milliseconds.
    pub locate_keep_ms: u64,
    /// Limit on the control traffic sent by this VM, in bytes per second.
    pub control_bytes_per_s: u32,
}

impl Routes {
    /// Builds the routes of a configuration, whose services are in the same order as `services`.
    pub fn new(configuration: &Configuration, services: Vec<Arc<ServiceHandle>>) -> Self {
        let mut routes = Vec::new();
        for (service, handle) in configuration.services.iter().zip(&services) {
            let route = |host| Route {
                host,
                path_prefix: service.route.path_prefix.clone(),
                service: Arc::clone(handle),
            };
            if service.route.hosts.is_empty() {
                routes.push(route(None));
            }
            routes.extend(service.route.hosts.iter().map(|host| route(Some(host.clone()))));
        }
        routes
            .sort_by_key(|route| std::cmp::Reverse((route.host.is_some(), route.path_prefix.as_str().len())));
        let FleetLimits { locate_keep_ms, control_bytes_per_s, .. } = configuration.limits;
        Self { routes, revision: configuration.revision, services, locate_keep_ms, control_bytes_per_s }
    }

    /// Finds the service of a request. A port in `host` is ignored.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<ServiceHandle>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let matches = |route: &&Route| {
            let host_matches = route.host.as_ref().is_none_or(|expected| expected.as_str() == host);
            host_matches && path_has_prefix(path, route.path_prefix.as_str())
        };
        self.routes.iter().find(matches).map(|route| &route.service)
    }
}

/// Whether `path` starts with `prefix` at the boundary of a path segment.
fn path_has_prefix(path: &str, prefix: &str) -> bool {
    let rest = path.strip_prefix(prefix.trim_end_matches('/'));
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(['/', '?']))
}
