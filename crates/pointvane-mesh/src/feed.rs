//! Messages between a VM's control process and its entry and locate processes, on a stream over the VM's own
//! address.

use {
    crate::{member::MemberRow, replication::StampedValue},
    pointvane_core::{Incarnation, Name},
    serde::{Deserialize, Serialize},
};

/// The program that opens a stream to a control process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedRole {
    /// The VM's entry process; it sends an [`EntryReport`] periodically.
    Entry,
    /// The VM's locate process.
    Locate,
    /// The control process of another VM; it sends a [`crate::PeerRequest`].
    Peer,
}

/// First message on a stream to a control process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedHello {
    /// The program that opened the stream.
    pub role: FeedRole,
}

/// Status report of an entry process to its control process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryReport {
    /// Incarnation of the entry process.
    pub incarnation: Incarnation,
    /// Number of requests in flight and waiting.
    pub requests: u32,
    /// Whether the process is shutting down gracefully.
    pub leaving: bool,
}

/// One VM in the platform's list of VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// Name of the upstream or entry VM.
    pub name: Name,
    /// Whether the VM is leaving the fleet.
    pub leaving: bool,
}

/// The platform's list of live and leaving VMs. It is published as JSON of this type.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// The VMs.
    pub vms: Vec<ListedVm>,
}

/// Update sent by a control process to its entry and locate processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedUpdate {
    /// The configuration that applies from now on.
    Configuration(StampedValue),
    /// Rows of all members; replaces the previous ones.
    Members(Vec<MemberRow>),
    /// The platform's list of VMs; replaces the previous one.
    VmList(VmList),
    /// Keep-alive: nothing has changed and the control process is running.
    Beat,
}
