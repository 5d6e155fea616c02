//! The data path on each entry VM: an HTTP/1.1 reverse proxy in stages.
//!
//! A request is accepted, classified, looked up by its idempotency key if it has one, admitted, assigned to
//! an upstream, forwarded and answered. `pointvane-balance` takes the decisions without I/O; this crate does
//! the I/O around it. Server and client are `hyper`; docs/DESIGN.md gives the reasons and figures against
//! `rouille` and `ureq` on this path.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod admit;
mod attempt;
mod classify;
mod connection_pool;
mod counters;
mod entry;
mod feed;
mod forward;
mod handle;
mod keyed;
mod load_exchange;
mod maintain;
mod malformed_responses;
mod members;
mod notice_recorder;
mod outgoing;
mod request_body;
mod response;
mod response_body;
mod response_wait;
mod routes;
mod service;
mod status;
mod stop;
mod stored_response;
mod transitions;
mod upstream_notices;

pub use {
    entry::Entry,
    status::{EntryStatus, ServiceStatus},
    stop::run,
};
