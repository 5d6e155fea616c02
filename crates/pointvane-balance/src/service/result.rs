//! Processing of finished attempts and of the upstreams' load reports.

use {
    super::ServiceBalancer,
    pointvane_core::{LoadReport, Name, US_PER_MS, resume_delay_max_us},
    rand::Rng,
};

/// How an attempt at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A complete response was received.
    Answered,
    /// The upstream failed or could not be reached.
    Failed,
    /// The upstream refused the request because of overload.
    Shed,
    /// This side gave up the attempt; that says nothing about the upstream.
    Cancelled,
}

/// The end of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// Index of the upstream.
    pub upstream: usize,
    /// How the attempt ended.
    pub end: AttemptOutcome,
    /// Time from start to end, in microseconds.
    pub latency_us: u64,
    /// Load report that came with the response.
    pub report: Option<LoadReport>,
}

impl AttemptOutcome {
    /// Whether the upstream has run the request.
    const fn was_executed(self) -> bool {
        matches!(self, Self::Answered)
    }
}

/// Weight of the newest latency in the service's moving average.
const LATENCY_EWMA_WEIGHT: f32 = 0.02;
/// Time after the last start at an upstream from which all its requests are assumed to have arrived.
const DELIVERY_TIME_US: u64 = 5 * US_PER_MS;

impl<W> ServiceBalancer<W> {
    /// Records the end of an attempt.
    pub fn finish_attempt(&mut self, result: &AttemptResult, now_us: u64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        // Only computed for failures, since it iterates over all upstreams.
        let may_eject = result.end == AttemptOutcome::Failed && self.may_eject(now_us);
        let state = &mut self.upstreams[result.upstream];
        state.own_in_flight = state.own_in_flight.saturating_sub(1);
        state.backoff.record_result(result.end.was_executed(), now_us);
        state.health.end_warm_up_if_complete(now_us, &self.service.ejection);
        match result.end {
            AttemptOutcome::Answered => self.record_response(result, now_us),
            AttemptOutcome::Failed => {
                if state.health.record_failure(&self.service.ejection) && may_eject {
                    state.health.eject(now_us, &self.service.ejection);
                }
            }
            AttemptOutcome::Shed => state.record_shed(),
            AttemptOutcome::Cancelled => {}
        }
        if let Some(report) = result.report {
            self.record_report(result.upstream, report, now_us);
        }
    }

    pub(super) fn record_response(&mut self, result: &AttemptResult, now_us: u64) {
        let latency_us = result.latency_us as f32;
        let state = &mut self.upstreams[result.upstream];
        state.health.record_success(now_us);
        state.record_response(latency_us, now_us);
        let share = if self.mean_latency_us == 0.0 { 1.0 } else { LATENCY_EWMA_WEIGHT };
        self.mean_latency_us += (latency_us - self.mean_latency_us) * share;
        self.retry_budget.deposit(self.service.retry.budget_share);
        self.hedge_budget.deposit(self.service.hedge.budget_share);
    }

    /// Records that an upstream has asked for no requests for `for_us` microseconds.
    pub fn record_back_off(&mut self, upstream: usize, for_us: u64, now_us: u64) {
        let slots = self.upstreams[upstream].upstream.slots;
        let spread_us = resume_delay_max_us(self.limits.entry_vms_max as usize, slots.into(), for_us);
        let delay_us = self.rng.random_range(0..=spread_us);
        self.upstreams[upstream].backoff.record_retry_after(for_us, delay_us, now_us);
    }

    /// Records a malformed response of an upstream, after which it may get no requests for a while.
    pub fn record_malformed(&mut self, upstream: usize, now_us: u64) {
        let state = &mut self.upstreams[upstream];
        // A request that ends during a pause was sent before it.
        if !state.backoff.is_backing_off(now_us)
            && let Some(pause_us) = state.malformed.record_malformed()
        {
            self.record_back_off(upstream, pause_us, now_us);
        }
    }

    /// Records a valid response of an upstream.
    pub fn record_valid_response(&mut self, upstream: usize) {
        self.upstreams[upstream].malformed.record_valid_response();
    }

    /// Whether an upstream has asked for no requests. To be checked right before a request is sent, because
    /// opening a connection takes time.
    pub fn is_backing_off(&self, upstream: usize, now_us: u64) -> bool {
        self.upstreams[upstream].backoff.is_backing_off(now_us)
    }

    /// Records a load report that came with a response or a probe.
    pub fn record_report(&mut self, upstream: usize, report: LoadReport, now_us: u64) {
        let record = &mut self.records[upstream];
        record.probed_at_us = None;
        record.reported_at_us = now_us;
        let state = &mut self.upstreams[upstream];
        state.evidence.observe(report.draining, now_us);
        if state.own_in_flight > 0 && now_us.saturating_sub(record.last_start_us) > DELIVERY_TIME_US {
            self.report_trust.record_check(report.in_flight < state.own_in_flight, now_us);
        }
        if self.service.load.use_reports && self.report_trust.is_trusted(now_us) {
            let others = f32::from(report.in_flight.saturating_sub(state.own_in_flight));
            state.others.observe(others, now_us);
            self.others_mean.observe(others, state.upstream.slots);
        }
    }

    /// Whether an upstream has announced that it is leaving.
    pub fn is_leaving(&self, upstream: usize) -> bool {
        self.upstreams[upstream].evidence.is_leaving()
    }

    /// Records the state of an upstream's VM in the platform's VM list. Only `leaving` counts, since the age
    /// of the list is unknown.
    pub fn apply_vm_list(&mut self, name: &Name, leaving: bool, now_us: u64) {
        let found = self.upstreams.iter_mut().filter(|state| state.upstream.name == *name);
        for state in found.filter(|_| leaving) {
            state.evidence.observe(true, now_us);
        }
    }

    /// Whether one more ejection stays within the maximum share of ejected upstreams.
    fn may_eject(&self, now_us: u64) -> bool {
        let ejected = self.ejected_count(now_us) + 1;
        ejected as f64 <= self.service.ejection.share_max * self.staying_count() as f64
    }

    pub(super) fn ejected_count(&self, now_us: u64) -> usize {
        let active = self.upstreams.iter().zip(&self.records).filter(|(_, record)| !record.retired);
        active.filter(|(state, _)| state.health.is_ejected(now_us)).count()
    }

    pub(super) fn staying_count(&self) -> usize {
        let active = self.upstreams.iter().zip(&self.records).filter(|(_, record)| !record.retired);
        active.filter(|(state, _)| !state.evidence.is_leaving()).count()
    }
}
