//! The configuration in force: what an accepted file set says.

use {
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
}

/// Knowledge of load.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadOptions {
    /// Upstreams compared for one choice.
    pub choices: u8,
    /// Time in which half the trust in an observation of others' load is lost, as a share of the service's
    /// mean answer time.
    pub half_life_share: f64,
    /// Whether the load report in an upstream's answers is used.
    pub use_reports: bool,
    /// Probes that all entry VMs together may send one upstream each second.
    pub probes_per_s: f64,
    /// Path that an upstream answers with its load report.
    pub probe_path: Name,
    /// Age of the last sign that an upstream is not leaving, in milliseconds, beyond which it is asked first.
    pub evidence_ms: u64,
}

impl Default for LoadOptions {
    fn default() -> Self {
        Self {
            choices: 8,
            half_life_share: 0.3,
            use_reports: true,
            probes_per_s: 1.0,
            probe_path: "/load".into(),
            evidence_ms: 2_000,
        }
    }
}

/// Admission and queueing at an entry VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdmissionOptions {
    /// Requests an upstream may hold beyond its slots, as a share of the slots.
    pub queue_share: f64,
    /// Requests that may wait at one entry VM.
    pub queue_max: u32,
    /// Longest expected wait that is still accepted, in milliseconds.
    pub wait_max_ms: u64,
    /// One start in this many goes to routine work even while urgent work waits.
    pub routine_every: u8,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        Self { queue_share: 1.0, queue_max: 512, wait_max_ms: 100, routine_every: 8 }
    }
}

/// Retries of repeatable work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RetryOptions {
    /// Attempts of one request, the first included.
    pub attempts_max: u8,
    /// Retries earned by one success.
    pub budget_share: f64,
}

impl Default for RetryOptions {
    fn default() -> Self {
        Self { attempts_max: 3, budget_share: 0.1 }
    }
}

/// Hedges: a second attempt of slow repeatable work, on slack only.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HedgeOptions {
    /// Share of requests that may be hedged; 0 switches hedging off.
    pub budget_share: f64,
    /// Multiple of the usual answer time after which a hedge is considered.
    pub after_factor: f64,
    /// Share of its slots that an upstream may have in use and still take a hedge.
    pub slack_share: f64,
}

impl Default for HedgeOptions {
    fn default() -> Self {
        Self { budget_share: 0.1, after_factor: 2.0, slack_share: 0.7 }
    }
}

/// Ejection of failing upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EjectionOptions {
    /// Failures in a row that eject an upstream.
    pub failures: u8,
    /// First time of ejection, in milliseconds; doubled each time, up to 32 times.
    pub base_ms: u64,
    /// Largest share of a service's upstreams that may be ejected at once.
    pub share_max: f64,
    /// Time over which a returning or new upstream is brought to full weight, in milliseconds.
    pub warm_up_ms: u64,
}

impl Default for EjectionOptions {
    fn default() -> Self {
        Self { failures: 5, base_ms: 1_000, share_max: 0.5, warm_up_ms: 3_000 }
    }
}
