//! Class of a request, and the headers of the three programs.

use serde::{Deserialize, Serialize};

/// How urgent a request is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Class {
    /// Goes ahead of routine work, up to a share.
    Urgent,
    /// Everything else.
    #[default]
    Routine,
}

impl Class {
    /// Number of classes.
    pub const COUNT: usize = 2;

    /// Reads the value of the class header.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "urgent" => Some(Self::Urgent),
            "routine" => Some(Self::Routine),
            _ => None,
        }
    }

    /// The class's name in headers and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Routine => "routine",
        }
    }
}

/// Names of the headers between callers, entry VMs and upstreams.
pub mod header {
    /// Request: `urgent` or `routine`.
    pub const CLASS: &str = "pointvane-class";
    /// Request: milliseconds the caller will still wait; passed on reduced by the time spent.
    pub const DEADLINE_MS: &str = "pointvane-deadline-ms";
    /// Request: the idempotency key.
    pub const KEY: &str = "idempotency-key";
    /// Request between entry VMs: marks one already passed on, so that it is passed on only once.
    pub const FORWARDED_BY: &str = "pointvane-forwarded-by";
    /// Answer: `answered`, `not-run` or `unknown`.
    pub const OUTCOME: &str = "pointvane-outcome";
    /// Answer: the error kind when the system itself answers.
    pub const ERROR: &str = "pointvane-error";
    /// Answer of an upstream: its load, in the text form of the ORCA load report.
    pub const LOAD: &str = "endpoint-load-metrics";
}
