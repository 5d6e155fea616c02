//! Admission: whether a request that found no uncontended upstream is sent to the best one, or refused and told when to
//! retry.
//!
//! Decided once for each request, right before its first send; a request that may have reached an upstream is never
//! refused. Inputs: the time since it arrived (steady clock) without that spent on upstreams that could not be reached, the expected latency at the best upstream (as a multiple of the
//! route's baseline), whether that has room, how much full upstreams of the service slow down, the route's target latency and priority. All
//! estimates exist from the start (see [`crate::RouteTimes`], [`crate::Pool::load_when_sent`], [`crate::Pool::has_room`] and
//! [`crate::Pool::full_factor`]), so no input can be missing.
//!
//! Work that would miss its target by far only delays the rest, so it is refused early enough for its caller to try again
//! in time. Less urgent work is refused first. Tests: `the_least_urgent_work_is_told_to_come_back_first`,
//! `no_work_is_sent_to_an_upstream_without_room_unless_it_is_in_time_there`, `tests/admission_queue.rs` and `a_refusal_is_decided_within_a_twentieth_of_the_target`.

use {
    pointvane_core::{ErrorKind, RouteRule},
    std::ops::RangeInclusive,
};

/// Shares of the route's target latency between which the retry time of a caller is drawn whom this node refused: the service is full,
/// and room comes as work ends.
///
/// 0.1 to 0.4 gave 0.724 on Roteiro Vivo's days of overload, 0.25 to 0.75 the same, these 0.737. It is drawn at random so that callers
/// refused together do not come back together.
const RETRY_AFTER_SHARES: RangeInclusive<f64> = 0.5..=1.3;
/// The same for a caller whose request an upstream refused though it had room by its report: another one serves it now.
///
/// An eighth of the above. Roteiro Vivo's scale-1, where upstreams reject what they could run: 0.789 in place of 0.782 (three seeds); a
/// third gave the same.
const RETRY_AFTER_REJECTED_SHARES: RangeInclusive<f64> = 0.06..=0.16;

/// Retry time of a caller that is refused before its route is known or for want of an upstream, in milliseconds.
///
/// Not measured.
pub const RETRY_AFTER_DEFAULT_MS: u32 = 80;
/// Retry time of a caller whose request only upstreams of evacuated data centres could run, in milliseconds.
///
/// Not measured: an evacuation lasts until operators take it back, so whoever comes back at once is refused once more.
const RETRY_AFTER_EVACUATED_MS: u32 = 1_000;

/// Shares of the target latency within which callers come back after the first upstream does, if all wanted no requests; each rank of priority
/// takes [`RETURN_RANK_SHARE`] more, so that what is urgent comes first.
///
/// Not measured.
const RETURN_SHARE: f64 = 0.5;
/// Share of the target latency by which each rank of priority comes back later.
///
/// Not measured: what admission takes off a rank's time.
const RETURN_RANK_SHARE: f64 = 0.25;

/// Least factor on the expected finish of a request that waits at an upstream: work varies, and so does what is before it.
///
/// Simulated service of `tests/admission_queue.rs`, share of the requests in time in bursts of 0.94, 1.02 and 1.10 of what the upstreams bear,
/// for five seconds: without queue 0.929, 0.883, 0.833, with 1.0 0.959, 0.921, 0.769, with 1.4 0.959, 0.924, 0.781, with 2.0 0.959, 0.909,
/// 0.814. The shifted work's scale-1 (two seeds): 0.610 without, 0.631 with 1.0, 0.623 with 1.4 wherever.
const WAIT_MARGIN: f64 = 1.4;

/// Largest occupancy at which a request waits at an upstream: as many wait as run.
///
/// Not measured: how many an upstream lets wait is not published, and one that is over that rejects, or never answers. It binds where the
/// target is long beside the work.
const WAIT_OCCUPANCY_MAX: f64 = 2.0;

/// How late a request may be and still be sent.
///
/// The defaults, 1.8 targets less 0.25 for each rank, gave 0.698 on eight plays of Roteiro Vivo, Skiphub and Heatline, 3.0 less 1.0 gave
/// 0.694, 2.0 less 0.25 0.695; 1.5 and 1.0 for all ranks, which refuse urgent work as early as other, 0.698 and 0.696.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionPolicy {
    /// Multiple of the target latency that a request of priority 0 may be expected to take.
    pub target_share: f64,
    /// What each rank of priority takes off that multiple.
    pub rank_step: f64,
}

impl Default for AdmissionPolicy {
    fn default() -> Self {
        Self { target_share: 1.8, rank_step: 0.25 }
    }
}

