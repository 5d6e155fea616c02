//! Which nodes read the platform for all: chosen by all alike, over the members that each knows.

use {
    pointvane_core::Name,
    pointvane_dispatch::ReaderRole,
    pointvane_mesh::{MemberRow, Membership, choose_readers},
    std::net::SocketAddr,
};

/// Nodes that watch the platform for all: two, so that one may fail. Not measured at other values.
const WATCHERS: usize = 2;
/// Nodes that read the platform when no watcher is heard. Not measured at other values.
const STANDBYS: usize = 4;
/// What readers are ranked for. A name on the wire: nodes of all versions must rank alike.
const READER_SUBJECT: &str = "platform";

/// What this node does for the others' reading of the platform.
pub fn role(membership: &Membership) -> ReaderRole {
    match position(membership, &membership.me().identity.name) {
        Some(position) if position < WATCHERS => ReaderRole::Watcher,
        Some(_) => ReaderRole::Standby,
        None => ReaderRole::Follower,
    }
}

/// Whether the node at an address precedes this one as a reader: chosen ones in their order, then the others by address.
pub fn precedes(membership: &Membership, origin: SocketAddr) -> bool {
    let order = |row: &MemberRow| {
        let position = position(membership, &row.identity.name);
        (position.is_none(), position, row.control_address())
    };
    let other = membership.rows().skip(1).find(|row| row.control_address() == origin);
    other.is_some_and(|other| order(other) < order(membership.me()))
}

/// The place of a node among the chosen readers, from 0; none if it is not one.
fn position(membership: &Membership, node: &Name) -> Option<usize> {
    let readers = choose_readers(READER_SUBJECT, membership.rows(), WATCHERS + STANDBYS);
    readers.iter().position(|name| name == node)
}
