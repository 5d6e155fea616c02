//! Request class, and the HTTP headers of the entry, control and locate programs.

use serde::{Deserialize, Serialize};

/// Urgency class of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Class {
    /// Takes precedence over routine requests, up to a share of the capacity.
    Urgent,
    /// All other requests.
    #[default]
    Routine,
}

impl Class {
    /// Number of classes.
    pub const COUNT: usize = 2;

    /// Parses the value of the [`header::CLASS`] header; `None` if it is not a class.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "urgent" => Some(Self::Urgent),
            "routine" => Some(Self::Routine),
            _ => None,
        }
    }

    /// Name of the class in headers and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Routine => "routine",
        }
    }
}

/// Names of the HTTP headers between callers, entry VMs and upstreams.
pub mod header {
    /// Request: `urgent` or `routine`.
    pub const CLASS: &str = "pointvane-class";
    /// Request: remaining time for which the caller waits, in milliseconds; reduced by the time spent when
    /// forwarded.
    pub const DEADLINE_MS: &str = "pointvane-deadline-ms";
    /// Request: the idempotency key.
    pub const KEY: &str = "idempotency-key";
    /// Request between entry VMs: marks a request that has been forwarded, so that it is forwarded only once.
    pub const FORWARDED_BY: &str = "pointvane-forwarded-by";
    /// Response: `answered`, `not-run` or `unknown`.
    pub const OUTCOME: &str = "pointvane-outcome";
    /// Response: the error kind, if pointvane itself responds.
    pub const ERROR: &str = "pointvane-error";
    /// Response of an upstream: its load, in the text format of ORCA load reports.
    pub const LOAD: &str = "endpoint-load-metrics";
}
