//! Messages between control processes or nodes.

use {
    crate::{
        member::MemberRow,
        replication::{Stamp, StampedValue},
    },
    pointvane_core::Name,
    serde::{Deserialize, Serialize},
};

/// Stamps of the newest values that a process holds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamps {
    /// Stamp of the configuration.
    pub configuration: Stamp,
    /// Stamp of the platform's list of VMs.
    pub vm_list: Stamp,
}

/// A membership datagram between control processes or nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GossipMessage {
    /// The sender's own row.
    pub from: MemberRow,
    /// Stamps of the values that the sender holds.
    pub stamps: Stamps,
    /// Kind of the message.
    pub payload: Payload,
    /// Recently changed rows of other members.
    pub rows: Vec<MemberRow>,
}

/// Kind of a membership datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// Requests an [`Payload::Ack`].
    Ping {
        /// Sequence number of the sender's ping; 0 if the sender does not wait for the ack.
        sequence: u64,
    },
    /// Acknowledges a ping, or reports that the target of a ping-req acknowledged one.
    Ack {
        /// Sequence number of the ping or ping-req.
        sequence: u64,
    },
    /// Ping-req: requests that the receiver pings another VM and forwards its ack.
    PingRequest {
        /// Sequence number of the sender's own ping of the target.
        sequence: u64,
        /// The VM to ping.
        target: Name,
    },
    /// Delivers stamps and rows only; not answered.
    Announce,
}

/// Request on a stream between control processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Requests the configuration.
    Configuration,
    /// Requests the platform's list of VMs.
    VmList,
    /// Sends all rows and requests those of the receiver.
    Rows(Vec<MemberRow>),
}

/// The answer to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// The requested value, if the process holds one.
    Value(Option<StampedValue>),
    /// All rows of the process.
    Rows(Vec<MemberRow>),
}
