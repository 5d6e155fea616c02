//! Urgent work first: while a service is contended, the last free slots of its upstreams are kept for its more
//! urgent requests.
//!
//! Inputs: the priority of each request of the service that this node admits or refuses, the contention of the
//! service, and a random number. Slots are kept only if more urgent requests were seen recently, and at the
//! more upstreams the larger their share is. A less urgent kind is not refused for them while less than
//! [`ADMITTED_SHARE_MIN`] of its recent requests were admitted, nor while that is a smaller share than of the
//! more urgent ones. Tests: `tests/urgent_first.rs`, `tests/contended_service.rs`.

use {crate::contention::Contention, std::collections::BTreeMap};

/// Time in which the weight of a request is halved, in microseconds.
const REQUEST_HALF_LIFE_US: f64 = 2_000_000.0;
/// Weight of the more urgent requests from which on slots are kept for them.
const URGENT_WEIGHT_MIN: f64 = 0.5;
/// Share of the requests of a kind that is admitted before slots are kept from it.
const ADMITTED_SHARE_MIN: f64 = 0.1;
/// Number of priorities that are counted; requests of any further one are as urgent as the least urgent of
/// them.
const PRIORITY_MAX: u32 = 15;
/// Share of an upstream's slots that is kept from a kind: less than one slot of up to nine, so that one stays
/// free.
const KEPT_OCCUPANCY: f64 = 0.1;
/// Further share that is kept for each other kind that is more urgent.
const KEPT_OCCUPANCY_PER_KIND: f64 = 0.15;
/// Further share that is kept for each share of the more urgent requests that was refused nevertheless.
const KEPT_OCCUPANCY_PER_REFUSED: f64 = 2.0;
/// Share of the upstreams at which slots are kept, as a multiple of the share of the requests that is more
/// urgent: rare urgent requests find enough upstreams with a slot.
const KEPT_PER_URGENT_SHARE: f64 = 4.0;
/// Largest share of the slots that is kept.
const KEPT_OCCUPANCY_MAX: f64 = 0.6;
/// Mean occupancy from which on slots are kept before a more urgent request is refused.
const FULL_OCCUPANCY: f32 = 0.92;
/// Share of the more urgent requests below which slots are kept at any pressure.
const URGENT_ADMITTED_SHARE: f64 = 0.98;

/// Recent requests of one priority.
#[derive(Clone, Copy, Debug, Default)]
struct RecentRequests {
    requests: f64,
    admitted: f64,
    updated_at_us: u64,
}

impl RecentRequests {
    fn admitted_share(&self) -> f64 {
        self.admitted / self.requests.max(f64::MIN_POSITIVE)
    }

    fn plus(self, other: Self) -> Self {
        let (requests, admitted) = (self.requests + other.requests, self.admitted + other.admitted);
        Self { requests, admitted, ..self }
    }

    fn decayed(self, now_us: u64) -> Self {
        let age_us = now_us.saturating_sub(self.updated_at_us);
        let factor = (-(age_us as f64) / REQUEST_HALF_LIFE_US).exp2();
        Self {
            requests: self.requests * factor,
            admitted: self.admitted * factor,
            updated_at_us: self.updated_at_us.max(now_us),
        }
    }
}

/// Recent requests of one service, by priority.
#[derive(Clone, Debug, Default)]
pub struct RequestsByPriority {
    by_priority: BTreeMap<u32, RecentRequests>,
}

impl RequestsByPriority {
    /// Records a request, and whether it was admitted.
    pub fn record(&mut self, priority: u32, is_admitted: bool, now_us: u64) {
        let recent = self.by_priority.entry(priority.min(PRIORITY_MAX)).or_default();
        *recent = recent.decayed(now_us);
        recent.requests += 1.0;
        recent.admitted += f64::from(u8::from(is_admitted));
    }

    /// Share of the slots of an upstream that a request of `priority` may use, counting itself; infinite if
    /// nothing is kept from it. `draw` is a random number between 0 and 1.
    pub fn occupancy_max(
        &self,
        priority: u32,
        contention: Option<Contention>,
        draw: f64,
        now_us: u64,
    ) -> f64 {
        let priority = priority.min(PRIORITY_MAX);
        let more_urgent = self.by_priority.range(..priority);
        let more_urgent = more_urgent.map(|(_, recent)| recent.decayed(now_us));
        let more_urgent: Vec<RecentRequests> =
            more_urgent.filter(|recent| recent.requests >= URGENT_WEIGHT_MIN).collect();
        let kinds = more_urgent.len();
        let more_urgent = more_urgent.into_iter().fold(RecentRequests::default(), RecentRequests::plus);
        let own = self.by_priority.get(&priority).map(|recent| recent.decayed(now_us)).unwrap_or_default();
        let has_its_share = own.admitted_share() >= ADMITTED_SHARE_MIN;
        let is_full = contention.is_some_and(|contention| contention.occupancy >= FULL_OCCUPANCY);
        let is_short = is_full || more_urgent.admitted_share() < URGENT_ADMITTED_SHARE;
        let urgent_share = more_urgent.requests / (more_urgent.requests + own.requests);
        let is_kept = draw < urgent_share * KEPT_PER_URGENT_SHARE;
        if kinds == 0 || !is_short || !has_its_share || !is_kept {
            return f64::INFINITY;
        }
        let refused_share = 1.0 - more_urgent.admitted_share();
        let kept = KEPT_OCCUPANCY
            + KEPT_OCCUPANCY_PER_KIND * (kinds - 1) as f64
            + KEPT_OCCUPANCY_PER_REFUSED * refused_share;
        1.0 - kept.min(KEPT_OCCUPANCY_MAX)
    }
}
