//! Relays over UDP: what watchers read of the platform, passed on from node to node.

use {
    crate::node::Node,
    pointvane_core::PlatformAdapter,
    pointvane_dispatch::{Forwarder, Relay, RelayDatagram, Segment, WireRelay},
    pointvane_mesh::codec,
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::{net::UdpSocket, time::interval},
};

/// Time between two relays of a watcher, besides those right after an answer of the platform.
///
/// Not measured at other values: a lease ([`pointvane_dispatch::ReaderOptions`]) outlives four lost ones in a row.
const RELAY_INTERVAL: Duration = Duration::from_millis(300);

/// Sends and receives relays for as long as the process lives.
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
        // As for gossip: an error is about an earlier send, and rubbish is ignored without a line.
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else { continue };
        let Ok(datagram) = codec::decode::<RelayDatagram>(&buffer[..length]) else { continue };
        if node.fleet.is_new_relay(&datagram, node.now_us()) {
            node.pass_on(&datagram);
            let relay = Relay::from(datagram.relay);
            node.hear_reader(datagram.origin, relay.age_ms);
            node.apply_relay(relay);
        }
    }
}

impl<A: PlatformAdapter> Node<A> {
    /// Sends what this node knows of the platform to all others, if that is current.
    pub fn send_relay(&self) {
        let relay = self.platform.state().relay(self.now_us());
        let Some(relay) = relay else { return };
        let (origin, round) = (self.settings().gossip, self.fleet.next_relay_round());
        let whole =
            RelayDatagram { origin, round, segment: Segment::ALL, relay: WireRelay::from(relay.clone()) };
        // Whatever segment it gets on its way, it must fit a datagram.
        let longest = RelayDatagram { segment: Segment::LONGEST, ..whole.clone() };
        self.pass_on(&match codec::encode(&longest) {
            Ok(_) => whole,
            Err(_) => RelayDatagram { relay: relay.without_changes().into(), ..whole },
        });
    }

    /// Sends a relay to the few nodes by which all in its segment receive it.
    fn pass_on(&self, datagram: &RelayDatagram) {
        if datagram.segment == Segment::NONE {
            return;
        }
        for Forwarder { node, segment } in self.fleet.relay_forwarders(datagram) {
            // A relay that fits with the longest segment fits with any.
            if let Ok(bytes) = codec::encode(&RelayDatagram { segment, ..datagram.clone() }) {
                self.fleet.send_relay(&bytes, node);
            }
        }
    }

    /// Stops watching in the watchers' place once a reader that precedes this node is answered.
    fn hear_reader(&self, origin: SocketAddr, age_ms: u64) {
        if self.platform.state().stands_in() {
            self.platform.state_mut().hear_reader(age_ms, self.fleet.precedes(origin));
        }
    }

    fn apply_relay(&self, relay: Relay) {
        let order = self.fleet.query_position(relay.mark.revision);
        let changes = self.platform.state_mut().receive_relay(relay, order, self.now_us());
        if !changes.is_empty() {
            self.apply(changes);
        }
        self.platform.tell_news();
    }
}
