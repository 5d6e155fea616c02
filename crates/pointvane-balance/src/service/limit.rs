//! Rate limits that upstreams advertise, and this entry VM's part of them.

use {
    super::ServiceBalancer,
    pointvane_core::{
        LimitChange, LimitNotice, LimitRank, LimitReport, Name, ObservedLimit, US_PER_MS, US_PER_S,
        resume_delay_max_us,
    },
    rand::Rng,
};

impl<W> ServiceBalancer<W> {
    /// Records what a response says about its upstream's limit. `sent_at_us` is the time at which the request
    /// was sent; `None` if unknown, and for probes.
    pub fn record_limit(
        &mut self,
        upstream: usize,
        notice: LimitNotice,
        sent_at_us: Option<u64>,
        now_us: u64,
    ) {
        let change = self.upstreams[upstream].limit.record_response(notice, sent_at_us, now_us);
        self.apply_limit_change(upstream, change, now_us);
    }

    fn apply_limit_change(&mut self, upstream: usize, change: Option<LimitChange>, now_us: u64) {
        if matches!(change, Some(LimitChange::Set(_))) {
            // Nothing is sent before a rank is set, and ranks are assigned again only periodically.
            let (rank, phase) = (self.limit_rank_without_members(), self.rng.random());
            let limit = &mut self.upstreams[upstream].limit;
            if limit.share_per_s() == Some(0.0) {
                limit.set_rank(Some(rank), phase, now_us);
            }
        }
        if change == Some(LimitChange::Lifted) {
            let slots = self.upstreams[upstream].upstream.slots;
            let spread_us = resume_delay_max_us(self.limits.entry_vms_max as usize, slots.into(), US_PER_S);
            let delay_us = self.rng.random_range(0..=spread_us);
            self.upstreams[upstream].backoff.record_limit_lifted(delay_us, now_us);
        }
    }

    /// Place of this entry VM while it does not know the other entry VMs. With it, the limit holds even if
    /// all entry VMs have started at the same time.
    pub fn limit_rank_without_members(&self) -> LimitRank {
        LimitRank::last_of(self.limits.entry_vms_max as usize)
    }

    /// Recalculates this entry VM's part of each limit and drops limits that have not been confirmed for too
    /// long.
    pub fn update_limit_ranks(&mut self, rank: impl Fn(&Name) -> Option<LimitRank>, now_us: u64) {
        for upstream in 0..self.upstreams.len() {
            let change = self.upstreams[upstream].limit.expire(now_us);
            self.apply_limit_change(upstream, change, now_us);
            let phase = self.rng.random();
            let state = &mut self.upstreams[upstream];
            if state.limit.per_1000_s().is_some() {
                state.limit.set_rank(rank(&state.upstream.name), phase, now_us);
            }
        }
    }

    /// Number of upstreams that advertise a limit.
    fn advertised_limit_count(&self) -> usize {
        self.upstreams.iter().filter(|state| state.limit.per_1000_s().is_some()).count()
    }

    /// Returns the limits of at most `count_max` upstreams that are due to be announced to other entry VMs.
    pub fn take_limit_announcements(&mut self, count_max: usize, now_us: u64) -> Vec<ObservedLimit> {
        let limit_count = self.advertised_limit_count();
        let mut observed = Vec::new();
        for (position, index) in self.index_by_position.iter().enumerate() {
            if observed.len() == count_max {
                break;
            }
            if let Some(report) = self.upstreams[*index].limit.take_announcement(limit_count, now_us) {
                observed.push(observed_limit(position as u16, report, now_us));
            }
        }
        observed
    }

    /// Records a limit that another entry VM reports. It is forwarded, since each report is sent to some
    /// entry VMs only.
    pub fn observe_limit(&mut self, observed: &ObservedLimit, now_us: u64) {
        let Some(&index) = self.index_by_position.get(usize::from(observed.position)) else {
            return;
        };
        let reported_at_us = now_us.saturating_sub(u64::from(observed.age_ms) * US_PER_MS);
        let report = LimitReport { per_1000_s: observed.per_1000_s, reported_at_us };
        let limit = &mut self.upstreams[index].limit;
        let is_newer = limit.is_newer(&report);
        let change = limit.receive(report, now_us);
        if is_newer {
            limit.forward();
        }
        self.apply_limit_change(index, change, now_us);
    }
}

fn observed_limit(position: u16, report: LimitReport, now_us: u64) -> ObservedLimit {
    let age_ms = now_us.saturating_sub(report.reported_at_us) / US_PER_MS;
    let age_ms = u32::try_from(age_ms).unwrap_or(u32::MAX);
    ObservedLimit { position, per_1000_s: report.per_1000_s, age_ms }
}
