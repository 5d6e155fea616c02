//! The other nodes of the fleet: membership, platform reader roles, and the selection of peers to query.
//!
//! Owns the membership, the sockets to other nodes and the sequence numbers of received relays. Every node
//! computes the reader roles in the same way, by link speed and rendezvous hashing over the members it knows.
//! `gossip_loop.rs` and `relay_loop.rs` send and receive the messages.

mod contention_peers;
mod forward_peers;
mod limit_peers;
mod quarantine_peers;
mod query_peers;
mod quota_peers;
mod sockets;

pub use {
    contention_peers::CONTENTION_PORT_OFFSET,
    forward_peers::{FORWARD_PORT_OFFSET, ForwardChoice},
    limit_peers::LIMIT_PORT_OFFSET,
    quarantine_peers::QUARANTINE_PORT_OFFSET,
    quota_peers::{CoordinatorNode, QUOTA_PORT_OFFSET},
    sockets::Sockets,
};

use {
    crate::{reader_roles, settings::NodeSettings},
    pointvane_core::{Incarnation, US_PER_MS, VmIdentity, VmState},
    pointvane_dispatch::{
        Broadcaster, DirectoryMember, Forwarder, OrderedNode, ReaderRole, ReceivedRounds, RelayDatagram,
        Segment, broadcast_position, fan_out, forwarders,
    },
    pointvane_mesh::{
        Action, EntryRow, GossipMessage, MemberRow, Membership, MembershipOptions, Stamp, Stamps, rank,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        cell::{Cell, OnceCell, RefCell},
        net::SocketAddr,
    },
};

/// Time between two pings of other nodes, in milliseconds.
const PING_INTERVAL_MS: u64 = 400;
/// Time after which a suspected node is declared dead, in milliseconds.
const SUSPECT_MS: u64 = 900;
/// Time without a datagram from any other node after which this node considers itself isolated, in
/// milliseconds.
///
/// At least about five datagrams a second arrive from other nodes, so that one in two thousand such intervals
/// is empty by chance.
const ISOLATION_TIMEOUT_MS: u64 = 1_500;
/// Offset of the relay port from the gossip port.
pub const RELAY_PORT_OFFSET: u16 = 1;
/// Rendezvous hash key for the forwarding order of relays. Nodes of all versions must use the same key.
const RELAY_HASH_KEY: &str = "relay";

/// This node's view of the fleet.
#[derive(Debug)]
pub struct Fleet {
    incarnation: Incarnation,
    membership: RefCell<Membership>,
    sockets: OnceCell<Sockets>,
    received_rounds: RefCell<ReceivedRounds>,
    relay_round: Cell<u64>,
    broadcaster: Cell<Option<Broadcaster>>,
    /// Time of the last datagram from another node, in microseconds of the monotonic clock.
    last_datagram_at_us: Cell<u64>,
    /// Whether a datagram from another node was received since this process started.
    received_any_datagram: Cell<bool>,
    /// The latest platform revision that any peer has read.
    latest_revision: Cell<u64>,
    rng: RefCell<SmallRng>,
    /// Number of membership changes since the start.
    membership_changes: Cell<u64>,
    /// Remaining rounds in which other nodes are asked for their full quarantine state.
    pull_rounds_left: Cell<u32>,
}

impl Fleet {
    /// Creates a fleet in which only this node is known.
    pub fn new(
        settings: &NodeSettings,
        incarnation: Incarnation,
        seed_rng: &mut SmallRng,
        now_us: u64,
    ) -> Self {
        Self {
            incarnation,
            membership: RefCell::new(membership(settings, incarnation, seed_rng.random(), now_us)),
            sockets: OnceCell::new(),
            received_rounds: RefCell::default(),
            // The incarnation is the start time in milliseconds: after a restart, numbers begin above all
            // earlier ones.
            relay_round: Cell::new(incarnation.0),
            broadcaster: Cell::default(),
            last_datagram_at_us: Cell::new(now_us),
            received_any_datagram: Cell::default(),
            latest_revision: Cell::default(),
            rng: RefCell::new(SmallRng::from_rng(seed_rng)),
            membership_changes: Cell::default(),
            pull_rounds_left: Cell::new(quarantine_peers::PULL_ROUNDS_MAX),
        }
    }

    /// The incarnation of this process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Counts a membership change.
    pub fn record_membership_change(&self) {
        self.membership_changes.set(self.membership_changes.get() + 1);
    }

    /// Number of membership changes since the start.
    pub fn membership_changes(&self) -> u64 {
        self.membership_changes.get()
    }

    /// Number of nodes that are not known to be dead, this one included.
    pub fn size(&self) -> usize {
        self.membership.borrow().rows().filter(|row| row.state != VmState::Dead).count()
    }

    /// Number of nodes that take turns at calling the platform, this one included; 1 while this node is
    /// isolated.
    pub fn reachable_nodes(&self, now_us: u64) -> usize {
        if self.is_isolated(now_us) { 1 } else { self.size() }
    }

    /// Nodes that the directory offers to callers.
    pub fn directory_members(&self) -> Vec<DirectoryMember> {
        let membership = self.membership.borrow();
        let usable = membership.rows().filter(|row| {
            matches!(row.state, VmState::Live | VmState::Suspect)
                && row.entry.is_some_and(|entry| !entry.leaving)
        });
        let member = |row: &MemberRow| DirectoryMember {
            address: SocketAddr::new(row.identity.address, row.entry_port),
            data_centre: row.identity.data_centre.clone(),
        };
        usable.map(member).collect()
    }

