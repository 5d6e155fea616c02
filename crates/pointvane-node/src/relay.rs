//! What sentinels tell all other nodes of the platform, over UDP, passed on from node to node.

use {
    crate::node::Node,
    pointvane_core::{PlatformAdapter, VmIdentity, VmState},
    pointvane_dispatch::{
        Delegate, LineNode, Relay, RelayDatagram, Segment, WireRelay, delegates, fan_out, line_place,
    },
    pointvane_mesh::{codec, rank},
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::{net::UdpSocket, time::interval},
};

/// What nodes are placed by when they pass relays on.
const RELAY_SUBJECT: &str = "relay";
/// Time between two relays of a sentinel, besides those right after an answer of the platform.
const RELAY_INTERVAL: Duration = Duration::from_millis(300);

/// Relays, and hears relays, for as long as the process lives.
pub async fn relay<A: PlatformAdapter>(node: Rc<Node<A>>, socket: Rc<UdpSocket>) {
    tokio::join!(tell(&node), hear(&node, &socket));
}

async fn tell<A: PlatformAdapter>(node: &Node<A>) {
    let mut ticks = interval(RELAY_INTERVAL);
    loop {
        ticks.tick().await;
        if node.feed.borrow().is_sentinel() {
            node.send_relay();
        }
    }
}

async fn hear<A: PlatformAdapter>(node: &Node<A>, socket: &UdpSocket) {
    let mut buffer = [0; codec::DATAGRAM_LIMIT_BYTES];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let Ok(datagram) = codec::decode::<RelayDatagram>(&buffer[..length]) else {
            continue;
        };
        if !node.heard_rounds.borrow_mut().is_new(datagram.origin, datagram.round, node.now_us()) {
            continue;
        }
        node.pass_on(&datagram);
        node.teller.set(Some(datagram.origin));
        let relay = Relay::from(datagram.relay);
        let order = node.spread_order(relay.mark.revision);
        let changes = node.feed.borrow_mut().hear_relay(relay, order, node.now_us());
        if !changes.is_empty() {
            node.apply(changes);
        }
        node.look_whether_behind();
    }
}

impl<A: PlatformAdapter> Node<A> {
    /// Tells all others what this node knows of the platform, if that is current.
    pub fn send_relay(&self) {
        let relay = self.feed.borrow().relay(self.now_us());
        let Some(relay) = relay else { return };
        let round = self.relay_round.get() + 1;
        self.relay_round.set(round);
        let origin = self.settings.borrow().gossip;
        let whole =
            RelayDatagram { origin, round, segment: Segment::ALL, relay: WireRelay::from(relay.clone()) };
        // Whatever its segment, it must fit all the way.
        let longest = RelayDatagram { segment: Segment::LONGEST, ..whole.clone() };
        self.pass_on(&match codec::encode(&longest) {
            Ok(_) => whole,
            Err(_) => RelayDatagram { relay: relay.without_changes().into(), ..whole },
        });
    }

    /// Tells the few nodes by which all in the datagram's segment hear of it.
    fn pass_on(&self, datagram: &RelayDatagram) {
        let Some(socket) = self.relay_socket().filter(|_| datagram.segment != Segment::NONE) else { return };
        for Delegate { node, segment } in self.relay_delegates(datagram) {
            if let Ok(bytes) = codec::encode(&RelayDatagram { segment, ..datagram.clone() }) {
                // A datagram that cannot leave now is as good as lost.
                _ = socket.try_send_to(&bytes, node);
            }
        }
    }

    fn relay_delegates(&self, datagram: &RelayDatagram) -> Vec<Delegate<SocketAddr>> {
        let membership = self.membership.borrow();
        let others = membership.rows().skip(1).filter(|row| row.state != VmState::Dead);
        let others = others.filter(|row| row.control_address() != datagram.origin);
        let line = others.map(|row| LineNode {
            hash: place(&row.identity),
            node: SocketAddr::new(row.identity.address, row.control_port + 1),
        });
        let own = place(&membership.me().identity);
        let mut line: Vec<_> = line.collect();
        let fan_out = fan_out(line.len());
        delegates(datagram.segment, own, &mut line, fan_out, &mut self.rng.borrow_mut())
    }
}

/// Where a node stands when relays are passed on.
fn place(identity: &VmIdentity) -> u64 {
    line_place(rank(RELAY_SUBJECT, &identity.data_centre), rank(RELAY_SUBJECT, &identity.name))
}
