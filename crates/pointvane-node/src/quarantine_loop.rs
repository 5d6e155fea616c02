//! News of requests under which upstreams crash, between nodes: what is seen goes out at once, what is heard goes on in rounds, and a part
//! of all that is known goes to one other node now and then. A node that has started or was paused pulls.

use {
    crate::{fleet::Fleet, node::Node},
    pointvane_core::{PlatformAdapter, US_PER_MS},
    pointvane_dispatch::{DIRECT_MAX, FAN_OUT, NewsBudget, QuarantineMessage, SuspectNews},
    pointvane_mesh::codec,
    std::{net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        net::UdpSocket,
        time::{Instant, MissedTickBehavior, interval, sleep_until},
    },
};

/// Time between two rounds of news. With [`ROUND_PEERS`] others a round, all of 1,800 simulated nodes know 1.2 s after the third crash at the worst
/// (`tests/quarantine_fleet.rs` of `pointvane-dispatch`).
const ROUND: Duration = Duration::from_millis(200);
/// Nodes that news go to in each round. Bounds bytes: at the most 10 datagrams of 1.4 KB a second while there are news.
const ROUND_PEERS: usize = 2;
/// Rounds after which a part of all that is known goes to one other node.
const ROUNDS_PER_PAGE: u64 = 5;
/// Shortest time between two broadcasts of what this node has seen itself. Not measured: many upstreams that crash at once fill one datagram.
const BROADCAST_PAUSE: Duration = Duration::from_millis(20);
/// Time between two rounds that says that this process was paused, and may have missed news. Not measured.
const PAUSED_AFTER_US: u64 = 1_000 * US_PER_MS;
/// Nodes that are pulled from in a round, until one has answered.
const PULL_PEERS: usize = 2;

/// Exchanges news for as long as the process lives.
pub async fn run<A: PlatformAdapter>(node: Rc<Node<A>>, socket: Rc<UdpSocket>) {
    tokio::join!(rounds(&node), broadcasts(&node), receive(&node, &socket));
}

async fn rounds<A: PlatformAdapter>(node: &Node<A>) {
    let mut ticks = interval(ROUND);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut round: u64 = 0;
    let mut before_us = node.now_us();
    loop {
        ticks.tick().await;
        let now_us = node.now_us();
        if now_us.saturating_sub(before_us) > PAUSED_AFTER_US {
            node.fleet.pull_quarantines();
        }
        before_us = now_us;
        pull(&node.fleet);
        let news = node.dispatcher.quarantine().take_round(now_us);
        send(&node.fleet, news, ROUND_PEERS);
        round += 1;
        if round.is_multiple_of(ROUNDS_PER_PAGE) {
            node.dispatcher.quarantine().expire(now_us);
            let page = node.dispatcher.quarantine().next_page(now_us);
            send(&node.fleet, page, 1);
        }
    }
}

/// Sends what this node itself has seen to all other nodes of a small fleet, to some of a large one, as far as the budget for that goes.
async fn broadcasts<A: PlatformAdapter>(node: &Node<A>) {
    let mut budget = NewsBudget::new(node.now_us());
    loop {
        node.quarantine_news.notified().await;
        let pause_over = Instant::now() + BROADCAST_PAUSE;
        loop {
            let news = node.dispatcher.quarantine().take_urgent(node.now_us());
            if news.is_empty() {
                break;
            }
            broadcast(node, news, &mut budget);
        }
        sleep_until(pause_over).await;
    }
}

fn broadcast<A: PlatformAdapter>(node: &Node<A>, news: Vec<SuspectNews>, budget: &mut NewsBudget) {
    let others = node.fleet.size() - 1;
    let wanted = if others <= DIRECT_MAX { others } else { FAN_OUT };
    let Some(bytes) = encoded(&QuarantineMessage::News(news)) else { return };
    let peers = budget.take(bytes.len() + codec::UDP_HEAD_BYTES, wanted, node.now_us());
    for peer in node.fleet.draw_quarantine_peers(peers) {
        node.fleet.send_quarantine_news(&bytes, peer);
    }
}

async fn receive<A: PlatformAdapter>(node: &Node<A>, socket: &UdpSocket) {
    let mut buffer = [0; codec::DATAGRAM_LIMIT_BYTES];
    loop {
        // As for gossip: an error is about an earlier send, and rubbish is ignored without a line.
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
        let Ok(message) = codec::decode::<QuarantineMessage>(&buffer[..length]) else { continue };
        match message {
            QuarantineMessage::News(news) => {
                let changes = node.dispatcher.quarantine().receive(&news, node.now_us());
                node.note_quarantine(changes);
            }
            QuarantineMessage::Pull => answer_pull(node, from),
            QuarantineMessage::Pulled => node.fleet.quarantines_pulled(),
        }
    }
}

fn answer_pull<A: PlatformAdapter>(node: &Node<A>, to: SocketAddr) {
    let pages = node.dispatcher.quarantine().pages_for_pull(node.now_us());
    let messages = pages.into_iter().map(QuarantineMessage::News).chain([QuarantineMessage::Pulled]);
    messages.for_each(|message| send_to(&node.fleet, &message, to));
}

fn pull(fleet: &Fleet) {
    if !fleet.take_pull() {
        return;
    }
    for peer in fleet.draw_quarantine_peers(PULL_PEERS) {
        send_to(fleet, &QuarantineMessage::Pull, peer);
    }
}

fn send(fleet: &Fleet, news: Vec<SuspectNews>, peers: usize) {
    if news.is_empty() {
        return;
    }
    let message = QuarantineMessage::News(news);
    for peer in fleet.draw_quarantine_peers(peers) {
        send_to(fleet, &message, peer);
    }
}

fn send_to(fleet: &Fleet, message: &QuarantineMessage, to: SocketAddr) {
    if let Some(bytes) = encoded(message) {
        fleet.send_quarantine_news(&bytes, to);
    }
}

/// A message's bytes. Messages are bounded to a datagram; one that were longer would be lost, as on the way.
fn encoded(message: &QuarantineMessage) -> Option<Vec<u8>> {
    codec::encode(message).ok()
}
