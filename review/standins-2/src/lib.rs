//! Stand-ins of the second review, on the standard library alone: the platform's store, instances, clients, and
//! the start of the nodes. All of them speak what PROTOCOL.md says, on loopback addresses.

pub mod client;
pub mod deploy;
pub mod http;
pub mod instance;
pub mod record;
pub mod store;
