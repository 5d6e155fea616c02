//! Limits that upstreams advertise, and this entry VM's part of them.

use {
    super::ServiceBalancer,
    pointvane_core::{
        LimitChange, LimitNotice, LimitPlace, LimitReport, Name, ObservedLimit, US_PER_MS, US_PER_S,
        return_spread_us,
    },
    rand::Rng,
};

impl<W> ServiceBalancer<W> {
    /// Records what an answer says of its upstream's limit. `sent_at_us` is when its request was sent, none where that is not known, and for probes.
    pub fn record_limit(
        &mut self,
        upstream: usize,
        notice: LimitNotice,
        sent_at_us: Option<u64>,
        now_us: u64,
    ) {
        let change = self.upstreams[upstream].limit.record_answer(notice, sent_at_us, now_us);
        self.follow_limit(upstream, change, now_us);
    }

    fn follow_limit(&mut self, upstream: usize, change: Option<LimitChange>, now_us: u64) {
        if matches!(change, Some(LimitChange::Set(_))) {
            // Nothing is sent before a place is set, and places are worked out again only now and then.
            let (place, phase) = (self.limit_place_without_members(), self.rng.random());
            let limit = &mut self.upstreams[upstream].limit;
            if limit.part_per_s() == Some(0.0) {
                limit.set_place(Some(place), phase, now_us);
            }
        }
        if change == Some(LimitChange::Lifted) {
            let slots = self.upstreams[upstream].upstream.slots;
            let spread_us = return_spread_us(self.limits.entry_vms_max as usize, slots.into(), US_PER_S);
            let later_us = self.rng.random_range(0..=spread_us);
            self.upstreams[upstream].backoff.returns(later_us, now_us);
        }
    }

    /// The place of this entry VM while it does not know the others: what it sends then is within the limit though all have started together.
    pub fn limit_place_without_members(&self) -> LimitPlace {
        LimitPlace::last_of(self.limits.entry_vms_max as usize)
    }

    /// Works out anew which part of each limit this entry VM may send, and forgets limits that were not confirmed for long.
    pub fn place_limits(&mut self, place: impl Fn(&Name) -> Option<LimitPlace>, now_us: u64) {
        for upstream in 0..self.upstreams.len() {
            let change = self.upstreams[upstream].limit.expire(now_us);
            self.follow_limit(upstream, change, now_us);
            let phase = self.rng.random();
            let state = &mut self.upstreams[upstream];
            if state.limit.per_1000_s().is_some() {
                state.limit.set_place(place(&state.upstream.name), phase, now_us);
            }
        }
    }

    /// Upstreams that advertise a limit.
    fn limits_held(&self) -> usize {
        self.upstreams.iter().filter(|state| state.limit.per_1000_s().is_some()).count()
    }

    /// What is to be announced now, of at most `count_max` upstreams.
    pub fn take_limits(&mut self, count_max: usize, now_us: u64) -> Vec<ObservedLimit> {
        let held = self.limits_held();
        let mut observed = Vec::new();
        for (position, index) in self.by_position.iter().enumerate() {
            if observed.len() == count_max {
                break;
            }
            if let Some(report) = self.upstreams[*index].limit.take_announcement(held, now_us) {
                observed.push(observed_limit(position as u16, report, now_us));
            }
        }
        observed
    }

    /// Receives what another entry VM reports; it is forwarded, since each report goes to some entry VMs only.
    pub fn observe_limit(&mut self, observed: &ObservedLimit, now_us: u64) {
        let Some(&index) = self.by_position.get(usize::from(observed.position)) else {
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
        self.follow_limit(index, change, now_us);
    }
}

fn observed_limit(position: u16, report: LimitReport, now_us: u64) -> ObservedLimit {
    let age_ms = now_us.saturating_sub(report.reported_at_us) / US_PER_MS;
    let age_ms = u32::try_from(age_ms).unwrap_or(u32::MAX);
    ObservedLimit { position, per_1000_s: report.per_1000_s, age_ms }
}
