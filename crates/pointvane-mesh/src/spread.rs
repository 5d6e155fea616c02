//! Spread of one published value: what is held, what is newer, whom to ask.
//!
//! Order: the operators' revision first, then the platform's own write count. So a platform restored from an
//! old copy (its count goes back) cannot bring back an old revision, and of two writes with one revision the
//! later one wins everywhere.

use {
    pointvane_core::US_PER_MS,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// Place of a value in the order of values.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Stamp {
    /// The operators' revision; 0 for values that have none.
    pub revision: u64,
    /// The platform's write count.
    pub index: u64,
}

/// A value with its place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stored {
    /// Its place.
    pub stamp: Stamp,
    /// Its bytes as published.
    pub value: Vec<u8>,
}

/// A value that came from somewhere, already checked as a whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Offer {
    /// Read from the platform.
    Platform(Stored),
    /// Fetched from a peer.
    Peer(Stored),
}

/// What became of an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferVerdict {
    /// It is in force from now on.
    Accepted,
    /// It is the one in force.
    Same,
    /// It is older than the one in force, and refused.
    Older,
    /// It came from the platform before the peers were queried, and waits.
    Held,
}

/// What the shell should do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SpreadAction {
    /// Fetch the value from this peer.
    Fetch(SocketAddr),
}

/// How long a new process waits for its peers before it trusts the platform alone.
const ASK_PEERS_US: u64 = 1_500 * US_PER_MS;
/// Time after which an unanswered fetch may be repeated.
const FETCH_AGAIN_US: u64 = 300 * US_PER_MS;

/// The spread of one value in one process.
#[derive(Debug)]
pub struct Spread {
    held: Option<Stored>,
    waiting: Option<Stored>,
    wanted: Stamp,
    fetched_at_us: Option<u64>,
    started_at_us: u64,
    peers_asked: bool,
}

impl Spread {
    /// Nothing held; peers are queried before the platform is trusted.
    pub fn new(now_us: u64) -> Self {
        Self {
            held: None,
            waiting: None,
            wanted: Stamp::default(),
            fetched_at_us: None,
            started_at_us: now_us,
            peers_asked: false,
        }
    }

    /// The value in force.
    pub fn held(&self) -> Option<&Stored> {
        self.held.as_ref()
    }

    /// The stamp in force.
    pub fn stamp(&self) -> Stamp {
        self.held.as_ref().map_or_else(Stamp::default, |stored| stored.stamp)
    }

    /// Takes note of what a peer holds; `from` is where the value can be fetched.
    pub fn heard(&mut self, stamp: Stamp, from: SocketAddr, now_us: u64) -> Option<SpreadAction> {
        if stamp <= self.stamp() {
            return None;
        }
        let under_way = self.fetched_at_us.is_some_and(|at_us| now_us.saturating_sub(at_us) < FETCH_AGAIN_US);
        if under_way && stamp <= self.wanted {
            return None;
        }
        self.wanted = stamp;
        self.fetched_at_us = Some(now_us);
        Some(SpreadAction::Fetch(from))
    }

    /// Notes that enough peers answered what they hold.
    pub fn peers_answered(&mut self) -> Option<OfferVerdict> {
        self.peers_asked = true;
        self.release()
    }

    /// Takes a value.
    pub fn offer(&mut self, offer: Offer, now_us: u64) -> OfferVerdict {
        match offer {
            Offer::Peer(stored) => self.take(stored),
            Offer::Platform(stored) if self.trusts_platform(now_us) => self.take(stored),
            Offer::Platform(stored) => {
                self.waiting = Some(stored);
                OfferVerdict::Held
            }
        }
    }

    /// Releases a held value once the peers had their time.
    pub fn tick(&mut self, now_us: u64) -> Option<OfferVerdict> {
        if self.trusts_platform(now_us) { self.release() } else { None }
    }

    fn trusts_platform(&self, now_us: u64) -> bool {
        self.peers_asked || now_us.saturating_sub(self.started_at_us) >= ASK_PEERS_US
    }

    fn release(&mut self) -> Option<OfferVerdict> {
        let stored = self.waiting.take()?;
        Some(self.take(stored))
    }

    fn take(&mut self, stored: Stored) -> OfferVerdict {
        let held = self.held.as_ref().map(|held| held.stamp);
        match held.map_or(std::cmp::Ordering::Greater, |held| stored.stamp.cmp(&held)) {
            std::cmp::Ordering::Less => OfferVerdict::Older,
            std::cmp::Ordering::Equal => OfferVerdict::Same,
            std::cmp::Ordering::Greater => {
                self.held = Some(stored);
                self.fetched_at_us = None;
                OfferVerdict::Accepted
            }
        }
    }
}
