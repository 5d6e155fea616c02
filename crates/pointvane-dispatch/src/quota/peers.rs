//! Which other coordinators are reached: those that coordinate accounts together with this node.
//!
//! Coordinators of the same accounts send each other a heartbeat. The membership notices a partition later than an account can use up its quota, so
//! coordinators that no longer hear each other do not wait for it. Inputs: the other coordinator of each account, as the membership has it, what comes from them,
//! the steady clock. Tests: `tests/quota_peers.rs`, in fleets `tests/quota_fleet.rs`.

use {
    pointvane_core::US_PER_MS,
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
    },
};

/// Shortest time between two heartbeats to one coordinator, in microseconds.
const INTERVAL_MIN_US: u64 = 100 * US_PER_MS;
/// Time that each coordinator takes of the interval, in microseconds: bounds the datagrams of a node that has many.
const INTERVAL_PER_PEER_US: u64 = 10 * US_PER_MS;
/// How much earlier than due a heartbeat is sent, in microseconds: checks come at about the same interval, and one that came a little early would leave a heartbeat out.
const EARLY_US: u64 = 20 * US_PER_MS;
/// Intervals without a heartbeat after which a coordinator counts as out of reach.
const SILENT_INTERVALS: f64 = 3.5;

/// One other coordinator.
#[derive(Clone, Copy, Debug)]
struct Peer {
    heard_at_us: u64,
    /// When the last heartbeat was sent, or was due if that is later.
    sent_at_us: u64,
}

/// The other coordinators of a node's accounts.
#[derive(Clone, Debug, Default)]
pub struct CoordinatorPeers {
    peers: HashMap<SocketAddr, Peer>,
}

impl CoordinatorPeers {
    /// Follows these coordinators and no others; one that is new counts as heard.
    pub fn follow(&mut self, peers: &HashSet<SocketAddr>, now_us: u64) {
        self.peers.retain(|address, _| peers.contains(address));
        for address in peers {
            self.peers.entry(*address).or_insert(Peer { heard_at_us: now_us, sent_at_us: 0 });
        }
    }

    /// Takes note of a message of a coordinator; false if this node does not follow it.
    pub fn heard(&mut self, from: SocketAddr, now_us: u64) -> bool {
        let peer = self.peers.get_mut(&from);
        let is_followed = peer.is_some();
        if let Some(peer) = peer {
            peer.heard_at_us = now_us;
        }
        is_followed
    }

    /// Coordinators that are due for a heartbeat now.
    pub fn take_due(&mut self, now_us: u64) -> Vec<SocketAddr> {
        let interval_us = self.interval_us();
        let is_due = |peer: &Peer| now_us + EARLY_US >= peer.sent_at_us + interval_us;
        let due = self.peers.iter_mut().filter(|(_, peer)| is_due(peer));
        due.map(|(address, peer)| {
            let due_at_us = peer.sent_at_us + interval_us;
            peer.sent_at_us = due_at_us.clamp(now_us, now_us + EARLY_US);
            *address
        })
        .collect()
    }

    /// Whether a coordinator that is followed is out of reach.
    pub fn is_silent(&self, address: SocketAddr, now_us: u64) -> bool {
        let silent_after_us = (self.interval_us() as f64 * SILENT_INTERVALS) as u64;
        let peer = self.peers.get(&address);
        peer.is_some_and(|peer| now_us.saturating_sub(peer.heard_at_us) >= silent_after_us)
    }

    fn interval_us(&self) -> u64 {
        INTERVAL_MIN_US.max(self.peers.len() as u64 * INTERVAL_PER_PEER_US)
    }
}
