//! The other nodes: who is there, what they know, and what this node tells of itself.

use {
    crate::{node::Node, settings::NodeSettings, stop::Stage},
    pointvane_core::{Incarnation, Name, PlatformAdapter, VmIdentity, VmState},
    pointvane_dispatch::{DirectoryMember, ReaderRole, SpreadPeer, Whom, earlier_peer, spread_order},
    pointvane_mesh::{EntryRow, MemberRow, Membership, MembershipOptions, Stamp, choose_readers, rank},
    rand::seq::IteratorRandom,
    std::{net::SocketAddr, rc::Rc},
    tokio::net::UdpSocket,
};

/// Time between two checks of other nodes, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 400;
/// Time from suspicion of a node to its death, in milliseconds.
const SUSPECT_MS: u64 = 900;
/// Nodes that watch the platform for all.
const SENTINELS: usize = 2;
/// Nodes that look at the platform when no sentinel is heard.
const DEPUTIES: usize = 4;
/// What sentinels and deputies are ranked for.
const READER_SUBJECT: &str = "platform";

impl<A: PlatformAdapter> Node<A> {
    /// Nodes that callers may be sent to.
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

    /// Tells the other nodes whether callers may be sent here, and what is known of the platform.
    pub fn tell_entry(&self) {
        let leaving = *self.stage.borrow() != Stage::Running;
        let ready = self.is_ready();
        let row = EntryRow { incarnation: self.incarnation, requests: 0, leaving };
        self.membership.borrow_mut().set_entry((ready || leaving).then_some(row));
    }

    /// Takes the socket for datagrams to other nodes.
    pub fn set_gossip_socket(&self, socket: Rc<UdpSocket>) {
        *self.gossip_socket.borrow_mut() = Some(socket);
    }

    /// The socket for datagrams to other nodes.
    pub fn gossip_socket(&self) -> Option<Rc<UdpSocket>> {
        self.gossip_socket.borrow().clone()
    }

    /// Takes the socket for relays.
    pub fn set_relay_socket(&self, socket: Rc<UdpSocket>) {
        *self.relay_socket.borrow_mut() = Some(socket);
    }

    /// The socket for relays.
    pub fn relay_socket(&self) -> Option<Rc<UdpSocket>> {
        self.relay_socket.borrow().clone()
    }

    /// Notes that a peer has read the platform up to a revision.
    pub fn hear_peer(&self, revision: u64) {
        self.peer_revision.set(self.peer_revision.get().max(revision));
    }

    /// Compares this node's reading with its peers'.
    pub fn look_at_peers(&self) {
        let role = self.reader_role();
        self.feed.borrow_mut().hear_peers(role, self.peer_revision.get(), self.now_us());
        self.look_whether_behind();
    }

    /// Ends a rest or a hung watch when the platform is known to hold more.
    pub fn look_whether_behind(&self) {
        if self.feed.borrow().is_behind() {
            self.watch_renewed.notify_waiters();
        }
    }

    /// What this node does for the others' reading; all nodes reckon alike.
    fn reader_role(&self) -> ReaderRole {
        let membership = self.membership.borrow();
        let readers = choose_readers(READER_SUBJECT, membership.rows(), SENTINELS + DEPUTIES);
        let place = readers.iter().position(|name| *name == membership.me().identity.name);
        match place {
            Some(place) if place < SENTINELS => ReaderRole::Sentinel,
            Some(_) => ReaderRole::Deputy,
            None => ReaderRole::Follower,
        }
    }

    /// This node's place in the order in which nodes ask each other for a revision, from 0 to 1.
    pub fn spread_order(&self, revision: u64) -> f64 {
        let membership = self.membership.borrow();
        spread_order(rank(&spread_subject(revision), &membership.me().identity.name))
    }

    /// The node to ask for what it knows of the platform.
    pub fn peer_to_ask(&self, whom: Whom) -> Option<SocketAddr> {
        match whom {
            Whom::Anyone => self.any_peer(),
            Whom::Earlier => self.earlier_peer().or(self.teller.get()),
            Whom::Teller => self.teller.get(),
        }
    }

    /// Any other live node, or any other seed while none is known.
    fn any_peer(&self) -> Option<SocketAddr> {
        let mut rng = self.rng.borrow_mut();
        let membership = self.membership.borrow();
        let live = membership.rows().skip(1).filter(|row| row.state == VmState::Live);
        if let Some(peer) = live.map(MemberRow::control_address).choose(&mut *rng) {
            return Some(peer);
        }
        let settings = self.settings.borrow();
        settings.seeds.iter().copied().filter(|seed| *seed != settings.gossip).choose(&mut *rng)
    }

    /// Another live node that asks for the latest revision well before this one.
    fn earlier_peer(&self) -> Option<SocketAddr> {
        let membership = self.membership.borrow();
        let me = &membership.me().identity;
        let subject = spread_subject(self.peer_revision.get());
        let order = |name: &Name| spread_order(rank(&subject, name));
        let live = membership.rows().skip(1).filter(|row| row.state == VmState::Live);
        let peers = live.map(|row| SpreadPeer {
            node: row.control_address(),
            order: order(&row.identity.name),
            near: row.identity.data_centre == me.data_centre,
        });
        earlier_peer(order(&me.name), peers, &mut self.rng.borrow_mut())
    }

    /// Returns once the watch under way is to be made anew.
    pub async fn watch_renewed(&self) {
        self.watch_renewed.notified().await;
    }

    /// What this node tells of its reading.
    pub fn stamp(&self) -> Stamp {
        Stamp { revision: self.feed.borrow().mark().revision, index: 0 }
    }
}

/// What nodes are ranked for when they ask each other for a revision: another order for each.
fn spread_subject(revision: u64) -> String {
    format!("state/{revision}")
}

/// A membership that knows only this node.
pub fn membership(settings: &NodeSettings, incarnation: Incarnation, seed: u64, now_us: u64) -> Membership {
    let options = MembershipOptions {
        probe_interval_ms: CHECK_INTERVAL_MS,
        suspect_ms: SUSPECT_MS,
        seeds: settings.seeds.clone(),
        ..MembershipOptions::default()
    };
    let me = MemberRow {
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
    };
    Membership::new(options, me, seed, now_us)
}
