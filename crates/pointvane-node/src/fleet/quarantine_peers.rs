//! Peers with which updates on quarantined requests are exchanged.

use {
    super::Fleet,
    pointvane_core::VmState,
    pointvane_dispatch::{HeadFingerprint, TrialPosition},
    pointvane_mesh::{MemberRow, rank},
    rand::seq::IteratorRandom,
    std::net::SocketAddr,
};

/// Offset of the quarantine message port from the gossip port.
pub const QUARANTINE_PORT_OFFSET: u16 = 2;
/// Maximum number of rounds in which other nodes are asked for their quarantine state after a start or a
/// pause. This covers 4 s, by which time regular updates have delivered part of the state.
pub(super) const PULL_ROUNDS_MAX: u32 = 20;

impl Fleet {
    /// The quarantine addresses of `count` other nodes chosen at random, or of all others if there are fewer.
    pub fn sample_quarantine_peers(&self, count: usize) -> Vec<SocketAddr> {
        let membership = self.membership.borrow();
        let others = membership.rows().skip(1).filter(|row| row.state != VmState::Dead);
        let address = |row: &MemberRow| {
            SocketAddr::new(row.identity.address, row.control_port + QUARANTINE_PORT_OFFSET)
        };
        others.map(address).choose_multiple(&mut *self.rng.borrow_mut(), count)
    }

    /// This node's position in the order of the nodes that may retry a request after its quarantine. It is
    /// the same for all queries and bodies of a request.
    pub fn trial_position(&self, request: HeadFingerprint) -> TrialPosition {
        let membership = self.membership.borrow();
        let position =
            rank(&request.to_string(), &membership.local_row().identity.name) as f64 / u64::MAX as f64;
        let nodes = membership.rows().filter(|row| row.state != VmState::Dead).count();
        TrialPosition { position, nodes }
    }

    /// Schedules pulls of the full quarantine state from the next round on, since this node may have missed
    /// updates.
    pub fn request_quarantine_pull(&self) {
        self.pull_rounds_left.set(PULL_ROUNDS_MAX);
    }

    /// Records that a node has answered a pull, and ends the pulls.
    pub fn record_pull_answer(&self) {
        self.pull_rounds_left.set(0);
    }

    /// Whether to pull in this round; counts the round.
    pub fn take_pull_round(&self) -> bool {
        let left = self.pull_rounds_left.get();
        self.pull_rounds_left.set(left.saturating_sub(1));
        left > 0
    }
}
