//! Single faults, drawn at random one after another.

use {
    crate::{
        fleet::Fleet,
        node::Node,
        peer_proxy::PeerLink,
        proxy::Link,
        users_platform::{Upstream, UpstreamBehaviour},
    },
    rand::{Rng, rngs::SmallRng, seq::IndexedRandom},
    std::{thread, time::Duration},
};

/// Misbehaviours of upstreams.
pub const BEHAVIOURS: [UpstreamBehaviour; 9] = [
    UpstreamBehaviour::LoseResponse,
    UpstreamBehaviour::WrongRequestId,
    UpstreamBehaviour::Reject,
    UpstreamBehaviour::Unmarked503,
    UpstreamBehaviour::Misdirected,
    UpstreamBehaviour::Truncated,
    UpstreamBehaviour::DuplicateResponse,
    UpstreamBehaviour::Silent,
    UpstreamBehaviour::ResetIdle,
];
const LINKS: [Link; 4] = [Link::Slow, Link::LostToServer, Link::LostToClient, Link::Broken];
/// Delay of messages between nodes. A round trip stays below the 200 ms that a node waits for the first byte
/// of a peer's answer.
const PEER_DELAY: Duration = Duration::from_millis(60);
const PEER_LINKS: [PeerLink; 5] = [
    PeerLink::Slow(PEER_DELAY),
    PeerLink::DropAll,
    PeerLink::DropInbound,
    PeerLink::DropOutbound,
    PeerLink::Reset,
];
/// Duration of a fault, in milliseconds.
const DURATION_MS: std::ops::Range<u64> = 200..1_500;
/// Longest pause between two faults, in milliseconds.
const INTERVAL_MAX_MS: u64 = 300;

/// Injects `count` faults one after another.
pub fn run(fleet: &Fleet, rng: &mut SmallRng, count: usize) {
    for _ in 0..count {
        inject_fault(fleet, rng);
        thread::sleep(Duration::from_millis(rng.random_range(0..INTERVAL_MAX_MS)));
    }
}

/// Injects one fault and reverts it after a while.
fn inject_fault(fleet: &Fleet, rng: &mut SmallRng) {
    let node = fleet.nodes.choose(rng).unwrap();
    let time = Duration::from_millis(rng.random_range(DURATION_MS));
    match rng.random_range(0..14) {
        0 => pause_node(fleet, node, time),
        1 => restart(fleet, node, "KILL", time / 4),
        2 => restart(fleet, node, "TERM", time / 4),
        3 => restart_while_paused(fleet, node, time),
        4 | 5 => impair_store_links(fleet, std::slice::from_ref(node), *LINKS.choose(rng).unwrap(), time),
        6 => impair_store_links(fleet, &fleet.nodes, *LINKS.choose(rng).unwrap(), time),
        7 | 8 => disrupt_upstream(fleet, rng, time),
        9 => replace_upstream(fleet, rng),
        12 => silence_connections(fleet, node, rng),
        10 | 11 => impair_peer_link(fleet, node, *PEER_LINKS.choose(rng).unwrap(), time),
        _ => {
            fleet.count("configure");
            fleet.versions.publish();
        }
    }
}

fn pause_node(fleet: &Fleet, node: &Node, time: Duration) {
    fleet.count("pause");
    node.pause(time);
}

pub fn restart(fleet: &Fleet, node: &Node, signal: &'static str, downtime: Duration) {
    if node.restart(signal, downtime, &fleet.seeds()) {
        fleet.count(signal);
    }
}

/// Sends SIGTERM to a process that is paused.
fn restart_while_paused(fleet: &Fleet, node: &Node, time: Duration) {
    thread::scope(|scope| {
        scope.spawn(|| pause_node(fleet, node, time));
        thread::sleep(time / 2);
        restart(fleet, node, "TERM", Duration::ZERO);
    });
}

fn impair_store_links(fleet: &Fleet, nodes: &[Node], link: Link, time: Duration) {
    fleet.count(if nodes.len() == 1 { "cut" } else { "cut all" });
    let faults: Vec<_> = nodes.iter().map(|node| node.impair_store_link(link)).collect();
    thread::sleep(time);
    nodes.iter().zip(faults).for_each(|(node, fault)| node.restore_store_link(fault));
}

/// Silences the open connections to the store or to an upstream permanently; new ones work.
fn silence_connections(fleet: &Fleet, node: &Node, rng: &mut SmallRng) {
    fleet.count("silence");
    let upstreams = fleet.upstreams();
    match upstreams.choose(rng).and_then(|listed| listed.link.as_ref().map(|link| (listed, link))) {
        Some((listed, link)) if rng.random_bool(0.5) => {
            let _fault = listed.faults.begin_fault();
            link.silence_open_connections();
        }
        _ => node.silence_store(),
    }
}

fn impair_peer_link(fleet: &Fleet, node: &Node, link: PeerLink, time: Duration) {
    if node.impair_peer_link(link, time) {
        fleet.count("cut peers");
    }
}

fn disrupt_upstream(fleet: &Fleet, rng: &mut SmallRng, time: Duration) {
    let upstreams = fleet.upstreams();
    let listed = upstreams.choose(rng).unwrap();
    match &listed.link {
        Some(link) if rng.random_bool(0.5) => {
            fleet.count("harm link");
            let _fault = listed.faults.begin_fault();
            link.set(*LINKS.choose(rng).unwrap());
            thread::sleep(time);
            link.set(Link::Healthy);
        }
        _ => {
            fleet.count("spoil");
            misbehave_for(&listed.upstream, *BEHAVIOURS.choose(rng).unwrap(), time);
        }
    }
}

/// Makes an upstream misbehave for a time. Upstreams that announce a limit are left alone: the limit has to
/// last.
pub fn misbehave_for(upstream: &Upstream, behaviour: UpstreamBehaviour, time: Duration) {
    if upstream.announces_limit() {
        return;
    }
    upstream.set_behaviour(behaviour);
    thread::sleep(time);
    if !upstream.announces_limit() {
        upstream.set_behaviour(UpstreamBehaviour::Normal);
    }
}

/// Adds an upstream and makes another one leave.
fn replace_upstream(fleet: &Fleet, rng: &mut SmallRng) {
    fleet.count("replace");
    let remaining = fleet.directory.remaining();
    fleet.directory.join();
    if let Some(index) = remaining.choose(rng) {
        fleet.directory.leave(*index, rng.random_bool(0.5));
    }
}
