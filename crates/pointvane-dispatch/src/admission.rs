//! Admission control: whether a request for which no uncontended upstream was found is sent to the best one,
//! or refused with a retry time.
//!
//! Decided once for each request, right before its first send; a request that may have reached an upstream is
//! never refused here. Inputs: the time since the request arrived (monotonic clock, without the time spent on
//! unreachable upstreams, and that by which the search overran because this process was late), the expected
//! latency at the best upstream, whether that upstream has a free slot, how much full upstreams of the service
//! slow down, and the route's target latency and priority. Every estimate has an initial value (see
//! [`crate::RouteLatencies`], [`crate::Pool::load_when_sent`], [`crate::Pool::has_capacity`] and
//! [`crate::Pool::full_slowdown`]), so no input can be missing.
//!
//! A request that would miss its target by far only delays the others, so it is refused early enough for its
//! caller to retry in time. Less urgent requests are refused first. Tests:
//! `the_least_urgent_requests_are_refused_first`,
//! `a_full_upstream_gets_a_request_only_if_it_meets_its_target_there`,
//! `a_refusal_is_decided_within_a_twentieth_of_the_target` and `tests/admission_queue.rs`.

use {
    pointvane_core::{ErrorKind, RouteRule},
    std::ops::RangeInclusive,
};

/// Range of retry times, as shares of the route's target latency, for callers that this node refused: the
/// service is at capacity, and slots come free as requests finish.
///
/// The time is drawn at random, since callers refused together would otherwise come back together.
const RETRY_AFTER_SHARES: RangeInclusive<f64> = 0.5..=1.3;
/// Range of retry times, as shares of the route's target latency, for callers whose request an upstream
/// refused.
///
/// About an eighth of [`RETRY_AFTER_SHARES`]: the upstream had a free slot by its report, so another upstream
/// can probably serve the request now.
const RETRY_AFTER_REJECTED_SHARES: RangeInclusive<f64> = 0.06..=0.16;

/// Retry time of a caller that is refused before its route is known or because no upstream is available, in
/// milliseconds.
pub const RETRY_AFTER_DEFAULT_MS: u32 = 80;
/// Retry time of a caller whose request only upstreams in evacuated data centres could serve, in
/// milliseconds.
///
/// An evacuation lasts until operators end it, so a caller that retries at once would only be refused again.
const RETRY_AFTER_EVACUATED_MS: u32 = 1_000;

/// Width of the range over which retries are spread, as a share of the target latency, after the time at
/// which the first upstream of the service may get requests again. Applies if none may now, as when all are
/// backing off.
const RETRY_SPREAD_SHARE: f64 = 0.5;
/// Additional delay of those retries for each rank of priority, as a share of the target latency: urgent
/// requests come back first. Equal to the default [`AdmissionPolicy::rank_step`].
const RETRY_DELAY_SHARE_PER_RANK: f64 = 0.25;

/// Minimum factor on the expected finish time of a request that is queued at an upstream, since both its own
/// service time and that of the requests ahead of it vary.
///
/// In the simulation of `tests/admission_queue.rs`, five-second bursts of 0.94, 1.02 and 1.10 times the
/// capacity had 0.929, 0.883 and 0.833 of their requests meet the target without a queue, and 0.959, 0.924
/// and 0.781 with this factor.
const QUEUED_FINISH_FACTOR_MIN: f64 = 1.4;

/// Maximum occupancy at which a request is queued at an upstream: as many requests wait as run.
///
/// Upstreams do not publish their queue limits, and one whose queue is full rejects requests or never answers
/// them. The bound takes effect where the target latency is long compared with the service time.
pub(crate) const QUEUED_OCCUPANCY_MAX: f64 = 2.0;

/// How late a request may be expected to finish and still be sent.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionPolicy {
    /// Multiple of the target latency that a request of priority 0 may be expected to take.
    pub target_share: f64,
    /// Decrease of that multiple for each rank of priority, so that less urgent requests are refused earlier.
    pub rank_step: f64,
}

impl Default for AdmissionPolicy {
    fn default() -> Self {
        Self { target_share: 1.8, rank_step: 0.25 }
    }
}

