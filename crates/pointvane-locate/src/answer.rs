//! JSON answer to a lookup; docs/CALLERS.md describes it.

use {
    pointvane_core::Name,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Answer to a lookup: the entry VMs to use for a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LocateAnswer {
    /// Name of the service.
    pub service: Name,
    /// How long the caller may cache the answer, in milliseconds.
    pub keep_ms: u64,
    /// Entry VMs in the order in which to try them.
    pub entries: Vec<EntryAddress>,
}

/// One entry VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAddress {
    /// Name of the VM.
    pub vm: Name,
    /// Data centre of the VM.
    pub data_centre: Name,
    /// Address of the VM's entry.
    pub address: SocketAddr,
    /// Prefix of idempotency keys for requests to this entry.
    pub key_prefix: String,
}
