//! Reachability of the other coordinators: the nodes that coordinate accounts together with this node.
//!
//! Coordinators of the same accounts send each other heartbeats. An account can use up its quota before the
//! membership protocol detects a partition, so coordinators detect the loss of each other by missing
//! heartbeats. Inputs: the other coordinator of each account according to the membership, messages received
//! from them, the monotonic clock. Tests: `tests/quota_peers.rs`, in fleets `tests/quota_fleet.rs`.

use {
    pointvane_core::US_PER_MS,
    std::{
        collections::{HashMap, HashSet},
        net::SocketAddr,
    },
};

/// Shortest time between two heartbeats to one coordinator, in microseconds.
const HEARTBEAT_INTERVAL_MIN_US: u64 = 100 * US_PER_MS;
/// Interval per tracked coordinator, in microseconds: limits a node to 100 heartbeats per second.
const HEARTBEAT_INTERVAL_PER_PEER_US: u64 = 10 * US_PER_MS;
/// How long before its due time a heartbeat may be sent, in microseconds. The caller polls at about the
/// heartbeat interval, so without this tolerance a poll that comes slightly early would skip a heartbeat.
const EARLY_SEND_MAX_US: u64 = 20 * US_PER_MS;
/// Number of heartbeat intervals without a message after which a coordinator counts as unreachable.
const UNREACHABLE_AFTER_INTERVALS: f64 = 3.5;

/// Time after tracking began until which a coordinator may answer the first heartbeat, in microseconds.
const ANSWER_TIMEOUT_US: u64 = 150 * US_PER_MS;

/// Heartbeat state of one other coordinator.
#[derive(Clone, Copy, Debug)]
struct Peer {
    /// Time at which its last message arrived.
    received_at_us: Option<u64>,
    /// Time at which tracking began.
    tracked_since_us: u64,
    /// Time at which the last heartbeat was sent, or its due time if that is later.
    sent_at_us: u64,
}

/// The other coordinators of the accounts that this node coordinates.
#[derive(Clone, Debug, Default)]
pub struct CoordinatorPeers {
    peers: HashMap<SocketAddr, Peer>,
}

impl CoordinatorPeers {
    /// Tracks exactly these coordinators. A new one counts as reachable from `now_us` on.
    pub fn track(&mut self, peers: &HashSet<SocketAddr>, now_us: u64) {
        self.peers.retain(|address, _| peers.contains(address));
        for address in peers {
            self.peers.entry(*address).or_insert(Peer {
                received_at_us: None,
                tracked_since_us: now_us,
                sent_at_us: 0,
            });
        }
    }

    /// Records that a message arrived from a coordinator. Returns false if that coordinator is not tracked.
    pub fn record_message(&mut self, from: SocketAddr, now_us: u64) -> bool {
        let peer = self.peers.get_mut(&from);
        let is_tracked = peer.is_some();
        if let Some(peer) = peer {
            peer.received_at_us = Some(now_us);
        }
        is_tracked
    }

    /// Returns the coordinators that a heartbeat is due to, and marks these heartbeats as sent.
    pub fn take_due_heartbeats(&mut self, now_us: u64) -> Vec<SocketAddr> {
        let interval_us = self.interval_us();
        let is_due = |peer: &Peer| now_us + EARLY_SEND_MAX_US >= peer.sent_at_us + interval_us;
        let due = self.peers.iter_mut().filter(|(_, peer)| is_due(peer));
        due.map(|(address, peer)| {
            let due_at_us = peer.sent_at_us + interval_us;
            peer.sent_at_us = due_at_us.clamp(now_us, now_us + EARLY_SEND_MAX_US);
            *address
        })
        .collect()
    }

    /// Whether a tracked coordinator is unreachable; false for one that is not tracked.
    pub fn is_unreachable(&self, address: SocketAddr, now_us: u64) -> bool {
        let peer = self.peers.get(&address);
        peer.is_some_and(|peer| {
            let last_us = peer.received_at_us.unwrap_or(peer.tracked_since_us);
            now_us.saturating_sub(last_us) >= self.unreachable_after_us()
        })
    }

    /// Whether a message of a tracked coordinator arrived within the timeout.
    pub fn is_confirmed_reachable(&self, address: SocketAddr, now_us: u64) -> bool {
        let received_at_us = self.peers.get(&address).and_then(|peer| peer.received_at_us);
        received_at_us.is_some_and(|at_us| now_us.saturating_sub(at_us) < self.unreachable_after_us())
    }

    /// Whether a tracked coordinator has not answered a heartbeat, and no message of it arrived lately.
    pub fn is_lost(&self, address: SocketAddr, now_us: u64) -> bool {
        let tracked_us = |peer: &Peer| now_us.saturating_sub(peer.tracked_since_us);
        let had_time = self.peers.get(&address).is_some_and(|peer| tracked_us(peer) >= ANSWER_TIMEOUT_US);
        had_time && !self.is_confirmed_reachable(address, now_us)
    }

    fn unreachable_after_us(&self) -> u64 {
        (self.interval_us() as f64 * UNREACHABLE_AFTER_INTERVALS) as u64
    }

    fn interval_us(&self) -> u64 {
        HEARTBEAT_INTERVAL_MIN_US.max(self.peers.len() as u64 * HEARTBEAT_INTERVAL_PER_PEER_US)
    }
}