/// Inputs from which the finish time of a request is estimated, if it were sent now.
#[derive(Clone, Copy, Debug)]
pub struct FinishEstimate {
    /// Time since the request arrived that it is charged for (see the module's inputs), in milliseconds.
    pub elapsed_ms: f64,
    /// Expected latency at the best upstream, in milliseconds.
    pub expected_latency_ms: f64,
    /// Share of that upstream's slots that are in use, counting this request; over 1 if the request would be
    /// queued.
    pub occupancy: f64,
    /// Ratio of the latency at a fully occupied upstream of the service to that at an idle one.
    pub full_slowdown: f64,
}

impl FinishEstimate {
    /// Whether the request would meet its target although it is queued at a fully occupied upstream.
    fn meets_target_when_queued(&self, route: &RouteRule) -> bool {
        let finish_ms = self.elapsed_ms + self.expected_latency_ms;
        let meets_target =
            finish_ms * self.full_slowdown.max(QUEUED_FINISH_FACTOR_MIN) <= route.target_latency_ms as f64;
        meets_target && self.occupancy <= QUEUED_OCCUPANCY_MAX
    }
}

impl AdmissionPolicy {
    /// Whether a request is sent to the best upstream that was found; `has_capacity` says whether that has a
    /// free slot.
    ///
    /// Without a free slot the request is sent only if it is expected to meet its target from the upstream's
    /// queue, with a larger margin the more full upstreams slow down. A queued request is bound to one
    /// upstream, even if that is slowed by its neighbours when a slot comes free, and it delays all others
    /// there; a refused one is retried and goes to the first uncontended upstream. With a service time of a
    /// third of the target, refusing instead of queueing made 749 of 4,234 requests late within two seconds
    /// of a burst. Where full upstreams slow down, a queue bounded by the target alone makes more requests
    /// late than refusing them.
    pub fn admits(&self, route: &RouteRule, estimate: &FinishEstimate, has_capacity: bool) -> bool {
        (has_capacity || estimate.meets_target_when_queued(route)) && !self.is_too_late(route, estimate)
    }

    /// Whether a request would finish so late that it is refused instead of sent.
    pub fn is_too_late(&self, route: &RouteRule, estimate: &FinishEstimate) -> bool {
        let finish_ms = estimate.elapsed_ms + estimate.expected_latency_ms;
        finish_ms > route.target_latency_ms as f64 * self.target_share_of(route)
    }

    /// Multiple of the target latency that a request of `route` may be expected to take.
    pub(crate) fn target_share_of(&self, route: &RouteRule) -> f64 {
        self.target_share - self.rank_step * f64::from(route.priority)
    }
}

/// Which component refused a request because of overload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusedBy {
    /// This node: no upstream has a free slot, or the request would finish too late.
    Node,
    /// The upstream that the request was sent to.
    Upstream,
}

/// Retry time of a caller whose request was refused with `error`, in milliseconds; `None` if that error has
/// no retry time.
///
/// `back_in_ms` is the time until the first upstream of the service may get requests again, if none may now.
/// `jitter` is a random number between 0 and 1. The time is not capped by the caller's deadline: a caller
/// that retries earlier would be refused again.
pub fn retry_after_ms(
    route: &RouteRule,
    error: ErrorKind,
    refused_by: RefusedBy,
    back_in_ms: Option<u64>,
    jitter: f64,
) -> Option<u32> {
    let target_ms = route.target_latency_ms as f64;
    let shares = match (error, refused_by) {
        (ErrorKind::Evacuated, _) => return Some(RETRY_AFTER_EVACUATED_MS),
        (ErrorKind::Overloaded | ErrorKind::UpstreamsBackingOff | ErrorKind::UpstreamsLimited, _)
            if back_in_ms.is_some() =>
        {
            let share =
                RETRY_SPREAD_SHARE.mul_add(jitter, RETRY_DELAY_SHARE_PER_RANK * f64::from(route.priority));
            return back_in_ms.map(|back_in_ms| (back_in_ms as f64 + target_ms * share) as u32);
        }
        (
            ErrorKind::Overloaded
            | ErrorKind::UpstreamsBackingOff
            | ErrorKind::UpstreamsLimited
            | ErrorKind::MemoryExhausted,
            RefusedBy::Node,
        ) => RETRY_AFTER_SHARES,
        (
            ErrorKind::Overloaded | ErrorKind::UpstreamsBackingOff | ErrorKind::UpstreamsLimited,
            RefusedBy::Upstream,
        ) => RETRY_AFTER_REJECTED_SHARES,
        _ => return None,
    };
    let (min_share, max_share) = (shares.start(), shares.end());
    Some((target_ms * (min_share + (max_share - min_share) * jitter)) as u32)
}
