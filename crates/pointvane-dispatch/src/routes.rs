//! From a request's host and path to its route, and from a route to one of its services.

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
    health_paths: HashMap<Name, Name>,
}

/// What the table says of one request.
#[derive(Clone, Debug)]
pub struct RoutedRequest {
    /// The route.
    pub route: Arc<RouteRule>,
    /// The service that this request goes to.
    pub service: Name,
    /// The version that said so.
    pub version: u64,
}

impl RouteTable {
    /// A table of one configuration.
    pub fn new(configuration: RoutingConfiguration) -> Self {
        let mut by_host: HashMap<Name, Vec<Arc<RouteRule>>> = HashMap::new();
        for route in configuration.routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.as_str().len()));
        }
        let health = configuration.services.into_iter().map(|service| (service.name, service.health_path));
        Self {
            version: configuration.version,
            limits: configuration.limits,
            by_host,
            health_paths: health.collect(),
        }
    }

    /// The configuration's version; 0 while there is none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The configuration that the table was made of.
    pub fn configuration(&self) -> RoutingConfiguration {
        let routes = self.by_host.values().flatten().map(|route| RouteRule::clone(route));
        let service = |(name, health_path): (&Name, &Name)| ServiceRule {
            name: name.clone(),
            health_path: health_path.clone(),
        };
        RoutingConfiguration {
            version: self.version,
            routes: routes.collect(),
            services: self.health_paths.iter().map(service).collect(),
            limits: self.limits,
        }
    }

    /// What callers are held to.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Path on which a service's upstreams tell their health.
    pub fn health_path(&self, service: &Name) -> Option<&Name> {
        self.health_paths.get(service)
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
