//! What sentinels tell all other nodes of the platform, over UDP.

use {
    crate::node::Node,
    pointvane_core::{PlatformAdapter, VmState},
    pointvane_dispatch::{Relay, WireRelay},
    pointvane_mesh::codec,
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::{net::UdpSocket, time::interval},
};

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
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let Ok(wire) = codec::decode::<WireRelay>(&buffer[..length]) else {
            continue;
        };
        let relay = Relay::from(wire);
        node.note_teller(from.ip());
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
        let (Some(relay), Some(socket)) = (relay, self.relay_socket()) else {
            return;
        };
        let small = || codec::encode(&WireRelay::from(relay.clone().without_changes()));
        let Ok(bytes) = codec::encode(&WireRelay::from(relay.clone())).or_else(|_| small()) else {
            return;
        };
        let membership = self.membership.borrow();
        let others = membership.rows().skip(1).filter(|row| row.state != VmState::Dead);
        for row in others {
            // A datagram that cannot leave now is as good as lost.
            _ = socket.try_send_to(&bytes, SocketAddr::new(row.identity.address, row.control_port + 1));
        }
    }
}
