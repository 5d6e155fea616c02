//! Selection of the node that a request is forwarded through, when this node does not reach its service.
//!
//! Decided for each attempt that takes this path (`attempt_path.rs`). Inputs: the live nodes and which are in
//! this node's data centre, the nodes that this request was forwarded to before, this node's requests in
//! flight at each, and how earlier ones ended there. Nodes do not announce which services they reach: a node
//! that does not reach one says so before it reads the request's body, and is not asked again for a while.
//! Nodes that accepted requests lately come first, those of the same data centre before others; among equals,
//! the one with fewer requests in flight of two drawn at random. Tests: `tests/peers.rs`.

use {
    pointvane_core::Name,
    rand::{Rng, rngs::SmallRng},
    std::{collections::HashMap, net::SocketAddr},
};

/// Time for which a node that declined a service is not asked for it again, in microseconds.
const DECLINED_US: u64 = 1_000_000;
/// Time for which a node that accepted requests for a service is preferred, in microseconds.
const ACCEPTED_US: u64 = 5_000_000;
/// First time for which a node is avoided after it failed, in microseconds; doubled for each further failure
/// in a row.
const AVOIDED_US: u64 = 500_000;
/// Maximum number of doublings of that time: 8 s at most.
const AVOIDED_DOUBLINGS_MAX: u32 = 4;
/// Nodes of the own data centre that accept a service below which others are tried as well, so that requests
/// spread over several.
const ACCEPTING_NEAR_MIN: usize = 6;
/// Declines of nodes of the own data centre within [`DECLINED_US`] from which nodes elsewhere come first: the
/// whole data centre may be cut off.
const DECLINED_NEAR_MAX: usize = 3;
/// Maximum number of nodes and services that are remembered; all are dropped beyond it. Bounds memory.
const VERDICTS_MAX: usize = 8_192;

/// A node that requests may be forwarded to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerCandidate {
    /// Address at which it accepts forwarded requests.
    pub address: SocketAddr,
    /// Whether it is in this node's data centre.
    pub is_near: bool,
}

/// How a forwarded request ended at another node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerOutcome {
    /// It handled the request.
    Accepted,
    /// It does not reach the service either, or accepts no requests; nothing was sent to an upstream.
    Declined,
    /// It could not be reached, broke off, or did not respond in time.
    Failed,
}

#[derive(Clone, Copy, Debug)]
enum Verdict {
    Accepted { at_us: u64 },
    Declined { until_us: u64 },
}

#[derive(Clone, Copy, Debug, Default)]
struct PeerRecord {
    in_flight: u32,
    failures: u32,
    avoided_until_us: u64,
}

/// Preference of a candidate; smaller values come first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Tier {
    AcceptingNear,
    UnknownNear,
    AcceptingFar,
    UnknownFar,
}

/// This node's experience with the nodes that it forwards requests to.
#[derive(Debug, Default)]
pub struct PeerTable {
    peers: HashMap<SocketAddr, PeerRecord>,
    verdicts: HashMap<Name, HashMap<SocketAddr, Verdict>>,
}

/// The candidates of one tier: their number, and the best of two drawn at random.
#[derive(Clone, Copy, Debug, Default)]
struct TierDraw {
    count: usize,
    drawn: [Option<(SocketAddr, u32)>; 2],
}

impl TierDraw {
    /// Adds a candidate, keeping a uniform random sample of one in each place.
    fn add(&mut self, address: SocketAddr, in_flight: u32, rng: &mut SmallRng) {
        self.count += 1;
        for drawn in &mut self.drawn {
            if rng.random_range(0..self.count) == 0 {
                *drawn = Some((address, in_flight));
            }
        }
    }

    fn best(&self) -> Option<SocketAddr> {
        self.drawn.iter().flatten().min_by_key(|(_, in_flight)| *in_flight).map(|(address, _)| *address)
    }
}

