//! Notices: what an upstream says of itself in its answers besides its load, that it wants no requests for a time and that it leaves.
//!
//! Taken as soon as the head of an answer to a request or a probe is read. Inputs: the notice; the life of the upstream that the request was sent to;
//! the steady clock; how many nodes there are, and upstreams in the service. Both notices bind, also where the service has no other upstream
//! (`eligibility.rs`), and both are told to this node: a pause is asked of one node, and that an upstream leaves each node hears from it or from
//! the platform, which needs no third way (docs/design/backing-off.md). No notice ends another one: a shorter pause takes nothing back of a longer one,
//! and an entry that says "ready" does not take back that its upstream leaves. A later life of the upstream knows nothing of them; the same life does
//! when its entry goes and returns, if the entry names the life's start. What was told of a life that is no longer known changes nothing.
//!
//! Tests: `tests/notices.rs`, in fleets `tests/notices_fleet.rs`.

use {
    crate::{ineligible::Ineligible, pool::Pool, subset::SUBSET_MAX, upstream_key::UpstreamKey},
    pointvane_core::{Name, US_PER_MS},
    rand::Rng,
    std::mem,
};

/// Time of work at an upstream by which the return of nodes is spread, in microseconds.
///
/// Not measured: work on the users' platform takes 24 to 370 ms. Nodes return at the rate at which its slots come free.
const WORK_US: u64 = 100 * US_PER_MS;
/// Longest time by which a node returns late, in microseconds: an upstream is not to be missed by anybody for longer. Not measured.
const RETURN_SPREAD_MAX_US: u64 = 2_000 * US_PER_MS;

/// The upstreams of a service none of which may get work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WithheldService {
    /// All upstreams of the service that are known.
    pub upstreams: usize,
    /// Those of them that asked for no requests for a time.
    pub backing_off: usize,
    /// Time until the first of these may get work, in milliseconds, rounded up; none if none of them asked.
    pub back_in_ms: Option<u64>,
}

impl Pool {
    /// Takes the word of an upstream that it wants no requests for a time; the whole time for which it gets none, if that is longer than was known.
    ///
    /// All nodes may have been told so at one moment. They return spread over the time in which the upstream has slots for one request of each that
    /// uses it, and no later than twice the time asked for.
    pub fn record_back_off(&mut self, key: UpstreamKey, for_us: u64, now_us: u64) -> Option<u64> {
        let spread_us = self.return_spread_us(key)?.min(for_us);
        let later_us = self.rng.random_range(0..=spread_us);
        let state = self.upstreams.get_mut(&key)?;
        state.notices.backoff.asked(for_us, later_us, now_us).then_some(for_us + later_us)
    }

    fn return_spread_us(&self, key: UpstreamKey) -> Option<u64> {
        let record = &self.upstreams.get(&key)?.record;
        let upstreams = self.by_service.get(&record.service)?.len().max(1);
        let nodes = self.warm_up.nodes();
        let using = nodes.min((nodes * SUBSET_MAX).div_ceil(upstreams));
        Some((using as u64 * WORK_US / u64::from(record.slots.max(1))).min(RETURN_SPREAD_MAX_US))
    }

    /// Takes the word of an upstream that it is leaving; true if that was not known.
    pub fn record_leaving(&mut self, key: UpstreamKey) -> bool {
        let state = self.upstreams.get_mut(&key);
        state.is_some_and(|state| !mem::replace(&mut state.notices.is_leaving, true))
    }

    /// Takes the end of a request at an upstream; true if by that it takes requests again after a time for which it wanted none.
    pub fn record_return(&mut self, key: UpstreamKey, ran: bool, now_us: u64) -> bool {
        self.upstreams.get_mut(&key).is_some_and(|state| state.notices.backoff.send_ended(ran, now_us))
    }

    /// What keeps work from a service; none if one of its upstreams may get some.
    pub fn withheld(&self, service: &Name, now_us: u64) -> Option<WithheldService> {
        let mut withheld = WithheldService { upstreams: 0, backing_off: 0, back_in_ms: None };
        for key in self.by_service.get(service)?.keys() {
            withheld.upstreams += 1;
            match self.eligibility(key, now_us) {
                Err(Ineligible::BackingOff) => {
                    withheld.backing_off += 1;
                    let until_us = self.upstreams.get(&key)?.notices.backoff.until_us(now_us);
                    let left_ms = until_us.map(|until_us| (until_us - now_us).div_ceil(US_PER_MS));
                    withheld.back_in_ms = withheld.back_in_ms.into_iter().chain(left_ms).min();
                }
                Err(reason) if reason.is_binding() => {}
                Ok(()) | Err(_) => return None,
            }
        }
        Some(withheld)
    }
}
