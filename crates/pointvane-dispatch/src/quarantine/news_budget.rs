//! How many nodes a broadcast of news may go to at once: bounds what many crashes at the same moment cost a node's link.

use pointvane_core::TokenBucket;

/// Bytes a second that broadcasts may take, IP and UDP heads included. Worked out: with the rounds of news, at the most 3 KB/s, a part of the
/// 18 KB/s that a node may spend for control.
const BROADCAST_BYTES_PER_S: f64 = 6_000.0;
/// Bytes that are saved up: one crash to all of 121 nodes at once. Not measured at other values.
const BROADCAST_BYTES_MAX: f64 = 12_000.0;

/// The bytes that a node may still spend on broadcasts.
#[derive(Clone, Debug)]
pub struct NewsBudget {
    bytes: TokenBucket,
}

impl NewsBudget {
    /// A full budget.
    pub fn new(now_us: u64) -> Self {
        Self { bytes: TokenBucket::timed(BROADCAST_BYTES_PER_S, BROADCAST_BYTES_MAX, now_us) }
    }

    /// How many of `wanted` nodes a datagram of `bytes` may go to now; the others learn it by the rounds.
    pub fn take(&mut self, bytes: usize, wanted: usize, now_us: u64) -> usize {
        let affordable = (self.bytes.level(now_us) / bytes.max(1) as f64) as usize;
        let peers = affordable.min(wanted);
        // As many as fit are there.
        self.bytes.take((peers * bytes) as f64, now_us);
        peers
    }
}
