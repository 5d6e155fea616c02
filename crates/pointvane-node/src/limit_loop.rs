//! Announces the request limits of upstreams to the other nodes, and maintains this node's share of each limit.
//!
//! Nothing is sent, and no timer runs, while no upstream advertises a limit. A new or changed limit is
//! announced to all nodes at once. An unchanged limit is announced again periodically, since datagrams may be
//! lost and nodes may start.

use {
    crate::node::Node,
    pointvane_core::{LimitRank, PlatformAdapter},
    pointvane_dispatch::{Forwarder, LIMITS_MAX, LimitAnnouncement, LimitMessage, Segment, UpstreamKey},
    pointvane_mesh::codec,
    std::{collections::HashMap, rc::Rc, time::Duration},
    tokio::{
        net::UdpSocket,
        time::{MissedTickBehavior, interval},
    },
};

/// Time between two checks for due announcements and for changed shares.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Exchanges limit messages until the process ends.
pub async fn run<A: PlatformAdapter>(node: Rc<Node<A>>, socket: Rc<UdpSocket>) {
    tokio::join!(maintain(&node), receive(&node, &socket));
}

/// The inputs from which this node's share of a limit is computed.
#[derive(Clone, Copy, Debug, PartialEq)]
struct RankInputs {
    /// [`Fleet::membership_changes`](crate::fleet::Fleet::membership_changes) at the time of the computation.
    membership_changes: u64,
    per_1000_s: Option<u32>,
    doublings: u32,
    rank: Option<LimitRank>,
}

async fn maintain<A: PlatformAdapter>(node: &Node<A>) {
    loop {
        node.limits_changed.notified().await;
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut inputs_by_upstream = HashMap::new();
        while !node.dispatcher.pool().limited().is_empty() {
            tokio::select! {
                _ = ticks.tick() => {}
                () = node.limits_changed.notified() => {}
            }
            let expired = node.dispatcher.pool_mut().expire_limits(node.now_us());
            expired.into_iter().for_each(|(key, change)| node.report_limit_change(key, change));
            update_ranks(node, &mut inputs_by_upstream);
            send_announcements(node);
        }
    }
}

/// Recomputes this node's share of each limit whose inputs have changed.
fn update_ranks<A: PlatformAdapter>(
    node: &Node<A>,
    inputs_by_upstream: &mut HashMap<UpstreamKey, RankInputs>,
) {
    let now_us = node.now_us();
    let limited = node.dispatcher.pool().limited();
    inputs_by_upstream.retain(|key, _| limited.contains(key));
    for key in limited {
        let Some(inputs) = rank_inputs(node, key, now_us) else { continue };
        if inputs_by_upstream.insert(key, inputs) != Some(inputs) {
            node.dispatcher.pool_mut().set_limit_rank(key, inputs.rank, now_us);
        }
    }
}

/// Recomputes this node's share of one limit unconditionally.
pub fn update_limit_rank<A: PlatformAdapter>(node: &Node<A>, key: UpstreamKey) {
    let now_us = node.now_us();
    if let Some(inputs) = rank_inputs(node, key, now_us) {
        node.dispatcher.pool_mut().set_limit_rank(key, inputs.rank, now_us);
    }
}

fn rank_inputs<A: PlatformAdapter>(node: &Node<A>, key: UpstreamKey, now_us: u64) -> Option<RankInputs> {
    let pool = node.dispatcher.pool();
    let state = pool.get(key)?;
    let fleet_view = node.fleet.view(&node.settings(), now_us);
    let rank = || node.fleet.limit_rank(state.id(), fleet_view, node.uptime_ms());
    Some(RankInputs {
        membership_changes: node.fleet.membership_changes(),
        per_1000_s: state.limit().per_1000_s(),
        doublings: state.limit().doublings(now_us),
        rank: node.lifecycle.is_running().then(rank),
    })
}

/// Broadcasts the announcements that are due.
fn send_announcements<A: PlatformAdapter>(node: &Node<A>) {
    let announcements = node.dispatcher.pool_mut().take_limit_announcements(node.now_us());
    let origin = node.settings().gossip;
    for limits in announcements.chunks(LIMITS_MAX) {
        forward(node, &LimitMessage { origin, segment: Segment::ALL, limits: limits.to_vec() });
    }
}

async fn receive<A: PlatformAdapter>(node: &Node<A>, socket: &UdpSocket) {
    let mut buffer = [0; codec::DATAGRAM_LIMIT_BYTES];
    loop {
        // As in `gossip_loop.rs`: an error reports an earlier send, and malformed datagrams are not logged.
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else { continue };
        let Ok(message) = codec::decode::<LimitMessage>(&buffer[..length]) else { continue };
        message.limits.iter().for_each(|announcement| receive_limit(node, announcement));
        forward(node, &message);
    }
}

fn receive_limit<A: PlatformAdapter>(node: &Node<A>, announcement: &LimitAnnouncement) {
    let change = node.dispatcher.pool_mut().receive_limit(announcement, node.now_us());
    if let Some((key, change)) = change {
        node.report_limit_change(key, change);
    }
}

/// Forwards a message to the next nodes of the broadcast tree, each of which covers a part of its segment.
fn forward<A: PlatformAdapter>(node: &Node<A>, message: &LimitMessage) {
    for Forwarder { node: to, segment } in node.fleet.limit_forwarders(message.origin, message.segment) {
        let message = LimitMessage { segment, ..message.clone() };
        // Messages are kept within a datagram; an oversized one is dropped like a lost datagram.
        if let Ok(bytes) = codec::encode(&message) {
            node.fleet.send_limits(&bytes, to);
        }
    }
}
