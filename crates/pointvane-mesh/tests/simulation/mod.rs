//! Simulation of many membership state machines in one process on a simulated clock.
//!
//! The simulated network has loss, partitions and a fixed delay of one tick. The simulation counts messages
//! and rounds; it says nothing about delays on a real network.

use {
    pointvane_core::{Incarnation, Name, VmIdentity, VmState},
    pointvane_mesh::{Action, GossipMessage, MemberRow, Membership, MembershipOptions, Stamp, Stamps, codec},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::net::{IpAddr, Ipv4Addr, SocketAddr},
};

const PORT: u16 = 7_001;
/// Duration of one tick, in microseconds.
pub const TICK_US: u64 = 50_000;

/// Simulated fleet of membership state machines.
pub struct MeshSimulation {
    nodes: Vec<Membership>,
    running: Vec<bool>,
    /// Partition of each node; nodes of different partitions do not receive each other's datagrams.
    partition: Vec<u8>,
    in_flight: Vec<(usize, SocketAddr, GossipMessage)>,
    loss: f64,
    rng: StdRng,
    now_us: u64,
    /// Bytes sent so far, IP and UDP headers included.
    pub bytes: u64,
}

impl MeshSimulation {
    /// Creates nodes that all know each other; `loss` is the share of datagrams that are lost.
    pub fn new(count: usize, loss: f64, seed: u64) -> Self {
        let mut simulation = Self::new_unacquainted(count, loss, seed);
        let rows: Vec<_> = (0..count).map(|number| row(number, 1)).collect();
        for node in &mut simulation.nodes {
            node.merge(&rows, simulation.now_us);
        }
        simulation
    }

    /// Creates nodes that know the seed address only.
    pub fn new_unacquainted(count: usize, loss: f64, seed: u64) -> Self {
        let rows: Vec<_> = (0..count).map(|number| row(number, 1)).collect();
        let mut simulation = Self {
            nodes: Vec::new(),
            running: vec![true; count],
            partition: vec![0; count],
            in_flight: Vec::new(),
            loss,
            rng: StdRng::seed_from_u64(seed),
            now_us: TICK_US,
            bytes: 0,
        };
        for (number, row) in rows.into_iter().enumerate() {
            let node = Membership::new(options(), row, seed + number as u64, simulation.now_us);
            simulation.nodes.push(node);
        }
        simulation
    }

    /// Runs the simulation for a number of ticks.
    pub fn run_ticks(&mut self, ticks: usize) {
        for _ in 0..ticks {
            self.now_us += TICK_US;
            for (to, from, message) in std::mem::take(&mut self.in_flight) {
                if self.running[to] {
                    let actions = self.nodes[to].receive(from, &message, self.now_us);
                    self.send(to, actions);
                }
            }
            for node in 0..self.nodes.len() {
                if self.running[node] {
                    let actions = self.nodes[node].tick(self.now_us);
                    self.send(node, actions);
                }
            }
        }
    }

    fn send(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            let Action::Send { to, message } = action else { continue };
            self.bytes +=
                (codec::encode(&*message).map_or(0, |b| b.len()) + codec::IP_UDP_HEADER_BYTES) as u64;
            let target = node_of(to);
            if self.partition[from] == self.partition[target] && self.rng.random::<f64>() >= self.loss {
                self.in_flight.push((target, address(from), *message));
            }
        }
    }

    /// Stops or resumes a node. A resumed node continues with its old state, as a process after a pause.
    pub fn set_running(&mut self, node: usize, running: bool) {
        self.running[node] = running;
    }

    /// Moves a node to a network partition.
    pub fn set_partition(&mut self, node: usize, partition: u8) {
        self.partition[node] = partition;
    }

    /// Gives one node a new configuration.
    pub fn set_revision(&mut self, node: usize, revision: u64) {
        let configuration = Stamp { revision, index: revision };
        let actions = self.nodes[node].set_stamps(Stamps { configuration, vm_list: Stamp::default() });
        self.send(node, actions);
    }

    /// Number of members, itself included, that node `by` knows in this state.
    pub fn members_in_state(&self, by: usize, state: VmState) -> usize {
        self.nodes[by].rows().filter(|row| row.state == state).count()
    }

    /// Simulates fetches of values: each running node that knows of a revision gets it. Returns how many
    /// nodes have it.
    pub fn fetch_known_revision(&mut self, revision: u64) -> usize {
        for node in 0..self.nodes.len() {
            let is_known = self.nodes[node].rows().any(|row| row.stamp.revision >= revision);
            let has = self.nodes[node].local_row().stamp.revision >= revision;
            if self.running[node] && is_known && !has {
                self.set_revision(node, revision);
            }
        }
        self.nodes.iter().filter(|node| node.local_row().stamp.revision >= revision).count()
    }
}

fn options() -> MembershipOptions {
    MembershipOptions { seeds: vec![address(0)], ..MembershipOptions::default() }
}

fn row(number: usize, incarnation: u64) -> MemberRow {
    let SocketAddr::V4(address) = address(number) else { unreachable!("addresses here are IPv4") };
    MemberRow {
        identity: VmIdentity {
            name: Name::from(format!("entry-{number}").as_str()),
            data_centre: Name::from(format!("dc-{}", number % 9).as_str()),
            address: IpAddr::V4(*address.ip()),
            incarnation: Incarnation(incarnation),
        },
        control_port: PORT,
        entry_port: PORT - 1,
        state: VmState::Live,
        version: 0,
        entry: None,
        stamp: Stamp::default(),
        link_mbps: 0,
    }
}

fn address(number: usize) -> SocketAddr {
    let [_, _, high, low] = (number as u32 + 1).to_be_bytes();
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(10, 0, high, low)), PORT)
}

fn node_of(address: SocketAddr) -> usize {
    let IpAddr::V4(ip) = address.ip() else { unreachable!("addresses here are IPv4") };
    (u32::from(ip) & 0xffff) as usize - 1
}
