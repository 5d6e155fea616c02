//! Relays over UDP: platform changes read by watchers, forwarded from node to node.

use {
    crate::node::Node,
    pointvane_core::PlatformAdapter,
    pointvane_dispatch::{Forwarder, Relay, RelayDatagram, Segment, WireRelay},
    pointvane_mesh::codec,
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::{net::UdpSocket, time::interval},
};

/// Time between two periodic relays of a watcher. Further relays follow each response of the platform.
///
/// A lease ([`pointvane_dispatch::ReaderOptions`]) outlives the loss of four consecutive relays.
const RELAY_INTERVAL: Duration = Duration::from_millis(300);

/// Sends and receives relays until the process ends.
pub async fn run<A: PlatformAdapter>(node: Rc<Node<A>>, socket: Rc<UdpSocket>) {
    tokio::join!(send(&node), receive(&node, &socket));
}

async fn send<A: PlatformAdapter>(node: &Node<A>) {
    let mut ticks = interval(RELAY_INTERVAL);
    loop {
        ticks.tick().await;
        if node.platform.state().watches() {
            node.send_relay();
        }
    }
}

async fn receive<A: PlatformAdapter>(node: &Node<A>, socket: &UdpSocket) {
    let mut buffer = [0; codec::DATAGRAM_LIMIT_BYTES];
    loop {
        // As in `gossip_loop.rs`: an error reports an earlier send, and malformed datagrams are not logged.
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else { continue };
        let Ok(datagram) = codec::decode::<RelayDatagram>(&buffer[..length]) else { continue };
        if node.fleet.is_new_relay(&datagram, node.now_us()) {
            node.forward_relay(&datagram);
            let relay = Relay::from(datagram.relay);
            node.observe_reader(datagram.origin, relay.age_ms);
            node.apply_relay(relay);
        }
    }
}

impl<A: PlatformAdapter> Node<A> {
    /// Broadcasts this node's platform state to all others, if it is current.
    pub fn send_relay(&self) {
        let relay = self.platform.state().relay(self.now_us());
        let Some(relay) = relay else { return };
        let (origin, round) = (self.settings().gossip, self.fleet.next_relay_round());
        let full =
            RelayDatagram { origin, round, segment: Segment::ALL, relay: WireRelay::from(relay.clone()) };
        // It must fit in a datagram with any segment that forwarding nodes assign.
        let with_longest_segment = RelayDatagram { segment: Segment::LONGEST, ..full.clone() };
        self.forward_relay(&match codec::encode(&with_longest_segment) {
            Ok(_) => full,
            Err(_) => RelayDatagram { relay: relay.without_changes().into(), ..full },
        });
    }

    /// Forwards a relay to the next nodes of the broadcast tree, each of which covers a part of its segment.
    fn forward_relay(&self, datagram: &RelayDatagram) {
        if datagram.segment == Segment::NONE {
            return;
        }
        for Forwarder { node, segment } in self.fleet.relay_forwarders(datagram) {
            // The sender checked the size with the longest segment.
            if let Ok(bytes) = codec::encode(&RelayDatagram { segment, ..datagram.clone() }) {
                self.fleet.send_relay(&bytes, node);
            }
        }
    }

    /// Stops watching in place of the watchers once a reader that precedes this node has read the platform.
    fn observe_reader(&self, origin: SocketAddr, age_ms: u64) {
        if self.platform.state().is_acting_watcher() {
            self.platform.state_mut().observe_reader(age_ms, self.fleet.precedes(origin));
        }
    }

    fn apply_relay(&self, relay: Relay) {
        let position = self.fleet.query_position(relay.mark.revision);
        let changes = self.platform.state_mut().receive_relay(relay, position, self.now_us());
        if !changes.is_empty() {
            self.apply(changes);
        }
        self.platform.notify_if_behind();
    }
}
