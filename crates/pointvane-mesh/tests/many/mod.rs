//! Many membership machines in one process with time given, for counting what they send.
//!
//! No network is modelled but loss, cuts and a fixed delay of one tick: this counts messages and rounds, and is
//! no measure of time.

use {
    pointvane_core::{Incarnation, Name, VmIdentity, VmState},
    pointvane_mesh::{Action, GossipMessage, MemberRow, Membership, MembershipOptions, Stamp, Stamps, codec},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::net::{IpAddr, Ipv4Addr, SocketAddr},
};

const PORT: u16 = 7_001;
/// Time of one tick, in microseconds.
pub const TICK_US: u64 = 50_000;

/// Many membership machines.
pub struct MeshRun {
    nodes: Vec<Membership>,
    up: Vec<bool>,
    /// Cut: machines of different sides do not hear each other.
    side: Vec<u8>,
    under_way: Vec<(usize, SocketAddr, GossipMessage)>,
    loss: f64,
    rng: StdRng,
    now_us: u64,
    /// Bytes sent so far, IP and UDP heads included.
    pub bytes: u64,
}

impl MeshRun {
    /// Machines that all know each other.
    pub fn new(count: usize, loss: f64, seed: u64) -> Self {
        let rows: Vec<_> = (0..count).map(|number| row(number, 1)).collect();
        let mut run = Self {
            nodes: Vec::new(),
            up: vec![true; count],
            side: vec![0; count],
            under_way: Vec::new(),
            loss,
            rng: StdRng::seed_from_u64(seed),
            now_us: TICK_US,
            bytes: 0,
        };
        for number in 0..count {
            let mut node = Membership::new(options(), rows[number].clone(), seed + number as u64, run.now_us);
            node.merge(&rows, run.now_us);
            run.nodes.push(node);
        }
        run
    }

    /// Lets time pass.
    pub fn run_ticks(&mut self, ticks: usize) {
        for _ in 0..ticks {
            self.now_us += TICK_US;
            for (to, from, message) in std::mem::take(&mut self.under_way) {
                if self.up[to] {
                    let actions = self.nodes[to].receive(from, &message, self.now_us);
                    self.send(to, actions);
                }
            }
            for node in 0..self.nodes.len() {
                if self.up[node] {
                    let actions = self.nodes[node].tick(self.now_us);
                    self.send(node, actions);
                }
            }
        }
    }

    fn send(&mut self, from: usize, actions: Vec<Action>) {
        for action in actions {
            let Action::Send { to, message } = action else { continue };
            self.bytes += (codec::encode(&*message).map_or(0, |b| b.len()) + codec::UDP_HEAD_BYTES) as u64;
            let target = number_of(to);
            if self.side[from] == self.side[target] && self.rng.random::<f64>() >= self.loss {
                self.under_way.push((target, address(from), *message));
            }
        }
    }

    /// Takes a machine down or up again; when it comes up it goes on where it stopped, as after a freeze.
    pub fn set_up(&mut self, node: usize, up: bool) {
        self.up[node] = up;
    }

    /// Puts a machine on a side of a cut.
    pub fn set_side(&mut self, node: usize, side: u8) {
        self.side[node] = side;
    }

    /// Gives one machine a new configuration.
    pub fn set_revision(&mut self, node: usize, revision: u64) {
        let configuration = Stamp { revision, index: revision };
        let actions = self.nodes[node].set_stamps(Stamps { configuration, vm_list: Stamp::default() });
        self.send(node, actions);
    }

    /// How many of the machines that are up are believed to be in this state by one of them.
    pub fn believed(&self, by: usize, state: VmState) -> usize {
        self.nodes[by].rows().filter(|row| row.state == state).count()
    }

    /// Stands in for the fetching of values: each machine that heard of a revision has it. Gives how many have it.
    pub fn fetch_heard(&mut self, revision: u64) -> usize {
        for node in 0..self.nodes.len() {
            let heard = self.nodes[node].rows().any(|row| row.stamp.revision >= revision);
            let has = self.nodes[node].me().stamp.revision >= revision;
            if self.up[node] && heard && !has {
                self.set_revision(node, revision);
            }
        }
        self.nodes.iter().filter(|node| node.me().stamp.revision >= revision).count()
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

fn number_of(address: SocketAddr) -> usize {
    let IpAddr::V4(ip) = address.ip() else { unreachable!("addresses here are IPv4") };
    (u32::from(ip) & 0xffff) as usize - 1
}
