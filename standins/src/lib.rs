//! Small stand-ins for what surrounds pointvane, a load tool, and deployments of real processes on loopback.
//!
//! Not shipped. Used by the tests, the demo and the measurements.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod admin;
pub mod deployment;
pub mod load;
pub mod platform;
pub mod serve;
pub mod table;
pub mod upstream;
