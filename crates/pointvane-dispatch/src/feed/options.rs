//! Rules of reading the platform.

/// Rules of reading the platform.
#[derive(Clone, Copy, Debug)]
pub struct FeedOptions {
    /// Longest wait of a sentinel for a change, in milliseconds.
    ///
    /// A watch that hangs since a silence of the platform is noticed only when its wait is over.
    pub wait_ms: u64,
    /// Longest wait for an answer of the platform beyond the wait that was asked for, in milliseconds.
    pub patience_ms: u64,
    /// Longest wait for a peer's answer, in milliseconds.
    pub peer_patience_ms: u64,
    /// Peers that are asked for a state before the platform is.
    pub peer_asks: u32,
    /// Peers that are asked for a state after the start, before the platform is.
    pub start_asks: u32,
    /// Longest wait for each of their answers, in milliseconds: when all nodes start together, none knows anything.
    pub start_patience_ms: u64,
    /// Rest between two of these, in milliseconds.
    pub start_rest_ms: u64,
    /// Time over which all nodes ask peers for a new state, in milliseconds.
    pub spread_ms: u64,
    /// Rest of a sentinel between an answer that told changes and the next call, in milliseconds, so that changes
    /// come in batches.
    pub settle_ms: u64,
    /// First rest after a failure, in milliseconds; it doubles.
    pub retry_ms: u64,
    /// Longest rest of a sentinel after failures, in milliseconds.
    pub retry_max_ms: u64,
    /// Longest rest of all other nodes after failures, in milliseconds; their calls add up.
    pub retry_others_max_ms: u64,
    /// Time after which a peer's later revision makes this node ask, in milliseconds.
    pub behind_ms: u64,
    /// Age of the platform's last word up to which it counts as current, in milliseconds.
    pub lease_ms: u64,
    /// Least and most time that a follower waits for a deputy's word after its lease, in milliseconds.
    pub follower_wait_ms: (u64, u64),
    /// Silence of the platform after which it may have dropped entries of upstreams that live, in milliseconds.
    pub absence_ms: u64,
    /// Time after its return within which such entries come back, in milliseconds.
    pub reentry_ms: u64,
    /// Time for which peers have read on after which a silence counts as this node's alone, in milliseconds.
    pub own_absence_ms: u64,
}

impl Default for FeedOptions {
    fn default() -> Self {
        Self {
            wait_ms: 1_200,
            patience_ms: 700,
            peer_patience_ms: 200,
            peer_asks: 2,
            start_asks: 1,
            start_patience_ms: 40,
            start_rest_ms: 0,
            spread_ms: 300,
            settle_ms: 300,
            retry_ms: 100,
            retry_max_ms: 400,
            retry_others_max_ms: 1_600,
            behind_ms: 500,
            lease_ms: 1_450,
            follower_wait_ms: (120, 280),
            absence_ms: 2_500,
            reentry_ms: 2_200,
            own_absence_ms: 1_000,
        }
    }
}
