//! Routing: maps a request's host and path to a route, and selects one of the route's services at random by
//! weight.
//!
//! Inputs: the configuration in force, and the host and path of the request. The longest matching path prefix
//! of the host wins. Requests of a route without services are assigned to a service that has no upstreams.
//! Tests: `the_longest_prefix_of_the_host_wins`, `a_split_gives_each_service_its_weight`.

use {
    crate::{
        access::{AccountTable, account_of},
        forwarded_request::ForwardedRequest,
    },
    pointvane_core::{
        AccountRule, CallerLimits, ErrorKind, KeyDigest, Name, Quota, RouteRule, RoutingConfiguration,
        ServiceRule,
    },
    rand::{Rng, rngs::SmallRng},
    std::{collections::HashMap, sync::Arc},
};

/// Service name for requests of routes without services; no upstream belongs to it.
const NO_SERVICE: &str = "";

/// The configuration in force, indexed for look-ups.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    version: u64,
    limits: CallerLimits,
    /// The routes of each host, longest path prefix first.
    by_host: HashMap<Name, Vec<Arc<RouteRule>>>,
    services: HashMap<Name, ServiceRule>,
    /// None if callers need no key.
    accounts: Option<AccountTable>,
}

/// A request's route, service and client account.
#[derive(Clone, Debug)]
pub struct RoutedRequest {
    /// The route.
    pub route: Arc<RouteRule>,
    /// The service that was selected for this request.
    pub service: Name,
    /// The version of the configuration by which it was routed.
    pub version: u64,
    /// The client account that the request is charged to, if any.
    pub account: Option<Arc<AccountRule>>,
}

impl RoutedRequest {
    /// Sets the client account, whose priority, if it has one, overrides the route's.
    pub fn with_account(self, account: Option<Arc<AccountRule>>) -> Self {
        let priority = account.as_ref().and_then(|account| account.priority);
        let route = match priority.filter(|priority| *priority != self.route.priority) {
            Some(priority) => Arc::new(RouteRule { priority, ..RouteRule::clone(&self.route) }),
            None => self.route,
        };
        Self { route, account, ..self }
    }
}

impl RoutedRequest {
    /// Applies the metadata of a forwarded request, if it is one: the service, if the route still
    /// has it, and the attempts that are left.
    pub fn handed_over(self, forwarded: Option<&ForwardedRequest>) -> Self {
        let Some(forwarded) = forwarded else { return self };
        let has_service = self.route.backends.iter().any(|backend| backend.service == forwarded.service);
        let service = if has_service { forwarded.service.clone() } else { self.service };
        let attempts_max = self.route.attempts_max.min(forwarded.attempts_left.max(1));
        let route = Arc::new(RouteRule { attempts_max, ..RouteRule::clone(&self.route) });
        Self { route, service, ..self }
    }
}

impl RouteTable {
    /// Builds the table of a configuration.
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
            accounts: configuration.accounts.map(AccountTable::new),
        }
    }

    /// The version of the configuration; 0 while there is none.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The configuration that the table was built from; the order of routes and services may differ.
    pub fn configuration(&self) -> RoutingConfiguration {
        RoutingConfiguration {
            version: self.version,
            routes: self.by_host.values().flatten().cloned().collect(),
            services: self.services.values().cloned().collect(),
            limits: self.limits,
            accounts: self.accounts.as_ref().map(|accounts| accounts.accounts().cloned().collect()),
        }
    }

    /// Whether client accounts, and with them keys of callers, are configured.
    pub fn has_accounts(&self) -> bool {
        self.accounts.is_some()
    }

    /// The quota of an account; none if the account has no quota or does not exist.
    pub fn quota(&self, account: &Name) -> Option<Quota> {
        self.accounts.as_ref()?.get(account)?.quota
    }

    /// The client account that a request of `route` is charged to, if any.
    ///
    /// # Errors
    /// [`ErrorKind::Unauthorized`] if the route requires a key and the one presented is missing or unknown.
    pub fn account_of(
        &self,
        route: &RouteRule,
        key: Option<&KeyDigest>,
    ) -> Result<Option<Arc<AccountRule>>, ErrorKind> {
        account_of(self.accounts.as_ref(), route, key)
    }

    /// The limits for callers' requests.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// The path on which a service's upstreams report their health and load.
    pub fn health_path(&self, service: &Name) -> Option<&Name> {
        self.services.get(service).map(|service| &service.health_path)
    }

    /// Maximum request rate of a cold upstream, in requests per second, for each service that limits it.
    pub fn cold_rates_per_s(&self) -> HashMap<Name, f64> {
        let limited = self.services.values().filter(|service| service.cold_requests_per_1000_s > 0);
        limited.map(|service| (service.name.clone(), service.cold_requests_per_1000_s as f64 / 1e3)).collect()
    }

    /// The route of a request; `host` is matched in any letter case and may include a port.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.by_host.get(host) {
            Some(routes) => routes,
            None => self.by_host.get(host.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(route.path_prefix.as_str()))
    }

    /// The route of a request and a service of it, selected at random by weight.
    pub fn route(&self, host: &str, path: &str, rng: &mut SmallRng) -> Option<RoutedRequest> {
        let route = self.find(host, path)?;
        let service = choose_service(route, rng).unwrap_or_else(|| Name::from(NO_SERVICE));
        Some(RoutedRequest { route: Arc::clone(route), service, version: self.version, account: None })
    }
}

/// Selects one of a route's services at random by weight; the first one if all weights are 0, and none if
/// there are no services.
fn choose_service(route: &RouteRule, rng: &mut SmallRng) -> Option<Name> {
    let total: u64 = route.backends.iter().map(|backend| u64::from(backend.weight)).sum();
    if total == 0 {
        return route.backends.first().map(|backend| backend.service.clone());
    }
    let mut offset = rng.random_range(0..total);
    for backend in &route.backends {
        let weight = u64::from(backend.weight);
        if offset < weight {
            return Some(backend.service.clone());
        }
        offset -= weight;
    }
    None
}
