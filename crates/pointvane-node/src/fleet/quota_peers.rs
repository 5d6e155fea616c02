//! Peers that share the quotas of client accounts, and the nodes that coordinate each account.

use {
    super::Fleet,
    crate::settings::NodeSettings,
    pointvane_core::{Name, US_PER_MS, VmState},
    pointvane_dispatch::{FleetView, Forwarder, Segment},
    pointvane_mesh::{MemberRow, rank},
    std::{cmp::Reverse, net::SocketAddr},
};

/// Offset of the quota message port from the gossip port.
pub const QUOTA_PORT_OFFSET: u16 = 3;
/// Number of nodes that coordinate an account: two, so that one may fail.
const COORDINATORS: usize = 2;

/// Number of nodes that stand in for the coordinators of an account when these do not answer. Several, since a
/// partition that cuts off the coordinators may cut off some of these as well.
const SUBSTITUTES: usize = 5;
/// Time without a datagram from any other node after which this node admits only its part of a quota, in
/// milliseconds: two ping intervals and a round trip.
const QUOTA_ISOLATION_TIMEOUT_MS: u64 = 850;

/// A node that coordinates an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoordinatorNode {
    /// This node.
    Own,
    /// Another node, which receives usage reports at this address.
    Other(SocketAddr),
}

impl CoordinatorNode {
    /// The address of another node; `None` for this node.
    pub fn other(self) -> Option<SocketAddr> {
        match self {
            Self::Own => None,
            Self::Other(address) => Some(address),
        }
    }
}

impl Fleet {
    /// This node's view of the fleet. Dead nodes that did not shut down gracefully are counted, since they
    /// may be alive on the other side of a network partition.
    pub fn view(&self, settings: &NodeSettings, now_us: u64) -> FleetView {
        let has_others = settings.seeds.iter().any(|seed| *seed != settings.gossip);
        if !self.received_any_datagram.get() {
            let nodes = (!has_others).then_some(1);
            return FleetView { connected: !has_others, nodes, reachable_share: 1.0 };
        }
        let membership = self.membership.borrow();
        let has_left =
            |row: &MemberRow| row.state == VmState::Leaving || row.entry.is_some_and(|entry| entry.leaving);
        let remaining = || membership.rows().filter(|row| !has_left(row));
        let reached = remaining().filter(|row| row.state != VmState::Dead).count().max(1);
        let nodes = remaining().count().max(1);
        FleetView {
            connected: self.silence_us(now_us) < QUOTA_ISOLATION_TIMEOUT_MS * US_PER_MS,
            nodes: Some(nodes),
            reachable_share: reached as f64 / nodes as f64,
        }
    }

    /// Whether no datagram from another node arrived within the isolation timeout.
    pub(super) fn is_isolated(&self, now_us: u64) -> bool {
        self.silence_us(now_us) >= super::ISOLATION_TIMEOUT_MS * US_PER_MS
    }

    /// Time since the last datagram from another node, in microseconds.
    fn silence_us(&self, now_us: u64) -> u64 {
        now_us.saturating_sub(self.last_datagram_at_us.get())
    }

    /// The nodes that coordinate an account.
    pub fn coordinators(&self, account: &Name) -> Vec<CoordinatorNode> {
        self.highest_ranked(account, COORDINATORS)
    }

    /// The nodes that coordinate an account, and their substitutes.
    pub fn coordinators_and_substitutes(&self, account: &Name) -> Vec<CoordinatorNode> {
        self.highest_ranked(account, COORDINATORS + SUBSTITUTES)
    }

    /// The first live nodes in the order in which they coordinate an account.
    fn highest_ranked(&self, account: &Name, count: usize) -> Vec<CoordinatorNode> {
        let membership = self.membership.borrow();
        let own = &membership.local_row().identity.name;
        let mut live: Vec<_> = membership.rows().filter(|row| row.state == VmState::Live).collect();
        live.sort_by_cached_key(|row| Reverse(rank(account.as_str(), &row.identity.name)));
        let node = |row: &MemberRow| match row.identity.name == *own {
            true => CoordinatorNode::Own,
            false => CoordinatorNode::Other(quota_address(row)),
        };
        live.into_iter().take(count).map(node).collect()
    }

    /// The address at which this node receives quota messages.
    pub fn own_quota_address(&self) -> SocketAddr {
        quota_address(self.membership.borrow().local_row())
    }

    /// The nodes to forward shares of accounts to.
    pub fn quota_forwarders(&self, origin: SocketAddr, segment: Segment) -> Vec<Forwarder<SocketAddr>> {
        self.forwarders(origin, segment, QUOTA_PORT_OFFSET)
    }
}

fn quota_address(row: &MemberRow) -> SocketAddr {
    SocketAddr::new(row.identity.address, row.control_port + QUOTA_PORT_OFFSET)
}
