//! Peers with which load reports on contended services are exchanged.

use {
    super::Fleet, pointvane_core::VmState, pointvane_mesh::MemberRow, rand::seq::IteratorRandom,
    std::net::SocketAddr,
};

/// Offset of the contention message port from the gossip port.
pub const CONTENTION_PORT_OFFSET: u16 = 6;

impl Fleet {
    /// The contention addresses of `count` other nodes chosen at random, or of all others if there are fewer.
    pub fn sample_contention_peers(&self, count: usize) -> Vec<SocketAddr> {
        let membership = self.membership.borrow();
        let others = membership.rows().skip(1).filter(|row| row.state != VmState::Dead);
        let address = |row: &MemberRow| {
            SocketAddr::new(row.identity.address, row.control_port + CONTENTION_PORT_OFFSET)
        };
        others.map(address).choose_multiple(&mut *self.rng.borrow_mut(), count)
    }
}
