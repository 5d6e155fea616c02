//! Messages between nodes on the limits that upstreams advertise, and this node's part of each.
//!
//! Nothing is sent, and no timer runs, while no upstream advertises a limit. A limit that is new, or differs, is announced to all nodes at once;
//! one that goes on is announced again now and then, since a datagram may be lost and nodes start.

use {
    crate::node::Node,
    pointvane_core::{LimitPlace, PlatformAdapter},
    pointvane_dispatch::{Forwarder, LIMITS_MAX, LimitAnnouncement, LimitMessage, Segment, UpstreamKey},
    pointvane_mesh::codec,
    std::{collections::HashMap, rc::Rc, time::Duration},
    tokio::{
        net::UdpSocket,
        time::{MissedTickBehavior, interval},
    },
};

/// Time between two checks for announcements that are due, and for parts that change.
const TICK: Duration = Duration::from_millis(200);

/// Exchanges messages for as long as the process lives.
pub async fn run<A: PlatformAdapter>(node: Rc<Node<A>>, socket: Rc<UdpSocket>) {
    tokio::join!(follow(&node), receive(&node, &socket));
}

/// What a node's part of a limit was worked out from.
#[derive(Clone, Copy, Debug, PartialEq)]
struct PartBasis {
    /// Changes of the membership by then.
    changes: u64,
    per_1000_s: Option<u32>,
    doublings: u32,
    place: Option<LimitPlace>,
}

async fn follow<A: PlatformAdapter>(node: &Node<A>) {
    loop {
        node.limits_changed.notified().await;
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut parts = HashMap::new();
        while !node.dispatcher.pool().limited().is_empty() {
            tokio::select! {
                _ = ticks.tick() => {}
                () = node.limits_changed.notified() => {}
            }
            let expired = node.dispatcher.pool_mut().expire_limits(node.now_us());
            expired.into_iter().for_each(|(key, change)| node.note_limit(key, change));
            place(node, &mut parts);
            announce(node);
        }
    }
}

/// Works out this node's part of each limit anew, where what it rests on has changed.
fn place<A: PlatformAdapter>(node: &Node<A>, parts: &mut HashMap<UpstreamKey, PartBasis>) {
    let now_us = node.now_us();
    let limited = node.dispatcher.pool().limited();
    parts.retain(|key, _| limited.contains(key));
    for key in limited {
        let Some(basis) = basis(node, key, now_us) else { continue };
        if parts.insert(key, basis) != Some(basis) {
            node.dispatcher.pool_mut().set_limit_place(key, basis.place, now_us);
        }
    }
}

/// Works out this node's part of one limit, whatever it rested on before.
pub fn place_limit<A: PlatformAdapter>(node: &Node<A>, key: UpstreamKey) {
    let now_us = node.now_us();
    if let Some(basis) = basis(node, key, now_us) {
        node.dispatcher.pool_mut().set_limit_place(key, basis.place, now_us);
    }
}

fn basis<A: PlatformAdapter>(node: &Node<A>, key: UpstreamKey, now_us: u64) -> Option<PartBasis> {
    let pool = node.dispatcher.pool();
    let state = pool.get(key)?;
    let contact = node.fleet.contact(&node.settings(), now_us);
    let place = || node.fleet.limit_place(state.id(), contact, node.running_ms());
    Some(PartBasis {
        changes: node.fleet.changes(),
        per_1000_s: state.limit().per_1000_s(),
        doublings: state.limit().doublings(now_us),
        place: node.lifecycle.is_running().then(place),
    })
}

/// Sends all nodes the announcements that are due.
fn announce<A: PlatformAdapter>(node: &Node<A>) {
    let announcements = node.dispatcher.pool_mut().take_limit_announcements(node.now_us());
    let origin = node.settings().gossip;
    for limits in announcements.chunks(LIMITS_MAX) {
        pass_on(node, &LimitMessage { origin, segment: Segment::ALL, limits: limits.to_vec() });
    }
}

async fn receive<A: PlatformAdapter>(node: &Node<A>, socket: &UdpSocket) {
    let mut buffer = [0; codec::DATAGRAM_LIMIT_BYTES];
    loop {
        // As for gossip: an error is about an earlier send, and rubbish is ignored without a line.
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else { continue };
        let Ok(message) = codec::decode::<LimitMessage>(&buffer[..length]) else { continue };
        message.limits.iter().for_each(|announced| receive_limit(node, announced));
        pass_on(node, &message);
    }
}

fn receive_limit<A: PlatformAdapter>(node: &Node<A>, announced: &LimitAnnouncement) {
    let change = node.dispatcher.pool_mut().receive_limit(announced, node.now_us());
    if let Some((key, change)) = change {
        node.note_limit(key, change);
    }
}

/// Sends a message to the few nodes by which all in its segment receive it.
fn pass_on<A: PlatformAdapter>(node: &Node<A>, message: &LimitMessage) {
    for Forwarder { node: to, segment } in node.fleet.limit_forwarders(message.origin, message.segment) {
        let message = LimitMessage { segment, ..message.clone() };
        // Messages are bounded to a datagram; one that were longer would be lost, as on the way.
        if let Ok(bytes) = codec::encode(&message) {
            node.fleet.send_limits(&bytes, to);
        }
    }
}
