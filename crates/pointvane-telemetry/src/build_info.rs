//! What a program was built from, so that its logs and status tell which code ran.

use serde::Serialize;

/// The build of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct BuildInfo {
    /// Version of the package.
    pub version: &'static str,
    /// Abbreviated commit, with `-modified` if the sources differed from it; `unknown` outside a checkout.
    pub commit: &'static str,
    /// Processor architecture that it was built for, as Rust names it.
    pub machine: &'static str,
}
