//! Nodes of a simulated fleet: addresses, coordinators of accounts, positions in the broadcast order.

use {
    super::workload::{Account, Accounts},
    pointvane_core::{Name, Quota},
    pointvane_dispatch::{Forwarder, OrderedNode, Segment, broadcast_position, fan_out, forwarders},
    pointvane_mesh::rank,
    rand::rngs::SmallRng,
    std::{
        cmp::Reverse,
        collections::HashMap,
        net::{IpAddr, SocketAddr},
    },
};

/// Number of nodes that coordinate an account.
const COORDINATORS: usize = 2;
const DATA_CENTRES: usize = 9;
const HASH_KEY: &str = "relay";
const PORT: u16 = 7_663;

/// Nodes with the coordinators of each account. Every node knows all others.
pub struct Fleet {
    names: Vec<Name>,
    /// All nodes by position in the broadcast order.
    order: Vec<OrderedNode<usize>>,
    positions: Vec<u64>,
    by_account: HashMap<Name, (Quota, Vec<usize>)>,
}

impl Fleet {
    pub fn new(nodes: usize) -> Self {
        let names: Vec<Name> = (0..nodes).map(|node| format!("node-{node:04}").as_str().into()).collect();
        let position = |(node, name): (usize, &Name)| {
            let data_centre = Name::from(format!("data-centre-{}", node % DATA_CENTRES).as_str());
            broadcast_position(rank(HASH_KEY, &data_centre), rank(HASH_KEY, name))
        };
        let positions: Vec<u64> = names.iter().enumerate().map(position).collect();
        let mut order: Vec<_> =
            positions.iter().enumerate().map(|(node, at)| OrderedNode { position: *at, node }).collect();
        order.sort_unstable_by_key(|node| node.position);
        Self { names, order, positions, by_account: HashMap::new() }
    }

    /// Chooses the coordinators of all accounts.
    pub fn choose_coordinators(&mut self, accounts: &Accounts) {
        let names = &self.names;
        let coordinators = |account: &Account| {
            let mut nodes: Vec<usize> = (0..names.len()).collect();
            nodes.sort_by_cached_key(|node| Reverse(rank(account.name.as_str(), &names[*node])));
            nodes.truncate(COORDINATORS);
            (account.name.clone(), (account.quota, nodes))
        };
        self.by_account = accounts.iter().map(coordinators).collect();
    }

    /// The nodes that coordinate an account.
    pub fn coordinators(&self, account: &Name) -> &[usize] {
        &self.by_account[account].1
    }

    pub fn quota(&self, account: &Name) -> Quota {
        self.by_account[account].0
    }

    /// The nodes to which a node forwards a broadcast.
    pub fn forwarders(&mut self, node: usize, segment: Segment, rng: &mut SmallRng) -> Vec<Forwarder<usize>> {
        let others = self.order.len() - 1;
        forwarders(segment, self.positions[node], &mut self.order, fan_out(others), rng)
    }
}

pub fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (node / 250) as u8, (node % 250) as u8], PORT))
}

pub fn node_at(address: SocketAddr) -> usize {
    let IpAddr::V4(ip) = address.ip() else { unreachable!("all are IPv4") };
    usize::from(ip.octets()[2]) * 250 + usize::from(ip.octets()[3])
}
