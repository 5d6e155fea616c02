//! Replication of one published value between processes: the value in force, whether another one is newer,
//! and which peer to fetch it from.
//!
//! Values are ordered by the operators' revision, then by the platform's write count. A platform that was
//! restored from an old backup, with a lower write count, therefore can't bring back an old revision, and of
//! two writes with the same revision the later one wins in all processes.

use {
    pointvane_core::US_PER_MS,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Version of a published value; values are ordered by it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    /// The operators' revision; 0 for values without one.
    pub revision: u64,
    /// The platform's write count when the value was written.
    pub index: u64,
}

/// A published value with its stamp.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StampedValue {
    /// The value's stamp.
    pub stamp: Stamp,
    /// The value's bytes as published.
    pub value: Vec<u8>,
}

/// A received value, by its source. The value has been validated already.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Offer {
    /// The value was read from the platform.
    Platform(StampedValue),
    /// The value was fetched from a peer.
    Peer(StampedValue),
}

/// Result of an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferResult {
    /// The value is in force from now on.
    Accepted,
    /// The value has the stamp of the one in force.
    Same,
    /// The value is older than the one in force, and was rejected.
    Stale,
    /// The value came from the platform before the peers were queried, and is deferred until then.
    Deferred,
}

/// An action for the caller of the state machine to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplicationAction {
    /// Fetch the value from this peer.
    Fetch(SocketAddr),
}

/// How long a new process waits for its peers before it accepts the platform's value alone, in microseconds.
const PEER_QUERY_TIMEOUT_US: u64 = 1_500 * US_PER_MS;
/// Time after which an unanswered fetch may be retried, in microseconds.
const FETCH_RETRY_US: u64 = 300 * US_PER_MS;

/// Replication state of one value in one process.
#[derive(Debug)]
pub struct ReplicatedValue {
    current: Option<StampedValue>,
    deferred: Option<StampedValue>,
    requested: Stamp,
    fetch_started_at_us: Option<u64>,
    started_at_us: u64,
    peers_queried: bool,
}

impl ReplicatedValue {
    /// Creates the state of a new process without a value, which queries its peers before it accepts the
    /// platform's value.
    pub fn new(now_us: u64) -> Self {
        Self {
            current: None,
            deferred: None,
            requested: Stamp::default(),
            fetch_started_at_us: None,
            started_at_us: now_us,
            peers_queried: false,
        }
    }

    /// The value in force.
    pub fn current(&self) -> Option<&StampedValue> {
        self.current.as_ref()
    }

    /// The stamp of the value in force; the default if there is none.
    pub fn stamp(&self) -> Stamp {
        self.current.as_ref().map_or_else(Stamp::default, |stamped| stamped.stamp)
    }

    /// Handles the stamp of the value that a peer holds, and returns a fetch if it is newer than the value in
    /// force and not being fetched already. `from` is the address that the value can be fetched from.
    pub fn observe_stamp(
        &mut self,
        stamp: Stamp,
        from: SocketAddr,
        now_us: u64,
    ) -> Option<ReplicationAction> {
        if stamp <= self.stamp() {
            return None;
        }
        let is_fetching =
            self.fetch_started_at_us.is_some_and(|at_us| now_us.saturating_sub(at_us) < FETCH_RETRY_US);
        if is_fetching && stamp <= self.requested {
            return None;
        }
        self.requested = stamp;
        self.fetch_started_at_us = Some(now_us);
        Some(ReplicationAction::Fetch(from))
    }

    /// Records that enough peers have answered, and applies a deferred value; returns its result if there was
    /// one.
    pub fn peers_answered(&mut self) -> Option<OfferResult> {
        self.peers_queried = true;
        self.apply_deferred()
    }

    /// Applies a received value, or defers it if it came from the platform before the peers were queried.
    pub fn offer(&mut self, offer: Offer, now_us: u64) -> OfferResult {
        match offer {
            Offer::Peer(stamped) => self.apply(stamped),
            Offer::Platform(stamped) if self.accepts_platform(now_us) => self.apply(stamped),
            Offer::Platform(stamped) => {
                self.deferred = Some(stamped);
                OfferResult::Deferred
            }
        }
    }

    /// Applies a deferred value once the time to wait for peers is over; returns its result if there was one.
    pub fn tick(&mut self, now_us: u64) -> Option<OfferResult> {
        if self.accepts_platform(now_us) { self.apply_deferred() } else { None }
    }

    fn accepts_platform(&self, now_us: u64) -> bool {
        self.peers_queried || now_us.saturating_sub(self.started_at_us) >= PEER_QUERY_TIMEOUT_US
    }

    fn apply_deferred(&mut self) -> Option<OfferResult> {
        let stamped = self.deferred.take()?;
        Some(self.apply(stamped))
    }

    fn apply(&mut self, stamped: StampedValue) -> OfferResult {
        let current = self.current.as_ref().map(|current| current.stamp);
        match current.map_or(std::cmp::Ordering::Greater, |current| stamped.stamp.cmp(&current)) {
            std::cmp::Ordering::Less => OfferResult::Stale,
            std::cmp::Ordering::Equal => OfferResult::Same,
            std::cmp::Ordering::Greater => {
                self.current = Some(stamped);
                self.fetch_started_at_us = None;
                OfferResult::Accepted
            }
        }
    }
}
