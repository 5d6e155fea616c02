//! The decisions of pointvane, free of I/O, threads, clocks and ambient randomness.
//!
//! Events and the time come in, decisions go out. One [`ServiceBalancer`] decides for one service at one
//! entry VM; one [`KeyTable`] remembers the non-repeatable work of one entry incarnation.
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
    admission::{Admission, Arrival, Waiting},
    keys::{Kept, KeyDecision, KeyEnd, KeyTable, KeyTableOptions},
    service::{AttemptEnd, AttemptResult, Decision, Dispatch, ServiceBalancer, UpstreamSummary},
};
