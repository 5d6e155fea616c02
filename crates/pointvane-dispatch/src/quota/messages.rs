//! Quota messages between nodes and the coordinators of accounts.

use {
    crate::replica::fan_out::Segment,
    pointvane_core::Name,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Maximum number of accounts in one datagram. This many fit even if each name has 64 bytes.
pub const ACCOUNTS_PER_DATAGRAM_MAX: usize = 16;

/// Number of equal parts of the window by which admitted requests are reported.
pub const FIFTHS: usize = 5;

/// Value of a share of 100 %: shares in messages are in thousandths.
pub const PER_MILLE: f32 = 1_000.0;

/// A datagram between nodes. Encoded by position: the order of variants and fields is part of the wire
/// format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// Usage report of the sender for some accounts, to one of their coordinators.
    Usage {
        /// Incarnation of the sender's process. Each incarnation counts from zero.
        incarnation: u64,
        /// Usage by account.
        accounts: Vec<AccountUsage>,
    },
    /// Shares of the requests of some accounts that nodes may admit.
    Shares {
        /// Address of the coordinator that computed the shares.
        origin: SocketAddr,
        /// Range of nodes that the receiver forwards the message to.
        segment: Segment,
        /// Shares by account.
        accounts: Vec<AccountShare>,
    },
    /// Liveness message between two coordinators of the same accounts.
    Heartbeat {
        /// Advertised address at which the sender receives heartbeats; the source address of its datagrams
        /// may differ.
        origin: SocketAddr,
        /// Whether the receiver should reply with a heartbeat.
        wants_reply: bool,
    },
}

/// Usage of an account at one node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountUsage {
    /// Name of the account.
    pub account: Name,
    /// Requests that the node admitted within the window, by fifths of the window, the most recent first.
    pub admitted: [u32; FIFTHS],
    /// Mean position of these requests within each fifth, in thousandths: 0 at its most recent end.
    pub mean_age_per_mille: [u16; FIFTHS],
    /// Current rate of requests offered at the node, admitted or not, in requests per 1000 s.
    pub offered_per_1000_s: u32,
    /// Fleet-wide usage that a coordinator last sent to the node.
    pub fleet_usage: Option<FleetUsage>,
}

/// Fleet-wide usage of an account, passed on by a node to a coordinator that may not know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetUsage {
    /// Used part of the quota, in thousandths.
    pub used_per_mille: u16,
    /// Age of this value, in milliseconds.
    pub age_ms: u32,
}

/// Share of an account's requests that each node may admit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountShare {
    /// Name of the account.
    pub account: Name,
    /// Share of the requests to admit, in thousandths.
    pub share_per_mille: u16,
    /// Used part of the quota over all nodes, in thousandths.
    pub used_per_mille: u16,
    /// Delay after which refused callers should retry, in milliseconds.
    pub retry_after_ms: u32,
}
