//! The other nodes as those that share the quotas of client accounts.

use {
    super::Fleet,
    crate::settings::NodeSettings,
    pointvane_core::{Name, US_PER_MS, VmState},
    pointvane_dispatch::{FleetContact, Forwarder, Segment},
    pointvane_mesh::{MemberRow, rank},
    std::{cmp::Reverse, net::SocketAddr},
};

/// Ports between that of membership datagrams and that of quotas.
pub const QUOTA_PORT_OFFSET: u16 = 3;
/// Nodes that coordinate an account, so that one may be lost.
const COORDINATORS: usize = 2;

/// A node that coordinates an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CoordinatorNode {
    /// This one.
    Own,
    /// Another one, which takes reports at this address.
    Other(SocketAddr),
}

impl CoordinatorNode {
    /// The address of another node; none for this one.
    pub fn other(self) -> Option<SocketAddr> {
        match self {
            Self::Own => None,
            Self::Other(address) => Some(address),
        }
    }
}

impl Fleet {
    /// What this node sees of the fleet. Nodes that are dead and did not leave as planned may live behind a cut, and count.
    pub fn contact(&self, settings: &NodeSettings, now_us: u64) -> FleetContact {
        let has_others = settings.seeds.iter().any(|seed| *seed != settings.gossip);
        if !self.was_heard.get() {
            let nodes = (!has_others).then_some(1);
            return FleetContact { connected: !has_others, nodes, reached_share: 1.0 };
        }
        let membership = self.membership.borrow();
        let left =
            |row: &MemberRow| row.state == VmState::Leaving || row.entry.is_some_and(|entry| entry.leaving);
        let staying = || membership.rows().filter(|row| !left(row));
        let reached = staying().filter(|row| row.state != VmState::Dead).count().max(1);
        let nodes = staying().count().max(1);
        FleetContact {
            connected: !self.is_silent(now_us),
            nodes: Some(nodes),
            reached_share: reached as f64 / nodes as f64,
        }
    }

    /// Whether no other node was heard for a while.
    pub(super) fn is_silent(&self, now_us: u64) -> bool {
        now_us.saturating_sub(self.heard_at_us.get()) >= super::PEER_SILENCE_MS * US_PER_MS
    }

    /// The nodes that coordinate an account.
    pub fn coordinators(&self, account: &Name) -> Vec<CoordinatorNode> {
        let membership = self.membership.borrow();
        let own = &membership.me().identity.name;
        let mut live: Vec<_> = membership.rows().filter(|row| row.state == VmState::Live).collect();
        live.sort_by_cached_key(|row| Reverse(rank(account.as_str(), &row.identity.name)));
        let node = |row: &MemberRow| match row.identity.name == *own {
            true => CoordinatorNode::Own,
            false => CoordinatorNode::Other(quota_address(row)),
        };
        live.into_iter().take(COORDINATORS).map(node).collect()
    }

    /// Where other nodes send this one messages on quotas.
    pub fn own_quota_address(&self) -> SocketAddr {
        quota_address(self.membership.borrow().me())
    }

    /// The nodes that shares of accounts are passed on to.
    pub fn quota_forwarders(&self, origin: SocketAddr, segment: Segment) -> Vec<Forwarder<SocketAddr>> {
        self.forwarders(origin, segment, QUOTA_PORT_OFFSET)
    }
}

fn quota_address(row: &MemberRow) -> SocketAddr {
    SocketAddr::new(row.identity.address, row.control_port + QUOTA_PORT_OFFSET)
}
