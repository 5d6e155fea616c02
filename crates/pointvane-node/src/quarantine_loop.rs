//! Exchanges updates on crash-inducing requests with the other nodes.
//!
//! A node broadcasts its own observations at once and forwards received updates in gossip rounds. As
//! anti-entropy it periodically sends one page of its full state to one other node. A node that has started
//! or was paused pulls the full state.

use {
    crate::{fleet::Fleet, node::Node},
    pointvane_core::{PlatformAdapter, US_PER_MS},
    pointvane_dispatch::{BroadcastBudget, DIRECT_SEND_MAX, FAN_OUT, QuarantineMessage, SuspectReport},
    pointvane_mesh::codec,
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        net::UdpSocket,
        time::{Instant, MissedTickBehavior, interval, sleep_until},
    },
};

/// Time between two gossip rounds. With [`ROUND_PEERS`] peers per round, all of 1,800 simulated nodes are
/// informed within 1.2 s of the third crash in the worst case (`tests/quarantine_fleet.rs` of
/// `pointvane-dispatch`).
const ROUND_INTERVAL: Duration = Duration::from_millis(200);
/// Number of peers per gossip round. Bounds the traffic to 10 datagrams of 1.4 KB a second while there are
/// updates.
const ROUND_PEERS: usize = 2;
/// Number of rounds between two pages of the full state.
const ROUNDS_PER_PAGE: u64 = 5;
/// Minimum time between two broadcasts of this node's own observations. Upstreams that crash at the same time
/// then share one datagram.
const BROADCAST_INTERVAL_MIN: Duration = Duration::from_millis(20);
/// Time between two rounds above which this process was paused and may have missed updates, in microseconds.
const PAUSE_THRESHOLD_US: u64 = 1_000 * US_PER_MS;
/// Number of peers to pull from in each round, until one has answered.
const PULL_PEERS: usize = 2;

/// Exchanges quarantine messages until the process ends.
pub async fn run<A: PlatformAdapter>(node: Rc<Node<A>>, socket: Rc<UdpSocket>) {
    tokio::join!(send_rounds(&node), send_broadcasts(&node), receive(&node, &socket));
}

async fn send_rounds<A: PlatformAdapter>(node: &Node<A>) {
    let mut ticks = interval(ROUND_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut round: u64 = 0;
    let mut previous_round_us = node.now_us();
    loop {
        ticks.tick().await;
        let now_us = node.now_us();
        if now_us.saturating_sub(previous_round_us) > PAUSE_THRESHOLD_US {
            node.fleet.request_quarantine_pull();
        }
        previous_round_us = now_us;
        pull(&node.fleet);
        let updates = node.dispatcher.quarantine().take_gossip_round(now_us);
        send(&node.fleet, updates, ROUND_PEERS);
        round += 1;
        if round.is_multiple_of(ROUNDS_PER_PAGE) {
            node.dispatcher.quarantine().expire(now_us);
            let page = node.dispatcher.quarantine().next_page(now_us);
            send(&node.fleet, page, 1);
        }
    }
}

/// Broadcasts this node's own observations: to all other nodes of a small fleet, to a random sample of a
/// large one, and to no more than the traffic budget allows.
async fn send_broadcasts<A: PlatformAdapter>(node: &Node<A>) {
    let mut budget = BroadcastBudget::new(node.now_us());
    loop {
        node.quarantine_updates.notified().await;
        let next_broadcast_at = Instant::now() + BROADCAST_INTERVAL_MIN;
        loop {
            let updates = node.dispatcher.quarantine().take_broadcast(node.now_us());
            if updates.is_empty() {
                break;
            }
            broadcast(node, updates, &mut budget);
        }
        sleep_until(next_broadcast_at).await;
    }
}

fn broadcast<A: PlatformAdapter>(node: &Node<A>, updates: Vec<SuspectReport>, budget: &mut BroadcastBudget) {
    let others = node.fleet.size() - 1;
    let peers_wanted = if others <= DIRECT_SEND_MAX { others } else { FAN_OUT };
    let Some(bytes) = encode(&QuarantineMessage::Reports(updates)) else { return };
    let peers = budget.take(bytes.len() + codec::IP_UDP_HEADER_BYTES, peers_wanted, node.now_us());
    for peer in node.fleet.sample_quarantine_peers(peers) {
        node.fleet.send_quarantine_update(&bytes, peer);
    }
}

async fn receive<A: PlatformAdapter>(node: &Node<A>, socket: &UdpSocket) {
    let mut buffer = [0; codec::DATAGRAM_LIMIT_BYTES];
    loop {
        // As in `gossip_loop.rs`: an error reports an earlier send, and malformed datagrams are not logged.
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
        let Ok(message) = codec::decode::<QuarantineMessage>(&buffer[..length]) else { continue };
        match message {
            QuarantineMessage::Reports(updates) => {
                let changes = node.dispatcher.quarantine().receive(&updates, node.now_us());
                node.note_quarantine(changes);
            }
            QuarantineMessage::Pull => answer_pull(node, from),
            QuarantineMessage::PullComplete => node.fleet.record_pull_answer(),
        }
    }
}

fn answer_pull<A: PlatformAdapter>(node: &Node<A>, to: SocketAddr) {
    let pages = node.dispatcher.quarantine().pages_for_pull(node.now_us());
    let messages = pages.into_iter().map(QuarantineMessage::Reports).chain([QuarantineMessage::PullComplete]);
    messages.for_each(|message| send_to(&node.fleet, &message, to));
}

fn pull(fleet: &Fleet) {
    if !fleet.take_pull_round() {
        return;
    }
    for peer in fleet.sample_quarantine_peers(PULL_PEERS) {
        send_to(fleet, &QuarantineMessage::Pull, peer);
    }
}

fn send(fleet: &Fleet, updates: Vec<SuspectReport>, peers: usize) {
    if updates.is_empty() {
        return;
    }
    let message = QuarantineMessage::Reports(updates);
    for peer in fleet.sample_quarantine_peers(peers) {
        send_to(fleet, &message, peer);
    }
}

fn send_to(fleet: &Fleet, message: &QuarantineMessage, to: SocketAddr) {
    if let Some(bytes) = encode(message) {
        fleet.send_quarantine_update(&bytes, to);
    }
}

/// Encodes a message. Messages are kept within a datagram; an oversized one is dropped like a lost datagram.
fn encode(message: &QuarantineMessage) -> Option<Vec<u8>> {
    codec::encode(message).ok()
}
