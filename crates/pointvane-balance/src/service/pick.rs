//! Selection of the upstream for one attempt, and the reason if there is none.

use {
    super::{ServiceBalancer, upstreams::UpstreamRecord},
    crate::{
        estimate::ServiceMean,
        upstream::{ScoreContext, UpstreamState},
    },
    pointvane_config::{Policy, Service},
    pointvane_core::{Class, US_PER_MS},
};

/// Priority of a class; 0 is the most urgent.
fn priority_of(class: Class) -> u32 {
    match class {
        Class::Urgent => 0,
        Class::Routine => 1,
    }
}

/// Whether an upstream may get a request of `class`, apart from its health.
fn is_eligible(record: &UpstreamRecord, state: &UpstreamState, class: Class, now_us: u64) -> bool {
    let is_withheld = state.upstream.evacuated || state.is_withheld(priority_of(class), now_us);
    !record.retired && !is_withheld
}

/// Why no upstream was selected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PickError {
    /// All usable upstreams are full.
    Full,
    /// No usable upstream has recent evidence that it is not leaving.
    NoFreshEvidence,
    /// All remaining upstreams have asked for no requests for a time.
    BackingOff,
    /// All remaining upstreams are at their limits or have asked for no requests.
    Limited,
    /// All remaining upstreams are in evacuated data centres.
    Evacuated,
    /// No upstream remains.
    NoUpstream,
}

impl<W> ServiceBalancer<W> {
    pub(super) fn pick_upstream(
        &mut self,
        class: Class,
        now_us: u64,
        exclude: Option<usize>,
    ) -> Result<usize, PickError> {
        let age_max_us = self.evidence_age_max_us();
        let context = score_context(&self.service, &self.others_mean, self.mean_latency_us, now_us);
        let is_bounded = self.service.policy == Policy::Shared && self.in_flight > 0;
        let queue_share = self.service.admission.queue_share as f32;
        let records = &self.records;
        let is_eligible =
            |i: usize| Some(i) != exclude && is_eligible(&records[i], &self.upstreams[i], class, now_us);
        let is_confirmed =
            |i: usize, s: &UpstreamState| is_eligible(i) && s.evidence.is_fresh(now_us, age_max_us);
        let is_healthy = |i: usize, s: &UpstreamState| is_confirmed(i, s) && !s.health.is_ejected(now_us);
        let has_room = |i: usize, s: &UpstreamState| {
            is_healthy(i, s) && (!is_bounded || s.has_room(&context, queue_share))
        };
        let mut indexed = self.upstreams.iter().enumerate();
        let refresh = indexed.find(|(i, s)| s.limit.is_refresh_due(now_us) && has_room(*i, s));
        let refresh = refresh.map(|(index, _)| index);
        if let Some(index) = refresh.or_else(|| self.chooser.choose(&self.upstreams, &context, has_room)) {
            return Ok(index);
        }
        let states = || self.upstreams.iter().enumerate().filter(|(i, _)| is_eligible(*i));
        if states().any(|(i, state)| is_healthy(i, state)) {
            return Err(PickError::Full);
        }
        if states().all(|(_, state)| state.evidence.is_leaving()) {
            return Err(self.no_upstream_reason(now_us));
        }
        // All upstreams that are known to stay are ejected: a failing upstream is better than none.
        if let Some(index) = self.chooser.choose(&self.upstreams, &context, is_confirmed) {
            return Ok(index);
        }
        self.pick_unconfirmed(now_us, exclude)
    }

    /// Used if no upstream is known to stay. If a probe is pending or within the budget, the request waits
    /// for it. Otherwise one request at a time replaces the probe, at the idle upstream with the newest
    /// report of staying.
    fn pick_unconfirmed(&mut self, now_us: u64, exclude: Option<usize>) -> Result<usize, PickError> {
        let candidates = || {
            let is_candidate = |&i: &usize| {
                let state = &self.upstreams[i];
                let is_withheld = state.is_withheld(priority_of(Class::Urgent), now_us);
                let is_usable = !state.upstream.evacuated && !state.evidence.is_leaving() && !is_withheld;
                !self.records[i].retired && is_usable
            };
            (0..self.records.len()).filter(is_candidate).filter(|&i| Some(i) != exclude)
        };
        if candidates().any(|i| self.is_probe_pending(i, now_us)) {
            return Err(PickError::NoFreshEvidence);
        }
        let remaining = candidates().collect::<Vec<_>>();
        if remaining.iter().any(|&i| self.records[i].probe_budget.level(now_us) >= 1.0) {
            return Err(PickError::NoFreshEvidence);
        }
        let idle = remaining.into_iter().filter(|&i| self.upstreams[i].own_in_flight == 0);
        idle.max_by_key(|&i| self.upstreams[i].evidence.last_staying_us()).ok_or(PickError::NoFreshEvidence)
    }

    /// Reason why no upstream remains. Limits and back-off come first, since they end by themselves; an
    /// evacuation ends only when operators lift it.
    fn no_upstream_reason(&self, now_us: u64) -> PickError {
        let active = || self.upstreams.iter().zip(&self.records).filter(|(_, record)| !record.retired);
        if active().any(|(state, _)| state.limit.per_1000_s().is_some()) {
            PickError::Limited
        } else if self.first_return_in_us(now_us).is_some() {
            PickError::BackingOff
        } else if active().any(|(state, _)| state.upstream.evacuated) {
            PickError::Evacuated
        } else {
            PickError::NoUpstream
        }
    }

    /// Time in microseconds until the first upstream that is backing off or at its limit becomes available;
    /// `None` if there is no such upstream.
    pub(super) fn first_return_in_us(&self, now_us: u64) -> Option<u64> {
        let active = self.upstreams.iter().zip(&self.records).filter(|(state, record)| {
            !record.retired && !state.upstream.evacuated && !state.evidence.is_leaving()
        });
        active
            .filter_map(|(state, _)| {
                let backing_off_us = state.backoff.until_us(now_us).map(|until_us| until_us - now_us);
                backing_off_us.max(state.limit.available_in_us(priority_of(Class::Urgent), now_us))
            })
            .min()
    }

    pub(super) fn begin_attempt(&mut self, upstream: usize, now_us: u64) {
        self.in_flight += 1;
        self.upstreams[upstream].backoff.record_send(now_us);
        self.upstreams[upstream].limit.record_send(now_us);
        self.upstreams[upstream].own_in_flight += 1;
        self.records[upstream].last_start_us = now_us;
    }

    pub(super) fn evidence_age_max_us(&self) -> u64 {
        self.service.load.evidence_ms * US_PER_MS
    }

    pub(super) fn context(&self, now_us: u64) -> ScoreContext<'_> {
        score_context(&self.service, &self.others_mean, self.mean_latency_us, now_us)
    }
}

fn score_context<'a>(
    service: &'a Service,
    others_mean: &'a ServiceMean,
    mean_latency_us: f32,
    now_us: u64,
) -> ScoreContext<'a> {
    ScoreContext {
        now_us,
        half_life_us: mean_latency_us * service.load.half_life_share as f32,
        others_mean,
        mean_latency_us,
        ejection: &service.ejection,
    }
}
