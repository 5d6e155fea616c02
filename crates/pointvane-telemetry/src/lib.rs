//! Logs, metrics, time-line events and the operator port; the same in every program.
//!
//! Requests are counted, not logged. Events and log lines tell changes of state only.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod clock;
mod event;
mod log;
mod metrics;
mod operator;
mod program;

pub use {
    clock::{MonotonicClock, wall_ms},
    event::{Event, EventKind, EventLog, EventPage, Program},
    log::logger,
    metrics::Metrics,
    operator::{OperatorPort, OperatorState, serve_operator},
    program::{EXIT_FAULTY, ProgramArgs, settings_logger},
};
