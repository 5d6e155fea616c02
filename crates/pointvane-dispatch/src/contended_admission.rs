//! Admission while a service is contended: the order in which its requests get the room that is left.
//!
//! Inputs, besides those of `admission.rs`: the pressure on the service, the time that the caller has spent
//! before this attempt, whether it can come back in time, and the spread of finish times. Without pressure the
//! decision is that of [`AdmissionPolicy::admits`]. Under pressure a request whose caller can come back in time
//! is refused the earlier the higher the pressure is, since it loses little. A request that has come back is
//! queued if it is likely to be in time, and sent late where there is room.
//! Tests: `tests/contended_service.rs`.

use {
    crate::{
        admission::{AdmissionPolicy, FinishEstimate, QUEUED_OCCUPANCY_MAX},
        contention::Contention,
    },
    pointvane_core::RouteRule,
};

/// Share of uncontended reports from which on there is no pressure.
const CALM_UNCONTENDED_SHARE: f64 = 0.5;
/// Share of uncontended reports below which the pressure is highest.
const FULL_UNCONTENDED_SHARE: f64 = 0.1;
/// Mean occupancy below which there is no pressure, however slow upstreams are: slots are free.
const CALM_OCCUPANCY: f64 = 0.5;
/// Mean occupancy up to which a last try is queued although it will be late, as far as with a free slot.
const ROOM_OCCUPANCY: f64 = 0.8;
/// Mean occupancy from which on a last try is queued only if it is likely to be in time.
const FULL_OCCUPANCY: f64 = 1.0;
/// Multiple of the target that a first try may be expected to take at the highest pressure.
const STRICT_TARGET_SHARE: f64 = 1.0;

/// Why a request is not sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// It would finish too late.
    Late,
    /// The upstream has no free slot, and the request is not likely to be in time in its queue.
    Full,
    /// The slots that are left are kept for more urgent requests.
    KeptForUrgent,
    /// An upstream rejected it, and the retry budget has no token to send it to another one.
    NoRetryToken,
}

impl RefusalReason {
    /// The name of the reason in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Late => "late",
            Self::Full => "full",
            Self::KeptForUrgent => "kept-for-urgent",
            Self::NoRetryToken => "no-retry-token",
        }
    }
}

/// Pressure on a service, from 0 (decisions as without contention) to 1; 0 without an estimate.
pub fn admission_pressure(contention: Option<Contention>) -> f64 {
    let Some(contention) = contention else { return 0.0 };
    let (share, occupancy) = (f64::from(contention.uncontended_share), f64::from(contention.occupancy));
    if !share.is_finite() || !occupancy.is_finite() || occupancy < CALM_OCCUPANCY {
        return 0.0;
    }
    ((CALM_UNCONTENDED_SHARE - share) / (CALM_UNCONTENDED_SHARE - FULL_UNCONTENDED_SHARE)).clamp(0.0, 1.0)
}

/// What is known of a request and its service under contention.
#[derive(Clone, Copy, Debug)]
pub struct ContendedRequest {
    /// Pressure on the service (see [`admission_pressure`]).
    pub pressure: f64,
    /// Mean occupancy of the service's upstreams (see [`Contention::occupancy`]).
    pub mean_occupancy: f64,
    /// Time that the caller has spent before this attempt, in milliseconds.
    pub spent_ms: f64,
    /// Whether the caller can come back after a refusal and still be answered in time.
    pub can_return: bool,
    /// Factor on an expected latency that few requests exceed (see [`crate::FinishSpread`]).
    pub finish_spread: f64,
    /// Share of an upstream's slots that it may use, counting itself, since the others are kept for more urgent
    /// requests (see [`crate::RequestsByPriority`]).
    pub occupancy_max: f64,
}

impl AdmissionPolicy {
    /// Whether a request is sent to the best upstream that was found; `has_capacity` says whether that has a
    /// free slot.
    ///
    /// # Errors
    /// Why it is not sent.
    pub fn check(
        &self,
        route: &RouteRule,
        estimate: &FinishEstimate,
        has_capacity: bool,
        request: &ContendedRequest,
    ) -> Result<(), RefusalReason> {
        if request.pressure > 0.0 && estimate.occupancy > request.occupancy_max {
            return Err(RefusalReason::KeptForUrgent);
        }
        let in_calm = self.admits(route, estimate, has_capacity);
        let is_admitted = match request {
            request if request.pressure <= 0.0 => in_calm,
            request if request.spent_ms > 0.0 => self.admits_last_try(route, estimate, has_capacity, request),
            request if request.can_return => in_calm && self.meets_stricter_bound(route, estimate, request),
            _ => in_calm,
        };
        match is_admitted {
            true => Ok(()),
            false if has_capacity => Err(RefusalReason::Late),
            false => Err(RefusalReason::Full),
        }
    }

    /// Whether a first try meets a bound between that without pressure and [`STRICT_TARGET_SHARE`].
    fn meets_stricter_bound(
        &self,
        route: &RouteRule,
        estimate: &FinishEstimate,
        request: &ContendedRequest,
    ) -> bool {
        let calm_share = self.target_share_of(route);
        let strict_share = calm_share.min(STRICT_TARGET_SHARE);
        let share = calm_share + (strict_share - calm_share) * request.pressure;
        estimate.elapsed_ms + estimate.expected_latency_ms <= route.target_latency_ms as f64 * share
    }

    /// Whether the last try of a request is sent: where there is room up to the bound without pressure, in a
    /// queue if it is likely to be in time, or the service has room elsewhere that it does not find.
    fn admits_last_try(
        &self,
        route: &RouteRule,
        estimate: &FinishEstimate,
        has_capacity: bool,
        request: &ContendedRequest,
    ) -> bool {
        let target_ms = route.target_latency_ms as f64;
        let spent_ms = estimate.elapsed_ms + request.spent_ms;
        if has_capacity {
            return spent_ms + estimate.expected_latency_ms <= target_ms * self.target_share_of(route);
        }
        let likely_finish_ms = estimate.expected_latency_ms.mul_add(request.finish_spread, spent_ms);
        let room =
            ((FULL_OCCUPANCY - request.mean_occupancy) / (FULL_OCCUPANCY - ROOM_OCCUPANCY)).clamp(0.0, 1.0);
        let share = 1.0 + (self.target_share_of(route) - 1.0).max(0.0) * room;
        likely_finish_ms <= target_ms * share && estimate.occupancy <= QUEUED_OCCUPANCY_MAX
    }
}
