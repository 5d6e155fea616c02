//! Routing configuration of the node: routes, services, client accounts and limits for callers.
//!
//! These are data types only. A platform adapter creates them from what the platform publishes, and nodes
//! forward them to each other.

use {
    crate::{AccountRule, Name},
    serde::{Deserialize, Serialize},
    std::sync::Arc,
};

/// A complete published configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingConfiguration {
    /// Version assigned by the operators; larger is newer.
    pub version: u64,
    /// The routes, in no particular order.
    pub routes: Vec<Arc<RouteRule>>,
    /// The services that routes refer to.
    pub services: Vec<ServiceRule>,
    /// Limits for callers.
    pub limits: CallerLimits,
    /// The client accounts, in no particular order; `None` if callers need no API key.
    pub accounts: Option<Vec<Arc<AccountRule>>>,
}

/// How a route's requests may be repeated, and whether their bodies are large.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RouteKind {
    /// Requests may run more than once.
    Safe,
    /// Requests may run at most once.
    Unsafe,
    /// Requests with large bodies; otherwise like [`RouteKind::Unsafe`].
    Upload,
    /// Requests with large responses; otherwise like [`RouteKind::Safe`].
    Download,
}

impl RouteKind {
    /// Whether a request that may have run can be sent again.
    pub const fn is_repeatable(self) -> bool {
        matches!(self, Self::Safe | Self::Download)
    }
}

/// A route: which requests it matches, the services that run them, and how.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// The route's name, for logs and metrics.
    pub name: Name,
    /// `Host` that it matches, without port.
    pub host: Name,
    /// Path prefix that it matches; the longest matching prefix takes precedence.
    pub path_prefix: Name,
    /// Kind of its requests.
    pub kind: RouteKind,
    /// Timeout of a request, in milliseconds.
    pub timeout_ms: u64,
    /// Target latency, in milliseconds.
    pub target_latency_ms: u64,
    /// Maximum number of upstreams that one request may be sent to.
    pub attempts_max: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// The services that share its requests. Empty if the published entry names none; its requests cannot be
    /// served then.
    pub backends: Vec<WeightedService>,
    /// Whether callers need no API key even if client accounts are configured.
    pub public: bool,
    /// Regions whose upstreams may serve it; empty allows all regions.
    pub allowed_regions: Vec<Name>,
}

/// A service and its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: Name,
    /// Weight relative to the route's other services.
    pub weight: u32,
}

/// Settings of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRule {
    /// The service's name.
    pub name: Name,
    /// Path of its upstreams' health and load reports.
    pub health_path: Name,
    /// Rate that an upstream can take during warm-up, in requests per 1000 seconds; 0 means unlimited.
    pub cold_requests_per_1000_s: u64,
}

/// Limits for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes_max: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes_max: u64,
    /// Time within which a request head must be complete, in milliseconds.
    pub header_timeout_ms: u64,
    /// Maximum idle time of a keep-alive connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

/// Limits that apply while no configuration is known.
impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes_max: 16_384,
            body_bytes_max: 64 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
