//! One process a VM: it takes callers' requests, tells callers which VMs to use, says whether it is ready, and
//! keeps in touch with the other nodes.
//!
//! Decisions are those of `pointvane-dispatch` and `pointvane-mesh`; this crate is the shell around them, on one
//! thread. The platform's manner of speaking comes in through [`pointvane_core::PlatformAdapter`].
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod answer;
mod attempt;
mod belief;
mod body;
mod budgets;
mod connections;
mod directory;
mod exchange;
mod feed;
mod forward;
mod gossip;
mod headers;
mod in_flight;
mod node;
mod operator;
mod peers;
mod probe;
mod publication;
mod relay;
mod report;
mod request;
mod run;
mod serve;
mod settings;
mod socket;
mod state_exchange;
mod stop;
mod times;
mod traffic;

pub use {
    run::run,
    settings::{NodeLimits, NodeSettings},
};
