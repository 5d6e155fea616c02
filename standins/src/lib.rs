//! Stand-ins for the platform and the upstreams, a load generator, and deployments of the real programs on
//! loopback addresses.
//!
//! Used by the integration tests, the demo and the benchmarks; not part of a release.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admin;
pub mod deployment;
pub mod load;
pub mod platform;
pub mod raw_upstream;
pub mod serve;
pub mod table;
pub mod upstream;
