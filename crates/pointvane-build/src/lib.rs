//! What the programs were built from. Only the programs' `main.rs` depend on this crate, so that a new commit does
//! not rebuild the libraries.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use pointvane_telemetry::BuildInfo;

/// The build of this program.
pub const BUILD: BuildInfo = BuildInfo {
    version: env!("CARGO_PKG_VERSION"),
    commit: env!("POINTVANE_COMMIT"),
    machine: env!("POINTVANE_MACHINE"),
};

/// The same as `--version` prints it.
pub const VERSION: &str =
    concat!(env!("CARGO_PKG_VERSION"), " (", env!("POINTVANE_COMMIT"), ", ", env!("POINTVANE_MACHINE"), ")");
