//! Messages between the control processes.

use {
    crate::{
        member::MemberRow,
        spread::{Stamp, Stored},
    },
    pointvane_core::Name,
    serde::{Deserialize, Serialize},
};

/// The newest values a process holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamps {
    /// Of the configuration.
    pub configuration: Stamp,
    /// Of the platform's list of VMs.
    pub vm_list: Stamp,
}

/// One datagram between controls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// The sender's own row.
    pub from: MemberRow,
    /// What it holds.
    pub stamps: Stamps,
    /// What it wants.
    pub payload: Payload,
    /// Rows of others that changed lately.
    pub rows: Vec<MemberRow>,
}

/// What a datagram wants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Answer with [`Payload::Ack`].
    Ping {
        /// Count of the sender's checks.
        sequence: u64,
    },
    /// The answer to a ping.
    Ack {
        /// The ping's count.
        sequence: u64,
    },
    /// Ping that VM for me, and pass its ack on.
    PingRequest {
        /// Count of the sender's checks.
        sequence: u64,
        /// The VM to ping.
        target: Name,
    },
    /// No answer is wanted; stamps and rows are the message.
    Announce,
}

/// A question on a stream between controls.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Send the configuration.
    Configuration,
    /// Send the list of VMs.
    VmList,
    /// Exchange all rows.
    Rows(Vec<MemberRow>),
}

/// The answer to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// A value, if one is held.
    Value(Option<Stored>),
    /// All rows.
    Rows(Vec<MemberRow>),
}
