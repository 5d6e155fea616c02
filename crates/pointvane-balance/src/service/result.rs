//! What the ends of attempts and the upstreams' reports teach.

use {
    super::ServiceBalancer,
    pointvane_core::{LoadReport, Name, US_PER_MS, return_spread_us},
    rand::Rng,
};

/// How an attempt at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A whole answer came.
    Answered,
    /// The upstream failed, or could not be reached.
    Failed,
    /// The upstream refused it for overload.
    Shed,
    /// It was given up by this side; that says nothing of the upstream.
    Cancelled,
}

/// The end of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// Index of the upstream.
    pub upstream: usize,
    /// How it ended.
    pub end: AttemptEnd,
    /// Time from start to end, in microseconds.
    pub latency_us: u64,
    /// The load report that came with the answer.
    pub report: Option<LoadReport>,
}

impl AttemptEnd {
    /// Whether the upstream has run the request.
    const fn ran(self) -> bool {
        matches!(self, Self::Answered)
    }
}

/// Weight of the newest answer time in the service's running mean. Not measured.
const LATENCY_SHARE: f32 = 0.02;
/// Time after which a request that was started has reached its upstream. Not measured.
const ARRIVED_US: u64 = 5 * US_PER_MS;

impl<W> ServiceBalancer<W> {
    /// Takes the end of an attempt.
    pub fn finish(&mut self, result: &AttemptResult, now_us: u64) {
        self.own = self.own.saturating_sub(1);
        // Counted over all upstreams, so only where it matters.
        let floor_allows = result.end == AttemptEnd::Failed && self.may_eject(now_us);
        let state = &mut self.upstreams[result.upstream];
        state.own = state.own.saturating_sub(1);
        state.backoff.send_ended(result.end.ran(), now_us);
        state.health.settle(now_us, &self.service.ejection);
        match result.end {
            AttemptEnd::Answered => self.answered(result, now_us),
            AttemptEnd::Failed => {
                if state.health.failed(&self.service.ejection) && floor_allows {
                    state.health.eject(now_us, &self.service.ejection);
                }
            }
            AttemptEnd::Shed => state.shed(),
            AttemptEnd::Cancelled => {}
        }
        if let Some(report) = result.report {
            self.reported(result.upstream, report, now_us);
        }
    }

    pub(super) fn answered(&mut self, result: &AttemptResult, now_us: u64) {
        let latency_us = result.latency_us as f32;
        let state = &mut self.upstreams[result.upstream];
        state.health.succeeded(now_us);
        state.answered(latency_us, now_us);
        let share = if self.latency_us == 0.0 { 1.0 } else { LATENCY_SHARE };
        self.latency_us += (latency_us - self.latency_us) * share;
        self.retries.earn(self.service.retry.budget_share);
        self.hedges.earn(self.service.hedge.budget_share);
    }

    /// Takes the word of an upstream that it wants no requests for a time.
    pub fn back_off(&mut self, upstream: usize, for_us: u64, now_us: u64) {
        let slots = self.upstreams[upstream].upstream.slots;
        let spread_us = return_spread_us(self.limits.entry_vms_max as usize, slots.into(), for_us);
        let later_us = self.rng.random_range(0..=spread_us);
        self.upstreams[upstream].backoff.asked(for_us, later_us, now_us);
    }

    /// Whether an upstream has asked for no requests: to be asked right before a send, since connections take time.
    pub fn wants_none(&self, upstream: usize, now_us: u64) -> bool {
        self.upstreams[upstream].backoff.wants_none(now_us)
    }

    /// Takes a load report that came with an answer or to a probe.
    pub fn reported(&mut self, upstream: usize, report: LoadReport, now_us: u64) {
        let record = &mut self.records[upstream];
        record.probed_at_us = None;
        record.reported_at_us = now_us;
        let state = &mut self.upstreams[upstream];
        state.evidence.observe(report.draining, now_us);
        if state.own > 0 && now_us.saturating_sub(record.started_at_us) > ARRIVED_US {
            self.trust.check(report.in_flight < state.own, now_us);
        }
        if self.service.load.use_reports && self.trust.holds(now_us) {
            let others = f32::from(report.in_flight.saturating_sub(state.own));
            state.others.observe(others, now_us);
            self.mean.observe(others, state.upstream.slots);
        }
    }

    /// Takes the platform's word that an upstream's VM is leaving or live, of unknown age.
    pub fn listed(&mut self, name: &Name, leaving: bool, now_us: u64) {
        let found = self.upstreams.iter_mut().filter(|state| state.upstream.name == *name);
        for state in found.filter(|_| leaving) {
            state.evidence.observe(true, now_us);
        }
    }

    /// Whether one more ejection leaves the floor.
    fn may_eject(&self, now_us: u64) -> bool {
        let ejected = self.ejected_count(now_us) + 1;
        ejected as f64 <= self.service.ejection.share_max * self.staying_count() as f64
    }

    pub(super) fn ejected_count(&self, now_us: u64) -> usize {
        let in_place = self.upstreams.iter().zip(&self.records).filter(|(_, record)| !record.retired);
        in_place.filter(|(state, _)| state.health.ejected(now_us)).count()
    }

    pub(super) fn staying_count(&self) -> usize {
        let in_place = self.upstreams.iter().zip(&self.records).filter(|(_, record)| !record.retired);
        in_place.filter(|(state, _)| !state.evidence.leaving()).count()
    }
}
