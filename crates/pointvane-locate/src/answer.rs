//! The answer to a caller, as JSON; docs/CALLERS.md describes it.

use {
    pointvane_core::Name,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Which entry VMs to use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocateAnswer {
    /// The service that was asked for.
    pub service: Name,
    /// How long the answer may be kept, in milliseconds.
    pub keep_ms: u64,
    /// Entry VMs, the one to try first at the head.
    pub entries: Vec<EntryAddress>,
}

/// One entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAddress {
    /// The VM's name.
    pub vm: Name,
    /// The VM's data centre.
    pub data_centre: Name,
    /// Where its entry serves.
    pub address: SocketAddr,
    /// What keys for work at this entry begin with.
    pub key_prefix: String,
}
