//! Selects the nodes that read the platform for the fleet. Every node computes the same selection from the
//! members it knows.

use {
    pointvane_core::Name,
    pointvane_dispatch::ReaderRole,
    pointvane_mesh::{MemberRow, Membership, choose_readers},
    std::net::SocketAddr,
};

/// Number of nodes that watch the platform for the fleet: two, so that one may fail.
const WATCHERS: usize = 2;
/// Number of nodes that read the platform when no relay of a watcher arrives.
const STANDBYS: usize = 4;
/// Rendezvous hash key for the order of readers. Nodes of all versions must use the same key.
const READER_HASH_KEY: &str = "platform";

/// This node's role in reading the platform for the fleet.
pub fn role(membership: &Membership) -> ReaderRole {
    match position(membership, &membership.local_row().identity.name) {
        Some(position) if position < WATCHERS => ReaderRole::Watcher,
        Some(_) => ReaderRole::Standby,
        None => ReaderRole::Follower,
    }
}

/// Whether the node at the gossip address `origin` precedes this one as a reader.
///
/// Selected readers come first, in their order; all other nodes follow, ordered by address.
pub fn precedes(membership: &Membership, origin: SocketAddr) -> bool {
    let order = |row: &MemberRow| {
        let position = position(membership, &row.identity.name);
        (position.is_none(), position, row.control_address())
    };
    let other = membership.rows().skip(1).find(|row| row.control_address() == origin);
    other.is_some_and(|other| order(other) < order(membership.local_row()))
}

/// The index of a node among the selected readers; `None` if it is not one of them.
fn position(membership: &Membership, node: &Name) -> Option<usize> {
    let readers = choose_readers(READER_HASH_KEY, membership.rows(), WATCHERS + STANDBYS);
    readers.iter().position(|name| name == node)
}
