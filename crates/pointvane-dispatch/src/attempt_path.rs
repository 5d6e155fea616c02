//! Path of an attempt: directly to an upstream, or through another node that reaches the service.
//!
//! Decided before each attempt. Inputs: the reachability of the service (`reachability.rs`), the attempts of
//! this request that reached no upstream, whether another node forwarded the request, and whether a node is
//! left to forward it to (`peers.rs`). A request is forwarded at most once, so that no request goes in
//! circles. Where no node is left, the service is down or the whole fleet is cut off; once that is confirmed, the
//! request is refused at once, except for a trial now and then. Until then it is sent to an upstream: a fleet whose
//! upstreams respond late, or that is late itself, must not refuse what they would serve. Tests:
//! `tests/attempt_path.rs`, `standins/tests/slow_connections.rs`.

use {
    crate::{admission::RETRY_AFTER_DEFAULT_MS, service_reach::Reach},
    pointvane_core::RouteRule,
};

/// Attempts that reached no upstream after which a request is forwarded although its service is not lost.
const UNREACHABLE_MAX: u32 = 2;

/// Other nodes that a request is forwarded to before it goes directly to an upstream, unless the loss of its service
/// is confirmed: if all of them decline it, the whole fleet may take slow upstreams for lost ones.
const PEERS_MAX: usize = 4;

/// Time for which a response must be overdue before requests for a lost service are refused, in microseconds:
/// several checks have found no upstream by then.
const CONFIRMED_US: u64 = 300_000;

/// Width of the range over which retries are spread, as a share of the shortest retry time.
const RETRY_SPREAD_SHARE: f64 = 0.5;

/// What the path of an attempt is decided by.
#[derive(Clone, Copy, Debug)]
pub struct PathInputs {
    /// Reachability of the service.
    pub reach: Reach,
    /// Attempts of this request that reached no upstream.
    pub unreachable_attempts: u32,
    /// Whether the upstreams that this node still reaches have no capacity for the request.
    pub lacks_reachable_capacity: bool,
    /// Whether another node forwarded the request.
    pub is_forwarded: bool,
    /// Other nodes that this request was forwarded to before.
    pub peers_tried: usize,
    /// A random number from 0 to 1.
    pub draw: f32,
}

impl PathInputs {
    /// Whether the attempt goes through another node if there is one.
    pub fn prefers_peer(&self) -> bool {
        let is_diverted = match self.reach {
            Reach::Reached => false,
            Reach::Returning { share } => self.draw >= share,
            Reach::Lost { .. } => true,
        };
        let is_stuck = self.lacks_reachable_capacity || self.unreachable_attempts >= UNREACHABLE_MAX;
        let may_try_peer = self.peers_tried < PEERS_MAX || is_confirmed_lost(self.reach);
        !self.is_forwarded && may_try_peer && (is_diverted || is_stuck)
    }
}

const fn is_confirmed_lost(reach: Reach) -> bool {
    matches!(reach, Reach::Lost { for_us: CONFIRMED_US.. })
}

/// Time after which a caller should retry whose request was refused since no node reaches its service, in
/// milliseconds, given the time for which it has been lost.
///
/// An outage that has lasted for some time is expected to last as long again, but callers that wait for longer
/// than their target would miss the return. `jitter` is a random number from 0 to 1: callers that were refused
/// together would otherwise return together.
pub fn lost_retry_after_ms(route: &RouteRule, lost_ms: u64, jitter: f64) -> u32 {
    let min_ms = u64::from(RETRY_AFTER_DEFAULT_MS);
    let after_ms = lost_ms.clamp(min_ms, route.target_latency_ms.max(min_ms)) as f64;
    (after_ms * RETRY_SPREAD_SHARE.mul_add(jitter, 1.0)) as u32
}

/// What becomes of an attempt for which no other node is left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WithoutPeer {
    /// It goes to an upstream.
    Upstream,
    /// It goes to an upstream if a trial is due, and is refused otherwise.
    TrialOnly,
}

/// What becomes of an attempt for which no other node is left.
pub fn without_peer(reach: Reach) -> WithoutPeer {
    if is_confirmed_lost(reach) { WithoutPeer::TrialOnly } else { WithoutPeer::Upstream }
}