impl PeerTable {
    /// Chooses the node to forward a request for `service` to; none if there is no candidate left. `tried`
    /// holds the nodes that the request was forwarded to before.
    pub fn choose(
        &self,
        service: &Name,
        candidates: impl Iterator<Item = PeerCandidate>,
        tried: &[SocketAddr],
        now_us: u64,
        rng: &mut SmallRng,
    ) -> Option<SocketAddr> {
        let verdicts = self.verdicts.get(service);
        let mut tiers = [TierDraw::default(); 4];
        let mut declined_near = 0;
        for candidate in candidates.filter(|candidate| !tried.contains(&candidate.address)) {
            let record = self.peers.get(&candidate.address).copied().unwrap_or_default();
            if now_us < record.avoided_until_us {
                continue;
            }
            let verdict = verdicts.and_then(|verdicts| verdicts.get(&candidate.address));
            match tier(candidate, verdict, now_us) {
                Some(tier) => tiers[tier as usize].add(candidate.address, record.in_flight, rng),
                None => declined_near += usize::from(candidate.is_near),
            }
        }
        let order = tier_order(&tiers, declined_near, !tried.is_empty(), rng);
        order.into_iter().find_map(|tier| tiers[tier as usize].best())
    }

    /// Counts a request as forwarded to a node.
    pub fn started(&mut self, peer: SocketAddr) {
        if self.peers.len() >= VERDICTS_MAX {
            self.peers.retain(|_, record| record.in_flight > 0);
        }
        self.peers.entry(peer).or_default().in_flight += 1;
    }

    /// Counts a forwarded request as ended.
    pub fn finished(&mut self, peer: SocketAddr) {
        if let Some(record) = self.peers.get_mut(&peer) {
            record.in_flight = record.in_flight.saturating_sub(1);
        }
    }

    /// Records how a forwarded request ended.
    pub fn record(&mut self, peer: SocketAddr, service: &Name, outcome: PeerOutcome, now_us: u64) {
        if self.verdicts.values().map(HashMap::len).sum::<usize>() >= VERDICTS_MAX {
            self.verdicts.clear();
        }
        let record = self.peers.entry(peer).or_default();
        let verdict = match outcome {
            PeerOutcome::Accepted => Verdict::Accepted { at_us: now_us },
            PeerOutcome::Declined => Verdict::Declined { until_us: now_us + DECLINED_US },
            PeerOutcome::Failed => {
                record.avoided_until_us = now_us + (AVOIDED_US << record.failures.min(AVOIDED_DOUBLINGS_MAX));
                record.failures += 1;
                return;
            }
        };
        record.failures = 0;
        self.verdicts.entry(service.clone()).or_default().insert(peer, verdict);
    }
}

/// The tier of a candidate; none if it declined the service lately.
fn tier(candidate: PeerCandidate, verdict: Option<&Verdict>, now_us: u64) -> Option<Tier> {
    let accepts = match verdict {
        Some(Verdict::Declined { until_us }) if now_us < *until_us => return None,
        Some(Verdict::Accepted { at_us }) => now_us < at_us + ACCEPTED_US,
        Some(Verdict::Declined { .. }) | None => false,
    };
    Some(match (accepts, candidate.is_near) {
        (true, true) => Tier::AcceptingNear,
        (true, false) => Tier::AcceptingFar,
        (false, true) => Tier::UnknownNear,
        (false, false) => Tier::UnknownFar,
    })
}

/// The order in which tiers are used. `is_retry` says whether another node was tried for this request.
fn tier_order(tiers: &[TierDraw; 4], declined_near: usize, is_retry: bool, rng: &mut SmallRng) -> [Tier; 4] {
    let accepting_near = tiers[Tier::AcceptingNear as usize].count;
    if accepting_near == 0 && (declined_near >= DECLINED_NEAR_MAX || is_retry) {
        return [Tier::AcceptingFar, Tier::UnknownFar, Tier::UnknownNear, Tier::AcceptingNear];
    }
    // A retry takes no further risk.
    let explores = !is_retry && accepting_near < ACCEPTING_NEAR_MIN && rng.random_bool(0.5);
    if explores {
        [Tier::UnknownNear, Tier::AcceptingNear, Tier::AcceptingFar, Tier::UnknownFar]
    } else {
        [Tier::AcceptingNear, Tier::UnknownNear, Tier::AcceptingFar, Tier::UnknownFar]
    }
}
