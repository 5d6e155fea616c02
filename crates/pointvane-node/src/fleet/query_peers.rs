//! Selects the peers to query for platform state that this node lacks.

use {
    super::Fleet,
    crate::settings::NodeSettings,
    pointvane_core::{Name, VmState},
    pointvane_dispatch::{QueryCandidate, QueryTarget, earlier_peer, query_position},
    pointvane_mesh::{MemberRow, rank},
    rand::seq::IteratorRandom,
    std::net::SocketAddr,
};

impl Fleet {
    /// This node's position, from 0 to 1, in the order in which nodes query each other for a revision.
    pub fn query_position(&self, revision: u64) -> f64 {
        let membership = self.membership.borrow();
        query_position(rank(&query_hash_key(revision), &membership.local_row().identity.name))
    }

    /// The gossip addresses of the nodes to query for platform state; empty if none is known.
    pub fn peers_to_query(&self, target: QueryTarget, settings: &NodeSettings) -> Vec<SocketAddr> {
        match target {
            QueryTarget::Any => self.any_peers(settings),
            QueryTarget::Earlier { revision } => {
                self.earlier_peer(revision).or_else(|| self.broadcaster()).into_iter().collect()
            }
            QueryTarget::Broadcaster => self.broadcaster().into_iter().collect(),
        }
    }

    fn broadcaster(&self) -> Option<SocketAddr> {
        self.broadcaster.get().map(|broadcaster| broadcaster.address)
    }

    /// A random live node that has platform state, preferably in this data centre. All other seeds while no
    /// such node is known.
    fn any_peers(&self, settings: &NodeSettings) -> Vec<SocketAddr> {
        let mut rng = self.rng.borrow_mut();
        let membership = self.membership.borrow();
        let local = &membership.local_row().identity;
        let has_state = |row: &&MemberRow| row.state == VmState::Live && row.stamp.revision > 0;
        let is_local = |row: &&MemberRow| row.identity.data_centre == local.data_centre;
        let others = || membership.rows().skip(1).filter(has_state);
        let local_peer = others().filter(is_local).choose(&mut *rng);
        if let Some(peer) = local_peer.or_else(|| others().choose(&mut *rng)) {
            return vec![peer.control_address()];
        }
        settings.seeds.iter().copied().filter(|seed| *seed != settings.gossip).collect()
    }

    /// Another live node that is well ahead of this one in the order of queries for a revision.
    fn earlier_peer(&self, revision: u64) -> Option<SocketAddr> {
        let membership = self.membership.borrow();
        let local = &membership.local_row().identity;
        let hash_key = query_hash_key(revision);
        let position = |name: &Name| query_position(rank(&hash_key, name));
        let live = membership.rows().skip(1).filter(|row| row.state == VmState::Live);
        let peers = live.map(|row| QueryCandidate {
            node: row.control_address(),
            position: position(&row.identity.name),
            same_data_centre: row.identity.data_centre == local.data_centre,
        });
        earlier_peer(position(&local.name), peers, &mut self.rng.borrow_mut())
    }
}

/// Rendezvous hash key for the order of queries, which differs for each revision.
fn query_hash_key(revision: u64) -> String {
    format!("state/{revision}")
}
