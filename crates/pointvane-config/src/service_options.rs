//! Options of a service in a file set, with their defaults.
//!
//! Figures that were measured are in docs/MEASUREMENTS.md, "Choosing" and after; the reasons are in docs/DESIGN.md.

use {
    pointvane_core::Name,
    serde::{Deserialize, Serialize},
};

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
