//! Logs, metrics, time-line events and the operator port; the same in every program.
//!
//! Entry, control and locate count requests and log changes of state only. A node logs decisions on requests too,
//! bounded by a [`LineGate`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod clock;
mod event;
mod event_log;
mod gate;
mod log;
mod metrics;
mod operator;
mod program;

pub use {
    clock::{Moment, MonotonicClock, wall_ms},
    event::{Event, EventKind, Program},
    event_log::{EventLog, EventPage, LineForm},
    gate::{GateDecision, LineGate, LineGateOptions},
    log::{LineFlush, logger, stdout_logger},
    metrics::Metrics,
    operator::{OperatorPort, OperatorState, serve_operator},
    program::{EXIT_FAULTY, ProgramArgs, settings_logger},
};
