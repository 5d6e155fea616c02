//! Peers that share the limits of upstreams.

use {
    super::Fleet,
    pointvane_core::{LimitRank, Name, VmState},
    pointvane_dispatch::{FleetView, Forwarder, Segment},
    pointvane_mesh::{MemberRow, rank},
    std::net::SocketAddr,
};

/// Offset of the limit message port from the gossip port.
pub const LIMIT_PORT_OFFSET: u16 = 4;
/// Time after the start within which a node discovers the others, in milliseconds: by then they have
/// answered, and nodes that started at the same time are known to all.
const DISCOVERY_MS: u64 = 1_500;
/// Maximum number of nodes in a fleet.
const NODES_MAX: usize = 2_000;

impl Fleet {
    /// This node's position in the order of the nodes that share an upstream's limit. `running_ms` is the
    /// time since the start.
    ///
    /// All nodes compute the same order by rendezvous hashing; nodes that are shutting down are excluded.
    /// Until a node has discovered the others, it assumes the last position in a fleet of maximum size, so
    /// that the limit holds even if all nodes start at the same time.
    pub fn limit_rank(&self, upstream: &Name, fleet_view: FleetView, running_ms: u64) -> LimitRank {
        let has_others = fleet_view.nodes != Some(1);
        if has_others && running_ms < DISCOVERY_MS {
            return LimitRank::last_of(NODES_MAX);
        }
        let membership = self.membership.borrow();
        let local_row = membership.local_row();
        let own = rank(upstream.as_str(), &local_row.identity.name);
        let others = || {
            membership.rows().filter(|row| row.identity.name != local_row.identity.name && shares_limits(row))
        };
        let limit_rank = others().filter(|row| rank(upstream.as_str(), &row.identity.name) > own).count();
        LimitRank {
            rank: limit_rank,
            processes: others().count() + 1,
            reachable_share: fleet_view.reachable_share,
        }
    }

    /// The nodes to forward a limit message to.
    pub fn limit_forwarders(&self, origin: SocketAddr, segment: Segment) -> Vec<Forwarder<SocketAddr>> {
        self.forwarders(origin, segment, LIMIT_PORT_OFFSET)
    }
}

fn shares_limits(row: &MemberRow) -> bool {
    matches!(row.state, VmState::Live | VmState::Suspect) && !row.entry.is_some_and(|entry| entry.leaving)
}
