//! The other nodes as those that share the limits of upstreams.

use {
    super::Fleet,
    pointvane_core::{LimitPlace, Name, VmState},
    pointvane_dispatch::{FleetContact, Forwarder, Segment},
    pointvane_mesh::{MemberRow, rank},
    std::net::SocketAddr,
};

/// Ports between that of membership datagrams and that of limits.
pub const LIMIT_PORT_OFFSET: u16 = 4;
/// Time after its start from which on a node knows the others, in milliseconds: by then they have answered, and those that started with it are known to all.
const OTHERS_KNOWN_AFTER_MS: u64 = 1_500;
/// Nodes of the largest fleet.
const NODES_MAX: usize = 2_000;

impl Fleet {
    /// This node's place among those that may use an upstream.
    ///
    /// All nodes work out the same order by rendezvous hashing. Those that leave as planned are out of it. Until a node knows the others it takes the last
    /// place of the largest fleet: what it sends then is within the limit though all nodes have started together.
    pub fn limit_place(&self, upstream: &Name, contact: FleetContact, running_ms: u64) -> LimitPlace {
        let has_others = contact.nodes != Some(1);
        if has_others && running_ms < OTHERS_KNOWN_AFTER_MS {
            return LimitPlace::last_of(NODES_MAX);
        }
        let membership = self.membership.borrow();
        let me = membership.me();
        let own = rank(upstream.as_str(), &me.identity.name);
        let others =
            || membership.rows().filter(|row| row.identity.name != me.identity.name && uses_limits(row));
        let before = others().filter(|row| rank(upstream.as_str(), &row.identity.name) > own).count();
        LimitPlace { before, processes: others().count() + 1, reached_share: contact.reached_share }
    }

    /// The nodes that messages on limits are forwarded to.
    pub fn limit_forwarders(&self, origin: SocketAddr, segment: Segment) -> Vec<Forwarder<SocketAddr>> {
        self.forwarders(origin, segment, LIMIT_PORT_OFFSET)
    }
}

fn uses_limits(row: &MemberRow) -> bool {
    matches!(row.state, VmState::Live | VmState::Suspect) && !row.entry.is_some_and(|entry| entry.leaving)
}