/// When a request would be finished if it were sent now.
#[derive(Clone, Copy, Debug)]
pub struct FinishEstimate {
    /// Time since the request arrived, without that spent on upstreams that could not be reached, in milliseconds.
    pub elapsed_ms: f64,
    /// Expected latency at its best upstream, in milliseconds.
    pub expected_ms: f64,
    /// Share of that upstream's slots that are taken, this request included; over 1 if it would wait.
    pub occupancy: f64,
    /// How much longer work takes at an upstream whose slots are all taken than at an empty one.
    pub full_factor: f64,
}

impl FinishEstimate {
    /// Whether a request would be in time though all slots of its upstream are taken.
    fn is_in_time_behind_others(&self, route: &RouteRule) -> bool {
        let finish_ms = self.elapsed_ms + self.expected_ms;
        let is_in_time = finish_ms * self.full_factor.max(WAIT_MARGIN) <= route.target_latency_ms as f64;
        is_in_time && self.occupancy <= WAIT_OCCUPANCY_MAX
    }
}

impl AdmissionPolicy {
    /// Whether a request is sent to the best upstream that was found; `has_room` says whether that has room for it.
    ///
    /// Without room a request waits in the upstream's queue only if it is in time all the same, and the more work slows down at full
    /// upstreams, the earlier: there it is bound to that upstream, whatever the neighbours' noise is when a slot comes free, and delays
    /// all others, while here it goes to the first that is uncontended. Where work takes a third of the target, refusing made 749 of 4,234
    /// requests come back late in two seconds of a burst; where full upstreams slow down, queues of whatever is in time lose. Mean worth of
    /// scale-1 and scale-2 (three seeds) and of the shifted work's scale-1 (two seeds), without queue, with this one, with one
    /// of whatever is in time: Roteiro Vivo 0.759, 0.756, 0.695; Heatline 0.639, 0.643, 0.630; Skiphub 0.718, 0.724, 0.723; shifted work
    /// 0.610, 0.620, 0.631.
    pub fn admits(&self, route: &RouteRule, estimate: &FinishEstimate, has_room: bool) -> bool {
        (has_room || estimate.is_in_time_behind_others(route)) && !self.is_too_late(route, estimate)
    }

    /// Whether a request would finish so late that it is refused instead of sent.
    pub fn is_too_late(&self, route: &RouteRule, estimate: &FinishEstimate) -> bool {
        let share = self.target_share - self.rank_step * f64::from(route.priority);
        let finish_ms = estimate.elapsed_ms + estimate.expected_ms;
        finish_ms > route.target_latency_ms as f64 * share
    }
}

/// Who refused a request for overload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusedBy {
    /// This node: no upstream has room, or the request would be late.
    Node,
    /// The upstream that it was sent to.
    Upstream,
}

/// When a caller should retry whose request was refused for `error`, in milliseconds; none where that error has no time of its own.
/// `back_in_ms` is the time until the first upstream of its service may get work, if none may now; `draw` lies between 0 and 1.
///
/// That time is told as it is, also to callers that have less: whoever does not wait so long is refused once more, whatever it is told.
pub fn retry_after_ms(
    route: &RouteRule,
    error: ErrorKind,
    by: RefusedBy,
    back_in_ms: Option<u64>,
    draw: f64,
) -> Option<u32> {
    let target_ms = route.target_latency_ms as f64;
    let shares = match (error, by) {
        (ErrorKind::Evacuated, _) => return Some(RETRY_AFTER_EVACUATED_MS),
        (ErrorKind::Overloaded | ErrorKind::UpstreamsBackingOff | ErrorKind::UpstreamsLimited, _)
            if back_in_ms.is_some() =>
        {
            let share = RETURN_SHARE.mul_add(draw, RETURN_RANK_SHARE * f64::from(route.priority));
            return back_in_ms.map(|back_in_ms| (back_in_ms as f64 + target_ms * share) as u32);
        }
        (
            ErrorKind::Overloaded | ErrorKind::UpstreamsBackingOff | ErrorKind::UpstreamsLimited,
            RefusedBy::Node,
        ) => RETRY_AFTER_SHARES,
        (
            ErrorKind::Overloaded | ErrorKind::UpstreamsBackingOff | ErrorKind::UpstreamsLimited,
            RefusedBy::Upstream,
        ) => RETRY_AFTER_REJECTED_SHARES,
        _ => return None,
    };
    let (least, most) = (shares.start(), shares.end());
    Some((target_ms * (least + (most - least) * draw)) as u32)
}
