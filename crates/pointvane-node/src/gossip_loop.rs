//! Gossip datagrams between nodes: membership, and the platform revision that each node has read.

use {
    crate::node::Node,
    pointvane_core::PlatformAdapter,
    pointvane_mesh::{Action, GossipMessage, codec},
    pointvane_telemetry::EventKind,
    std::{rc::Rc, time::Duration},
    tokio::{net::UdpSocket, time::interval},
};

/// Time between two ticks of the membership protocol: a quarter of the ping interval.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Lateness from which a timer is reported: as long as the timeouts of probes, which it may spoil.
const LATE_MIN: Duration = Duration::from_millis(150);

impl<A: PlatformAdapter> Node<A> {
    /// Carries out the actions that the membership returned.
    pub fn perform(&self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    // The membership keeps messages within a datagram; an oversized one is dropped like a
                    // lost datagram.
                    if let Ok(bytes) = codec::encode(&*message) {
                        self.fleet.send_gossip(&bytes, to);
                    }
                }
                Action::Changed(change) => {
                    let kind = EventKind::MemberChanged { member: change.name, state: change.state };
                    self.report.record_rate_limited(self.now_us(), kind);
                    self.fleet.record_membership_change();
                    self.share_budgets();
                }
            }
        }
    }

    /// Publishes this node's readiness to the other nodes.
    pub fn publish_entry(&self) {
        self.fleet.set_entry(self.is_ready(), !self.lifecycle.is_running());
    }

    /// Compares the platform revision of this node with the latest one of its peers.
    fn compare_with_peers(&self) {
        let (role, latest) = (self.fleet.reader_role(), self.fleet.latest_revision());
        let now_us = self.now_us();
        self.platform.state_mut().set_reachable_nodes(self.fleet.reachable_nodes(now_us));
        self.platform.state_mut().compare_with_peers(role, latest, now_us);
        self.platform.notify_if_behind();
    }
}

/// Exchanges gossip datagrams until the process ends.
pub async fn run<A: PlatformAdapter>(node: Rc<Node<A>>, socket: Rc<UdpSocket>) {
    tokio::join!(tick(&node), receive(&node, &socket));
}

async fn tick<A: PlatformAdapter>(node: &Node<A>) {
    let mut ticks = interval(TICK_INTERVAL);
    let mut was_late = false;
    loop {
        let due_at = ticks.tick().await;
        let late = due_at.elapsed();
        if late >= LATE_MIN && !was_late {
            let kind = EventKind::TimersLate { late_ms: late.as_millis() as u64 };
            node.report.record_rate_limited(node.now_us(), kind);
        }
        was_late = late >= LATE_MIN;
        let actions = node.fleet.tick(node.platform.mark().revision, node.now_us());
        node.perform(actions);
        node.compare_with_peers();
        node.remove_expired();
    }
}

async fn receive<A: PlatformAdapter>(node: &Node<A>, socket: &UdpSocket) {
    let mut buffer = [0; codec::DATAGRAM_LIMIT_BYTES];
    loop {
        // A receive error on a UDP socket reports an earlier send that failed; gossip tolerates the loss.
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
        // Malformed datagrams and other protocol versions are not logged: any host can send to this port and
        // would control the log volume.
        let Ok(message) = codec::decode::<GossipMessage>(&buffer[..length]) else { continue };
        let actions = node.fleet.receive(from, &message, node.now_us());
        node.perform(actions);
    }
}
