//! The data path on each entry VM: an HTTP/1.1 reverse proxy in stages.
//!
//! A request is accepted, classified, looked up by its idempotency key if it has one, admitted, assigned to
//! an upstream, forwarded and answered. `pointvane-balance` takes the decisions without I/O; this crate does
//! the I/O around it. Server and client are `hyper`; docs/DESIGN.md gives the reasons and figures against
//! `rouille` and `ureq` on this path.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admit;
mod answer;
mod answer_wait;
mod body;
mod classify;
mod connections;
mod counters;
mod entry;
mod exchange;
mod feed;
mod forward;
mod handle;
mod head_notices;
mod kept_answer;
mod keyed;
mod maintain;
mod members;
mod notice_recorder;
mod outgoing;
mod request_body;
mod routes;
mod service;
mod status;
mod stop;
mod transitions;
mod try_upstream;

pub use {
    entry::Entry,
    status::{EntryStatus, ServiceStatus},
    stop::run,
};
