//! The control process of one VM: membership, spread of configuration, reading of the platform, and the feed
//! of this VM's entry and locate.
//!
//! Plain threads around one locked `state::State`; the decisions are `pointvane-mesh`'s.
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
