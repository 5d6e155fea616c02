//! The control process of a VM: takes part in membership, distributes configurations, reads the platform and
//! feeds this VM's entry and locate processes.
//!
//! Threads share one `state::State` behind a mutex; `pointvane-mesh` implements the protocols.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod counters;
mod fetch;
mod gossip;
mod platform;
mod reader;
mod run;
mod serve;
mod state;
mod status;
mod value;

pub use {platform::HttpPlatform, run::run};
