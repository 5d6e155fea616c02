//! What nodes and the coordinators of accounts tell each other of quotas.

use {
    crate::replica::fan_out::Segment,
    pointvane_core::Name,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Accounts in one datagram at most: with names of up to 64 bytes they fit.
pub const ACCOUNTS_MAX: usize = 16;

/// Parts of the window by which requests are reported.
pub const FIFTHS: usize = 5;

/// Parts of a whole in the shares of messages.
pub const PER_MILLE: f32 = 1_000.0;

/// A datagram between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// What the sender uses of some accounts, for their coordinator.
    Usage {
        /// The life of the sender; a later life begins to count anew.
        life: u64,
        /// The accounts.
        accounts: Vec<AccountUsage>,
    },
    /// How much of the requests of some accounts may be admitted.
    Shares {
        /// The coordinator.
        origin: SocketAddr,
        /// The range of nodes that the receiver forwards it to.
        segment: Segment,
        /// The accounts.
        accounts: Vec<AccountShare>,
    },
    /// The sender coordinates accounts together with the receiver, and lives.
    Heartbeat {
        /// Where the sender takes these messages, as it is advertised: what its datagrams come from may differ.
        origin: SocketAddr,
        /// Whether the receiver is to send one back.
        wants_reply: bool,
    },
}

/// What one node uses of an account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountUsage {
    /// The account.
    pub account: Name,
    /// Requests that the node admitted within the window, by fifths of it, the last one first.
    pub admitted: [u32; FIFTHS],
    /// Requests in a thousand seconds that ask to be admitted there now.
    pub offered_per_1000_s: u32,
    /// What a coordinator said last of the requests that all nodes have admitted.
    pub told: Option<ToldUse>,
}

/// What a node was told of the use of an account, for a coordinator that does not know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldUse {
    /// Part of the quota that was used, in thousandths.
    pub used_per_mille: u16,
    /// How long ago it was told, in milliseconds.
    pub ago_ms: u32,
}

/// How much of an account's requests each node may admit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountShare {
    /// The account.
    pub account: Name,
    /// The part of the requests, in thousandths.
    pub share_per_mille: u16,
    /// The part of the quota that is used, in thousandths.
    pub used_per_mille: u16,
    /// When a caller that is refused should retry, in milliseconds.
    pub retry_after_ms: u32,
}
