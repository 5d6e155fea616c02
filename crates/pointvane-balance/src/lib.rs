//! Load balancing, admission control and idempotency keys of an entry VM.
//!
//! The crate performs no I/O, starts no threads, reads no clock and draws randomness only from seeds that the
//! caller passes in. Callers pass events and the current time in microseconds and get decisions back. One
//! [`ServiceBalancer`] decides for one service on one entry VM; one [`KeyTable`] records the non-repeatable
//! requests of one entry incarnation.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admission;
mod chooser;
mod estimate;
mod evidence;
mod health;
mod keys;
mod service;
mod trust;
mod upstream;

pub use {
    admission::{AdmissionQueue, Arrival, QueuedRequest},
    keys::{KeyDecision, KeyOutcome, KeyTable, KeyTableOptions, ResponseSize},
    service::{AttemptOutcome, AttemptResult, Decision, Dispatch, ServiceBalancer, UpstreamSummary},
};
