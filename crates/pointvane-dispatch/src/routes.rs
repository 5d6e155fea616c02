//! Routing: from a request's host and path to its route, and to one of the route's services, drawn by weight.
//!
//! Inputs: the configuration in force, host and path of the request. The longest path prefix of the host wins. Tests:
//! `the_longest_prefix_of_the_host_wins`, `a_split_gives_each_service_its_weight`.

use {
    pointvane_core::{CallerLimits, Name, RouteRule, RoutingConfiguration, ServiceRule},
    rand::{Rng, rngs::SmallRng},
    std::{collections::HashMap, sync::Arc},
};

/// The configuration in force, ready for look-ups.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    version: u64,
    limits: CallerLimits,
    /// Routes of a host, those with longer prefixes first.
    by_host: HashMap<Name, Vec<Arc<RouteRule>>>,
    services: HashMap<Name, ServiceRule>,
}

/// Where one request goes.
#[derive(Clone, Debug)]
pub struct RoutedRequest {
    /// The route.
    pub route: Arc<RouteRule>,
    /// The service that this request goes to.
    pub service: Name,
    /// The version of the configuration that said so.
    pub version: u64,
}

impl RouteTable {
    /// A table of one configuration.
    pub fn new(configuration: RoutingConfiguration) -> Self {
        let mut by_host: HashMap<Name, Vec<Arc<RouteRule>>> = HashMap::new();
        for route in configuration.routes {
            by_host.entry(route.host.clone()).or_default().push(route);
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.as_str().len()));
        }
        let services = configuration.services.into_iter().map(|service| (service.name.clone(), service));
        Self {
            version: configuration.version,
            limits: configuration.limits,
            by_host,
            services: services.collect(),
        }
    }

    /// The configuration's version; 0 while there is none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The configuration that the table was made from.
    pub fn configuration(&self) -> RoutingConfiguration {
        RoutingConfiguration {
            version: self.version,
            routes: self.by_host.values().flatten().cloned().collect(),
            services: self.services.values().cloned().collect(),
            limits: self.limits,
        }
    }

    /// Limits for callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Path on which a service's upstreams report their health and load.
    pub fn health_path(&self, service: &Name) -> Option<&Name> {
        self.services.get(service).map(|service| &service.health_path)
    }

    /// Requests a second that a cold upstream bears, of the services that limit them.
    pub fn cold_rates_per_s(&self) -> HashMap<Name, f64> {
        let limited = self.services.values().filter(|service| service.cold_requests_per_1000_s > 0);
        limited.map(|service| (service.name.clone(), service.cold_requests_per_1000_s as f64 / 1e3)).collect()
    }

    /// The route of a request; `host` may carry a port.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.by_host.get(host) {
            Some(routes) => routes,
            None => self.by_host.get(host.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(route.path_prefix.as_str()))
    }

    /// The route of a request and the service it goes to, drawn by weight.
    pub fn route(&self, host: &str, path: &str, rng: &mut SmallRng) -> Option<RoutedRequest> {
        let route = self.find(host, path)?;
        let service = draw(route, rng)?;
        Some(RoutedRequest { route: Arc::clone(route), service, version: self.version })
    }
}

/// One of a route's services, by weight.
fn draw(route: &RouteRule, rng: &mut SmallRng) -> Option<Name> {
    let total: u64 = route.backends.iter().map(|backend| u64::from(backend.weight)).sum();
    if total == 0 {
        return route.backends.first().map(|backend| backend.service.clone());
    }
    let mut drawn = rng.random_range(0..total);
    for backend in &route.backends {
        let weight = u64::from(backend.weight);
        if drawn < weight {
            return Some(backend.service.clone());
        }
        drawn -= weight;
    }
    None
}
