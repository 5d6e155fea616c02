//! Logging, metrics, timeline events and the operator port, shared by all programs.
//!
//! Entry, control and locate count requests and log state changes only. A node also logs decisions on single
//! requests, rate-limited by a [`LogRateLimiter`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod build_info;
mod clock;
mod event;
mod event_log;
mod log;
mod metrics;
mod operator;
mod program;
mod rate_limiter;

pub use {
    build_info::BuildInfo,
    clock::{BootInstant, MonotonicClock, unix_time_ms},
    event::{Event, EventKind, Program},
    event_log::{EventLog, EventPage, LineLayout},
    log::{LineFlush, logger, stdout_logger},
    metrics::Metrics,
    operator::{OperatorPort, OperatorState, serve_operator},
    program::{EXIT_INVALID_INPUT, ProgramArgs, settings_logger},
    rate_limiter::{LineDecision, LogRateLimiter, LogRateLimits},
};