    /// Publishes this node's readiness to the other nodes.
    pub fn set_entry(&self, ready: bool, draining: bool) {
        let row = EntryRow { incarnation: self.incarnation, requests: 0, leaving: draining };
        self.membership.borrow_mut().set_entry((ready || draining).then_some(row));
    }

    /// Announces that this node is leaving the fleet.
    pub fn leave(&self) -> Vec<Action> {
        self.membership.borrow_mut().leave()
    }

    /// Advances the membership protocol: publishes the platform revision that this node has read, and pings
    /// other nodes.
    pub fn tick(&self, revision: u64, now_us: u64) -> Vec<Action> {
        let configuration = Stamp { revision, index: 0 };
        let mut membership = self.membership.borrow_mut();
        let mut actions = membership.set_stamps(Stamps { configuration, ..Stamps::default() });
        actions.extend(membership.tick(now_us));
        actions
    }

    /// Processes a gossip message from another node.
    pub fn receive(&self, from: SocketAddr, message: &GossipMessage, now_us: u64) -> Vec<Action> {
        self.record_peer_datagram(now_us);
        self.latest_revision.set(self.latest_revision.get().max(message.stamps.configuration.revision));
        self.membership.borrow_mut().receive(from, message, now_us)
    }

    /// Records that a datagram arrived from another node.
    ///
    /// After an isolation this node may have missed quarantine updates, so it pulls them.
    fn record_peer_datagram(&self, now_us: u64) {
        self.received_any_datagram.set(true);
        if now_us.saturating_sub(self.last_datagram_at_us.replace(now_us)) >= ISOLATION_TIMEOUT_MS * US_PER_MS
        {
            self.request_quarantine_pull();
        }
    }

    /// The latest platform revision that any peer has read.
    pub fn latest_revision(&self) -> u64 {
        self.latest_revision.get()
    }

    /// Allocates the sequence number of this node's next relay.
    pub fn next_relay_round(&self) -> u64 {
        self.relay_round.set(self.relay_round.get() + 1);
        self.relay_round.get()
    }

    /// Records a received relay. Returns false if it is not newer than those already received from its
    /// origin.
    pub fn is_new_relay(&self, datagram: &RelayDatagram, now_us: u64) -> bool {
        self.record_peer_datagram(now_us);
        let new = self.received_rounds.borrow_mut().is_new(datagram.origin, datagram.round, now_us);
        if new {
            let revision = datagram.relay.mark().revision;
            let sender = Broadcaster { address: datagram.origin, revision, received_at_us: now_us };
            self.broadcaster.set(Some(sender.most_advanced(self.broadcaster.get())));
        }
        new
    }

    /// The nodes to forward a relay to.
    pub fn relay_forwarders(&self, datagram: &RelayDatagram) -> Vec<Forwarder<SocketAddr>> {
        self.forwarders(datagram.origin, datagram.segment, RELAY_PORT_OFFSET)
    }

    /// The nodes to forward a broadcast to, each with its part of the segment. `port_offset` is relative to
    /// the gossip port.
    fn forwarders(
        &self,
        origin: SocketAddr,
        segment: Segment,
        port_offset: u16,
    ) -> Vec<Forwarder<SocketAddr>> {
        let membership = self.membership.borrow();
        let others = membership.rows().skip(1).filter(|row| row.state != VmState::Dead);
        let others = others.filter(|row| row.control_address() != origin);
        let peers = others.map(|row| OrderedNode {
            position: relay_position(&row.identity),
            node: SocketAddr::new(row.identity.address, row.control_port + port_offset),
        });
        let own = relay_position(&membership.local_row().identity);
        let mut peers: Vec<_> = peers.collect();
        let fan_out = fan_out(peers.len());
        forwarders(segment, own, &mut peers, fan_out, &mut self.rng.borrow_mut())
    }

    /// This node's role in reading the platform for the fleet.
    pub fn reader_role(&self) -> ReaderRole {
        reader_roles::role(&self.membership.borrow())
    }

    /// Whether the node at the gossip address `origin` precedes this one in the order of readers.
    pub fn precedes(&self, origin: SocketAddr) -> bool {
        reader_roles::precedes(&self.membership.borrow(), origin)
    }
}

/// The position of a node in the forwarding order of relays.
fn relay_position(identity: &VmIdentity) -> u64 {
    broadcast_position(rank(RELAY_HASH_KEY, &identity.data_centre), rank(RELAY_HASH_KEY, &identity.name))
}

/// Creates a membership that contains only this node.
fn membership(settings: &NodeSettings, incarnation: Incarnation, seed: u64, now_us: u64) -> Membership {
    let options = MembershipOptions {
        probe_interval_ms: PING_INTERVAL_MS,
        suspect_ms: SUSPECT_MS,
        seeds: settings.seeds.clone(),
        ..MembershipOptions::default()
    };
    let local_row = MemberRow {
        identity: VmIdentity {
            name: settings.name.clone(),
            data_centre: settings.data_centre.clone(),
            address: settings.gossip.ip(),
            incarnation,
        },
        control_port: settings.gossip.port(),
        entry_port: settings.traffic.port(),
        state: VmState::Live,
        version: 0,
        entry: None,
        stamp: Stamp::default(),
        link_mbps: settings.link_mbps,
    };
    Membership::new(options, local_row, seed, now_us)
}
