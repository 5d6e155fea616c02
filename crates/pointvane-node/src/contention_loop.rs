//! Exchanges load reports on contended services with random other nodes, and reports which services are
//! contended.
//!
//! Nothing is sent while no service is contended.

use {
    crate::node::Node,
    pointvane_core::{PlatformAdapter, US_PER_MS},
    pointvane_dispatch::{ContentionChange, ContentionMessage},
    pointvane_mesh::codec,
    pointvane_telemetry::EventKind,
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::{net::UdpSocket, time::sleep},
};

/// Time between two rounds of the exchange. Together with the number of peers and of entries in a datagram
/// this limits what a node sends to 8.5 KB/s.
const ROUND_INTERVAL: Duration = Duration::from_millis(50);
/// The same while no service is contended, so that an idle node wakes up rarely.
const CALM_INTERVAL: Duration = Duration::from_millis(250);
/// Time since the last round above which this process was paused, in microseconds. Datagrams that arrived
/// meanwhile are outdated.
const PAUSE_THRESHOLD_US: u64 = 500 * US_PER_MS;
/// Number of parts in a share of 1 in events.
const PER_MILLE: f32 = 1_000.0;

/// Exchanges contention messages until the process ends.
pub async fn run<A: PlatformAdapter>(node: Rc<Node<A>>, socket: Rc<UdpSocket>) {
    let last_round_us = Cell::new(node.now_us());
    tokio::join!(send_rounds(&node, &last_round_us), receive(&node, &socket, &last_round_us));
}

async fn send_rounds<A: PlatformAdapter>(node: &Node<A>, last_round_us: &Cell<u64>) {
    loop {
        let is_calm = node.dispatcher.pool().contention_table().is_calm();
        sleep(if is_calm { CALM_INTERVAL } else { ROUND_INTERVAL }).await;
        last_round_us.set(node.now_us());
        send_round(node);
        report_changes(node);
    }
}

fn send_round<A: PlatformAdapter>(node: &Node<A>) {
    let now_us = node.now_us();
    let nodes = node.fleet.reachable_nodes(now_us);
    let messages = node.dispatcher.pool_mut().contention_table_mut().take_messages(nodes, now_us);
    if messages.is_empty() {
        return;
    }
    let peers = node.fleet.sample_contention_peers(messages.len());
    for (message, peer) in messages.iter().zip(peers) {
        // Messages are kept within a datagram; an oversized one is dropped like a lost datagram.
        if let Ok(bytes) = codec::encode(message) {
            node.report.sent_contention(bytes.len());
            node.fleet.send_contention(&bytes, peer);
        }
    }
}

async fn receive<A: PlatformAdapter>(node: &Node<A>, socket: &UdpSocket, last_round_us: &Cell<u64>) {
    let mut buffer = [0; codec::DATAGRAM_LIMIT_BYTES];
    loop {
        // As in `gossip_loop.rs`: an error reports an earlier send, and malformed datagrams are not logged.
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else { continue };
        let Ok(message) = codec::decode::<ContentionMessage>(&buffer[..length]) else { continue };
        node.report.received_contention(length);
        let now_us = node.now_us();
        if now_us.saturating_sub(last_round_us.get()) < PAUSE_THRESHOLD_US {
            node.dispatcher.pool_mut().contention_table_mut().receive(&message, now_us);
        }
    }
}

/// Reports the services that became contended, or no longer are.
fn report_changes<A: PlatformAdapter>(node: &Node<A>) {
    let now_us = node.now_us();
    let changes = node.dispatcher.pool_mut().contention_table_mut().take_changes(now_us);
    if changes.is_empty() {
        return;
    }
    let contended = node.dispatcher.pool().contention_table().contended(now_us).count();
    node.report.contention_changed(changes.len(), contended);
    changes.into_iter().for_each(|change| node.report.record_rate_limited(now_us, event(change)));
}

fn event(change: ContentionChange) -> EventKind {
    let ContentionChange { service, data_centre, is_contended, contention } = change;
    let per_mille = |share: f32| (share * PER_MILLE) as u32;
    EventKind::ContentionChanged {
        service,
        data_centre,
        contended: is_contended,
        uncontended_per_mille: contention.map(|estimate| per_mille(estimate.uncontended_share)),
        occupancy_per_mille: contention.map(|estimate| per_mille(estimate.occupancy)),
    }
}
