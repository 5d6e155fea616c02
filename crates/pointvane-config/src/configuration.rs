//! Data model of the configuration that an accepted file set describes.

use {
    crate::service_options::{AdmissionOptions, EjectionOptions, HedgeOptions, LoadOptions, RetryOptions},
    pointvane_core::Name,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// The contents of one accepted file set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// Revision number, raised by operators with each published file set; larger is newer.
    pub revision: u64,
    /// Fleet-wide limits.
    pub limits: FleetLimits,
    /// The services, sorted by name.
    pub services: Vec<Service>,
}

/// Limits that apply to the whole fleet of entry VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetLimits {
    /// Maximum number of entry VMs that run at once; fleet-wide budgets are divided by it.
    pub entry_vms_max: u32,
    /// Bytes of control traffic that one entry VM may send per second, IP and UDP headers included.
    pub control_bytes_per_s: u32,
    /// How long callers may cache an answer of the locate service, in milliseconds.
    pub locate_keep_ms: u64,
    /// Lifetime of an idempotency key, in milliseconds.
    pub key_life_ms: u64,
}

impl Default for FleetLimits {
    fn default() -> Self {
        Self { entry_vms_max: 1, control_bytes_per_s: 18_000, locate_keep_ms: 5_000, key_life_ms: 600_000 }
    }
}

/// Load-balancing policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Policy {
    /// A random upstream.
    Random,
    /// Upstreams in turn.
    RoundRobin,
    /// The upstream with the fewest requests in flight from this entry VM.
    LocalLeast,
    /// The better of two upstreams by requests in flight from this entry VM.
    LocalTwoChoices,
    /// The best of a few upstreams by the load from all entry VMs.
    Shared,
}

impl Policy {
    /// Policies by their names in configuration files.
    pub const NAMES: [(&'static str, Self); 5] = [
        ("shared", Self::Shared),
        ("random", Self::Random),
        ("round-robin", Self::RoundRobin),
        ("local-least", Self::LocalLeast),
        ("local-two-choices", Self::LocalTwoChoices),
    ];
}

/// One service and the rules for routing requests to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The service's name.
    pub name: Name,
    /// Which requests are routed to the service.
    pub route: Route,
    /// Load-balancing policy.
    pub policy: Policy,
    /// Deadline of requests that do not set one, in milliseconds.
    pub deadline_ms: u64,
    /// Number of entry VMs that callers are sent to, 0 for all; every locate process selects the same ones.
    pub home_vms: u32,
    /// The service's upstreams.
    pub upstreams: Vec<Upstream>,
    /// Load tracking.
    pub load: LoadOptions,
    /// Admission and queueing.
    pub admission: AdmissionOptions,
    /// Retry limits.
    pub retry: RetryOptions,
    /// Hedged requests.
    pub hedge: HedgeOptions,
    /// Ejection of failing upstreams.
    pub ejection: EjectionOptions,
}

/// Matches the requests of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Values of the `Host` header, without port; empty matches any host.
    pub hosts: Vec<Name>,
    /// Prefix of the request path.
    pub path_prefix: Name,
}

/// One upstream of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// The upstream's name, unique in its service.
    pub name: Name,
    /// The data centre that it runs in.
    pub data_centre: Name,
    /// Address that it serves requests on.
    pub address: SocketAddr,
    /// Number of requests that it processes at once.
    pub slots: u16,
    /// Whether operators have evacuated its data centre; evacuated upstreams get no new requests.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub evacuated: bool,
}
