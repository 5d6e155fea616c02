//! Rate limit for broadcasts of quarantine evidence. Bounds the bandwidth that many simultaneous crashes use
//! on a node.

use pointvane_core::TokenBucket;

/// Broadcast rate in bytes per second, including IP and UDP headers. Together with gossip rounds, which use
/// at most 3 KB/s, this is part of the 18 KB/s that a node may use for control traffic.
const BROADCAST_BYTES_PER_S: f64 = 6_000.0;
/// Burst size in bytes: enough to send one crash to all of 121 nodes at once.
const BROADCAST_BURST_BYTES: f64 = 12_000.0;

/// Token bucket for the bytes that a node may send in broadcasts.
#[derive(Clone, Debug)]
pub struct BroadcastBudget {
    bytes: TokenBucket,
}

impl BroadcastBudget {
    /// Creates a full budget. `now_us` is in microseconds of the monotonic clock.
    pub fn new(now_us: u64) -> Self {
        Self { bytes: TokenBucket::full(BROADCAST_BYTES_PER_S, BROADCAST_BURST_BYTES, now_us) }
    }

    /// Takes the cost of sending a datagram of `bytes` to up to `wanted` nodes and returns to how many nodes
    /// it may be sent now. The others receive its contents through gossip rounds.
    pub fn take(&mut self, bytes: usize, wanted: usize, now_us: u64) -> usize {
        let affordable = (self.bytes.level(now_us) / bytes.max(1) as f64) as usize;
        let peers = affordable.min(wanted);
        // Cannot fail: `peers` was computed from the current level.
        self.bytes.try_take((peers * bytes) as f64, now_us);
        peers
    }
}
