//! The configuration in force: what an accepted file set says.

use {
    crate::service_options::{AdmissionOptions, EjectionOptions, HedgeOptions, LoadOptions, RetryOptions},
    pointvane_core::Name,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// One accepted file set.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// The operators' count of accepted file sets; larger is newer.
    pub revision: u64,
    /// Limits that hold for the fleet of entry VMs.
    pub limits: FleetLimits,
    /// The services, by name.
    pub services: Vec<Service>,
}

/// Limits that hold for the fleet of entry VMs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetLimits {
    /// Most entry VMs that may ever run at once; shares of fleet-wide budgets are worked out from it.
    pub entry_vms_max: u32,
    /// Bytes of control traffic that one entry VM may send each second, IP and UDP heads included.
    pub control_bytes_per_s: u32,
    /// How long callers may keep locate's answer, in milliseconds.
    pub locate_keep_ms: u64,
    /// How long an idempotency key lives, in milliseconds.
    pub key_life_ms: u64,
}

impl Default for FleetLimits {
    fn default() -> Self {
        Self { entry_vms_max: 1, control_bytes_per_s: 18_000, locate_keep_ms: 5_000, key_life_ms: 600_000 }
    }
}

/// How an upstream is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Policy {
    /// Any upstream.
    Random,
    /// Each in turn.
    RoundRobin,
    /// The fewest of this entry VM's own requests.
    LocalLeast,
    /// The better of two by this entry VM's own requests.
    LocalTwoChoices,
    /// The better of a few by the load of all entry VMs.
    Shared,
}

impl Policy {
    /// The names used in files.
    pub const NAMES: [(&'static str, Self); 5] = [
        ("shared", Self::Shared),
        ("random", Self::Random),
        ("round-robin", Self::RoundRobin),
        ("local-least", Self::LocalLeast),
        ("local-two-choices", Self::LocalTwoChoices),
    ];
}

/// One service and the rules for sending work to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The service's name.
    pub name: Name,
    /// Which requests are the service's.
    pub route: Route,
    /// How an upstream is chosen.
    pub policy: Policy,
    /// Deadline of a request that names none, in milliseconds.
    pub deadline_ms: u64,
    /// Entry VMs that callers are sent to, the same ones by every locate; 0 for all.
    pub home_vms: u32,
    /// The upstreams, by name.
    pub upstreams: Vec<Upstream>,
    /// Knowledge of load.
    pub load: LoadOptions,
    /// Admission and queueing.
    pub admission: AdmissionOptions,
    /// Retries.
    pub retry: RetryOptions,
    /// Hedges.
    pub hedge: HedgeOptions,
    /// Ejection of failing upstreams.
    pub ejection: EjectionOptions,
}

/// Which requests are a service's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// `Host` names, without port; empty for any.
    pub hosts: Vec<Name>,
    /// Prefix of the path.
    pub path_prefix: Name,
}

/// One upstream of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// The upstream's name, unique in its service.
    pub name: Name,
    /// The data centre it stands in.
    pub data_centre: Name,
    /// Where it serves.
    pub address: SocketAddr,
    /// Requests it runs at once.
    pub slots: u16,
    /// Whether operators are emptying its data centre: it gets no new work.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub evacuated: bool,
}
