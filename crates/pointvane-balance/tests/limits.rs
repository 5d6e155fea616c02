//! Upstreams that advertise how many requests per second they accept from all entry VMs together.

mod common;

use {
    common::service,
    googletest::prelude::*,
    pointvane_balance::{Arrival, AttemptOutcome, AttemptResult, Decision, ServiceBalancer},
    pointvane_config::FleetLimits,
    pointvane_core::{Class, ErrorKind, LimitNotice, LimitRank, LoadReport, US_PER_MS, US_PER_S},
};

const ENTRY_VMS: usize = 18;
const START_US: u64 = 1_000 * US_PER_S;
/// Window in which the requests at the limited upstream are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// Entry VMs that exchange reports, with upstreams of which the first advertises a limit.
struct Fleet {
    balancers: Vec<ServiceBalancer<u32>>,
    limit: LimitNotice,
    now_us: u64,
    /// Times at which the limited upstream got requests, in milliseconds.
    received_ms: Vec<u64>,
    refused: Vec<ErrorKind>,
}

impl Fleet {
    fn new(upstreams: usize) -> Self {
        let limits = FleetLimits { entry_vms_max: ENTRY_VMS as u32, ..FleetLimits::default() };
        let new_balancer = |seed| ServiceBalancer::new(&service(upstreams), &limits, seed, START_US);
        let balancers = (0..ENTRY_VMS as u64).map(new_balancer).collect();
        Self {
            balancers,
            limit: LimitNotice::Absent,
            now_us: START_US,
            received_ms: Vec::new(),
            refused: Vec::new(),
        }
    }

    /// Advances the time and sends one request of a class every 4 ms, to each balancer in turn.
    fn run_for_ms(&mut self, time_ms: u64, class: Class) {
        for _ in 0..time_ms / 4 {
            self.now_us += 4 * US_PER_MS;
            let entry_vm = (self.now_us / (4 * US_PER_MS)) as usize % ENTRY_VMS;
            self.exchange_reports(entry_vm);
            self.request(entry_vm, class);
        }
    }

    fn exchange_reports(&mut self, entry_vm: usize) {
        let now_us = self.now_us;
        let upstreams = self.balancers[entry_vm].service().upstreams.len();
        for index in 0..upstreams {
            self.balancers[entry_vm].record_report(index, LoadReport::default(), now_us);
        }
        let rank = LimitRank { rank: entry_vm, processes: ENTRY_VMS, reachable_share: 1.0 };
        self.balancers[entry_vm].update_limit_ranks(|_| Some(rank), now_us);
        for observed in self.balancers[entry_vm].take_limit_announcements(12, now_us) {
            self.balancers.iter_mut().for_each(|balancer| balancer.observe_limit(&observed, now_us));
        }
    }

    fn request(&mut self, entry_vm: usize, class: Class) {
        let now_us = self.now_us;
        let arrival = Arrival { class, deadline_us: now_us + 10 * US_PER_S };
        let balancer = &mut self.balancers[entry_vm];
        match balancer.arrive(arrival, 0, now_us) {
            Decision::Start { upstream, .. } => {
                if upstream == 0 {
                    self.received_ms.push(now_us / US_PER_MS);
                    balancer.record_limit(0, self.limit, Some(now_us), now_us);
                }
                let report = Some(LoadReport::default());
                let end = AttemptOutcome::Answered;
                balancer
                    .finish_attempt(&AttemptResult { upstream, end, latency_us: US_PER_MS, report }, now_us);
            }
            Decision::Refuse { kind, .. } => self.refused.push(kind),
            Decision::Wait => panic!("all upstreams have room"),
        }
    }

    /// Maximum number of requests that the limited upstream got in any window that begins at `from_ms` or
    /// later.
    fn max_in_window(&self, from_ms: u64) -> usize {
        let received: Vec<u64> = self.received_ms.iter().copied().filter(|at_ms| *at_ms >= from_ms).collect();
        let in_window = |first: &u64| {
            received.iter().filter(|at_ms| (*first..*first + WINDOW_MS).contains(at_ms)).count()
        };
        received.iter().map(in_window).max().unwrap_or_default()
    }
}

#[gtest]
fn entry_vms_together_stay_within_the_advertised_limit() {
    for (per_1000_s, allowed) in [(1_000, 6), (2_500, 13), (6_000, 31)] {
        let mut fleet = Fleet::new(6);
        fleet.run_for_ms(1_000, Class::Routine);
        fleet.limit = LimitNotice::Advertised(per_1000_s);
        let advertised_ms = fleet.now_us / US_PER_MS;
        fleet.run_for_ms(20_000, Class::Routine);
        expect_that!(fleet.max_in_window(advertised_ms + 500), all!(ge(2), le(allowed)), "{per_1000_s}");
        expect_that!(fleet.refused.is_empty(), eq(true), "the other upstreams serve the rest");
    }
}

#[gtest]
fn requests_are_refused_with_a_retry_time_when_all_upstreams_are_at_their_limits() {
    let mut fleet = Fleet::new(1);
    fleet.limit = LimitNotice::Advertised(1_000);
    fleet.run_for_ms(8_000, Class::Urgent);
    expect_that!(fleet.refused.len(), ge(1_000));
    expect_that!(fleet.refused.iter().all(|kind| *kind == ErrorKind::UpstreamsLimited), eq(true));
    let now_us = fleet.now_us;
    let retry_after_s = fleet.balancers[0].retry_after_s(ErrorKind::UpstreamsLimited, now_us);
    expect_that!(retry_after_s, all!(ge(1), le(5)));
}

#[gtest]
fn upstream_is_used_again_within_two_seconds_after_its_limit_is_lifted() {
    let mut fleet = Fleet::new(6);
    fleet.limit = LimitNotice::Advertised(1_000);
    fleet.run_for_ms(6_000, Class::Routine);
    fleet.limit = LimitNotice::Absent;
    let lifted_ms = fleet.now_us / US_PER_MS;
    fleet.run_for_ms(6_000, Class::Routine);
    let received = |from_ms, until_ms| {
        fleet
            .received_ms
            .iter()
            .filter(|at_ms: &&u64| (lifted_ms + from_ms..lifted_ms + until_ms).contains(*at_ms))
            .count()
    };
    expect_that!(received(2_000, 4_000), ge(50), "a sixth of 500 requests is 83");
}

/// A new limit left the entry VM without a share until ranks were assigned again, up to half a second later,
/// so that it withheld all requests from the upstream until then.
#[gtest]
fn high_limit_withholds_no_requests_before_ranks_are_assigned() {
    let limits = FleetLimits { entry_vms_max: ENTRY_VMS as u32, ..FleetLimits::default() };
    let mut balancer: ServiceBalancer<u32> = ServiceBalancer::new(&service(1), &limits, 1, START_US);
    balancer.record_report(0, LoadReport::default(), START_US);
    balancer.record_limit(0, LimitNotice::Advertised(100_000_000), Some(START_US), START_US);
    for step in 1..=50 {
        let now_us = START_US + step * 5 * US_PER_MS;
        let arrival = Arrival { class: Class::Routine, deadline_us: now_us + US_PER_S };
        let decision = balancer.arrive(arrival, 0, now_us);
        expect_that!(decision, matches_pattern!(Decision::Start { upstream: eq(&0), .. }), "{step}");
        let (end, report) = (AttemptOutcome::Answered, Some(LoadReport::default()));
        balancer.finish_attempt(&AttemptResult { upstream: 0, end, latency_us: US_PER_MS, report }, now_us);
    }
}
