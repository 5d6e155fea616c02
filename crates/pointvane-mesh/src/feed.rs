//! Messages between a VM's control and its entry and locate, on a stream over the VM's own address.

use {
    crate::{member::MemberRow, spread::Stored},
    pointvane_core::{Incarnation, Name},
    serde::{Deserialize, Serialize},
};

/// Which program opens a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedRole {
    /// The VM's entry; it sends an [`EntryReport`] from time to time.
    Entry,
    /// The VM's locate.
    Locate,
    /// Another VM's control; it sends a [`crate::PeerRequest`].
    Peer,
}

/// First message on a stream to a control.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedHello {
    /// Which program.
    pub role: FeedRole,
}

/// A report of an entry to its control.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryReport {
    /// The entry process's life.
    pub incarnation: Incarnation,
    /// Requests it holds.
    pub requests: u32,
    /// Whether it is stopping as planned.
    pub leaving: bool,
}

/// One VM in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedVm {
    /// The name of the upstream or entry VM.
    pub name: Name,
    /// Whether it is leaving.
    pub leaving: bool,
}

/// The platform's list of live and leaving VMs; its published form is this as JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmList {
    /// The VMs.
    pub vms: Vec<ListedVm>,
}

/// An update of a control for its entry and locate.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedUpdate {
    /// The configuration in force from now on.
    Configuration(Stored),
    /// All members.
    Members(Vec<MemberRow>),
    /// The platform's list.
    VmList(VmList),
    /// Nothing new; the control is there.
    Beat,
}
