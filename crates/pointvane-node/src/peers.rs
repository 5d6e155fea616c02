//! The other nodes: who is there, what they know, and what this node tells of itself.

use {
    crate::{node::Node, settings::NodeSettings, stop::Stage},
    pointvane_core::{Incarnation, PlatformAdapter, VmIdentity, VmState},
    pointvane_dispatch::DirectoryMember,
    pointvane_mesh::{EntryRow, MemberRow, Membership, MembershipOptions, Stamp, choose_readers},
    std::{net::SocketAddr, rc::Rc},
    tokio::net::UdpSocket,
};

/// Time between two checks of other nodes, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 400;
/// Time from suspicion of a node to its death, in milliseconds.
const SUSPECT_MS: u64 = 900;
/// Nodes that look at the platform often, for all.
const SENTINELS: usize = 2;
/// What the sentinels are ranked for.
const SENTINEL_SUBJECT: &str = "platform";

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
        let sentinel = self.is_sentinel();
        self.feed.borrow_mut().hear_peers(sentinel, self.peer_revision.get(), self.now_us());
        self.look_whether_behind();
    }

    /// Ends a rest or a hung watch when the platform is known to hold more.
    pub fn look_whether_behind(&self) {
        if self.feed.borrow().is_behind() {
            self.watch_renewed.notify_waiters();
        }
    }

    /// Whether this node is one of the few that look at the platform often, for all.
    fn is_sentinel(&self) -> bool {
        let membership = self.membership.borrow();
        let sentinels = choose_readers(SENTINEL_SUBJECT, membership.rows(), SENTINELS);
        sentinels.contains(&membership.me().identity.name)
    }

    /// Returns once the watch under way is to be made anew.
    pub async fn watch_renewed(&self) {
        self.watch_renewed.notified().await;
    }

    /// What this node tells of its reading.
    pub fn stamp(&self) -> Stamp {
        Stamp { revision: self.feed.borrow().revision(), index: 0 }
    }
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
