//! Datagrams between nodes: who is there, and how far each has read the platform.

use {
    crate::node::Node,
    pointvane_core::PlatformAdapter,
    pointvane_mesh::{Action, GossipMessage, Stamps, codec},
    pointvane_telemetry::EventKind,
    std::{rc::Rc, time::Duration},
    tokio::{net::UdpSocket, time::interval},
};

const TICK: Duration = Duration::from_millis(100);

impl<A: PlatformAdapter> Node<A> {
    /// Does what membership asks for.
    pub fn perform(&self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    if let (Ok(bytes), Some(socket)) = (codec::encode(&*message), self.gossip_socket()) {
                        // A datagram that cannot leave now is as good as lost.
                        _ = socket.try_send_to(&bytes, to);
                    }
                }
                Action::Changed(change) => {
                    let kind = EventKind::MemberChanged { member: change.name, state: change.state };
                    self.report.believed(self.now_us(), kind);
                    self.share_budgets();
                }
            }
        }
    }
}

/// Talks to the other nodes for as long as the process lives.
pub async fn gossip<A: PlatformAdapter>(node: Rc<Node<A>>, socket: Rc<UdpSocket>) {
    tokio::join!(tick(&node), receive(&node, &socket));
}

async fn tick<A: PlatformAdapter>(node: &Node<A>) {
    let mut ticks = interval(TICK);
    loop {
        ticks.tick().await;
        let stamps = Stamps { configuration: node.stamp(), ..Stamps::default() };
        let told = node.membership.borrow_mut().set_stamps(stamps);
        node.perform(told);
        let actions = node.membership.borrow_mut().tick(node.now_us());
        node.perform(actions);
        node.look_at_peers();
        node.forget_lapsed();
    }
}

async fn receive<A: PlatformAdapter>(node: &Node<A>, socket: &UdpSocket) {
    let mut buffer = [0; codec::DATAGRAM_LIMIT_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        let Ok(message) = codec::decode::<GossipMessage>(&buffer[..length]) else {
            continue;
        };
        node.hear_peer(message.stamps.configuration.revision);
        let actions = node.membership.borrow_mut().receive(from, &message, node.now_us());
        node.perform(actions);
    }
}
