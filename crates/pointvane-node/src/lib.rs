//! The node: one process per VM that forwards callers' requests, serves directory lookups and readiness
//! checks, and exchanges state with the other nodes.
//!
//! `pointvane-dispatch` and `pointvane-mesh` make the decisions without I/O; this crate performs the I/O
//! around them on a single thread. [`pointvane_core::PlatformAdapter`] translates the platform's formats.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod access;
mod admission;
mod answer;
mod attempt;
mod body;
mod body_buffer;
mod caller_connection;
mod connection_metrics;
mod connections;
mod contention_loop;
mod crash_check;
mod cross_traffic;
mod directory;
mod dispatcher;
mod end_check;
mod exchange;
mod fleet;
mod forward;
mod gossip_loop;
mod head_wait;
mod headers;
mod idle_connections;
mod in_flight;
mod lifecycle;
mod limit_loop;
mod memory;
mod memory_loop;
mod node;
mod notices;
mod operator;
mod path;
mod peer_attempt;
mod peer_requests;
mod pipeline;
mod probe;
mod probe_table;
mod quarantine;
mod quarantine_loop;
mod quota;
mod quota_loop;
mod reachability;
mod read_ahead;
mod reader_roles;
mod replica;
mod report;
mod request;
mod request_head;
mod request_scan;
mod response_deadline;
mod run;
mod serve;
mod served;
mod settings;
mod snapshot;
mod socket;
mod stop;
mod traffic;
mod upstream_stream;

pub use {
    run::run,
    settings::{NodeLimits, NodeSettings},
};
