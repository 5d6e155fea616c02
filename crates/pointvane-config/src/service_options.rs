//! Options of a service in a file set, with their defaults. docs/DESIGN.md gives the reasons for them.

use {
    pointvane_core::Name,
    serde::{Deserialize, Serialize},
};

/// Load tracking of upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadOptions {
    /// Number of upstreams compared for one request.
    pub choices: u8,
    /// Half-life of the weight of load observed from other entry VMs, as a share of the service's mean
    /// response time.
    pub half_life_share: f64,
    /// Whether load reports in upstream responses are used.
    pub use_reports: bool,
    /// Maximum rate of probes to one upstream from all entry VMs together, per second.
    pub probes_per_s: f64,
    /// Path on which an upstream serves its load report.
    pub probe_path: Name,
    /// Maximum age of the last evidence that an upstream is not leaving, in milliseconds; an upstream with
    /// older evidence is queried before it gets a request.
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

/// Admission control and queueing on an entry VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdmissionOptions {
    /// Number of requests that an upstream may hold beyond its slots, as a share of the slots.
    pub queue_share: f64,
    /// Maximum number of requests queued on one entry VM.
    pub queue_max: u32,
    /// Maximum expected queueing time of an admitted request, in milliseconds.
    pub wait_max_ms: u64,
    /// One in this many dequeued requests is routine even while urgent ones wait.
    pub routine_every: u8,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        Self { queue_share: 1.0, queue_max: 512, wait_max_ms: 100, routine_every: 8 }
    }
}

/// Retries of requests that are safe to repeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RetryOptions {
    /// Maximum number of attempts per request, including the first.
    pub attempts_max: u8,
    /// Retries added to the retry budget per successful request.
    pub budget_share: f64,
}

impl Default for RetryOptions {
    fn default() -> Self {
        Self { attempts_max: 3, budget_share: 0.1 }
    }
}

/// Hedging: a second attempt of a slow request that is safe to repeat, sent only to upstreams with spare
/// capacity.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HedgeOptions {
    /// Maximum share of requests that are hedged; 0 disables hedging.
    pub budget_share: f64,
    /// Multiple of the typical response time after which a hedge is considered.
    pub after_factor: f64,
    /// Maximum share of an upstream's slots that are in use when it is sent a hedge.
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
    /// Number of consecutive failures after which an upstream is ejected.
    pub failures: u8,
    /// Duration of the first ejection, in milliseconds; doubled by each further ejection up to 32 times this
    /// value.
    pub base_ms: u64,
    /// Maximum share of a service's upstreams that are ejected at once.
    pub share_max: f64,
    /// Time over which the weight of a new or returning upstream rises to its full value, in milliseconds.
    pub warm_up_ms: u64,
}

impl Default for EjectionOptions {
    fn default() -> Self {
        Self { failures: 5, base_ms: 1_000, share_max: 0.5, warm_up_ms: 3_000 }
    }
}
