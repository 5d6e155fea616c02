//! Upstreams that name how many requests a second they take from all entry VMs together.

mod common;

use {
    common::service,
    googletest::prelude::*,
    pointvane_balance::{Arrival, AttemptEnd, AttemptResult, Decision, ServiceBalancer},
    pointvane_config::FleetLimits,
    pointvane_core::{Class, ErrorKind, LimitNotice, LimitPlace, LoadReport, US_PER_MS, US_PER_S},
};

const ENTRY_VMS: usize = 18;
const START_US: u64 = 1_000 * US_PER_S;
/// Window over which the users count requests, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// The entry VMs of a fleet that hear each other, before upstreams of which the first names a limit.
struct Fleet {
    balancers: Vec<ServiceBalancer<u32>>,
    limit: LimitNotice,
    now_us: u64,
    /// When the limited upstream got requests, in milliseconds.
    got_ms: Vec<u64>,
    refused: Vec<ErrorKind>,
}

impl Fleet {
    fn new(upstreams: usize) -> Self {
        let limits = FleetLimits { entry_vms_max: ENTRY_VMS as u32, ..FleetLimits::default() };
        let new = |seed| ServiceBalancer::new(&service(upstreams), &limits, seed, START_US);
        let balancers = (0..ENTRY_VMS as u64).map(new).collect();
        Self {
            balancers,
            limit: LimitNotice::Absent,
            now_us: START_US,
            got_ms: Vec::new(),
            refused: Vec::new(),
        }
    }

    /// Lets time pass, with a request of a class to a balancer in turn every few milliseconds.
    fn play(&mut self, time_ms: u64, class: Class) {
        for _ in 0..time_ms / 4 {
            self.now_us += 4 * US_PER_MS;
            let turn = (self.now_us / (4 * US_PER_MS)) as usize % ENTRY_VMS;
            self.tell(turn);
            self.request(turn, class);
        }
    }

    fn tell(&mut self, turn: usize) {
        let now_us = self.now_us;
        let upstreams = self.balancers[turn].service().upstreams.len();
        for index in 0..upstreams {
            self.balancers[turn].reported(index, LoadReport::default(), now_us);
        }
        let place = LimitPlace { before: turn, processes: ENTRY_VMS, reached_share: 1.0 };
        self.balancers[turn].place_limits(|_| Some(place), now_us);
        for told in self.balancers[turn].take_limits(12, now_us) {
            self.balancers.iter_mut().for_each(|balancer| balancer.observe_limit(&told, now_us));
        }
    }

    fn request(&mut self, turn: usize, class: Class) {
        let now_us = self.now_us;
        let arrival = Arrival { class, deadline_us: now_us + 10 * US_PER_S };
        let balancer = &mut self.balancers[turn];
        match balancer.arrive(arrival, 0, now_us) {
            Decision::Start { upstream, .. } => {
                if upstream == 0 {
                    self.got_ms.push(now_us / US_PER_MS);
                    balancer.record_limit(0, self.limit, Some(now_us), now_us);
                }
                let report = Some(LoadReport::default());
                let end = AttemptEnd::Answered;
                balancer.finish(&AttemptResult { upstream, end, latency_us: US_PER_MS, report }, now_us);
            }
            Decision::Refuse { kind, .. } => self.refused.push(kind),
            Decision::Wait => panic!("all upstreams have room"),
        }
    }

    /// The most requests that the limited upstream got in some window, from a time on.
    fn most_in_window(&self, from_ms: u64) -> usize {
        let bound: Vec<u64> = self.got_ms.iter().copied().filter(|at_ms| *at_ms >= from_ms).collect();
        let in_window =
            |first: &u64| bound.iter().filter(|at_ms| (*first..*first + WINDOW_MS).contains(at_ms)).count();
        bound.iter().map(in_window).max().unwrap_or_default()
    }
}

#[gtest]
fn entry_vms_together_send_an_upstream_no_more_than_the_limit_that_it_names() {
    for (per_1000_s, allowed) in [(1_000, 6), (2_500, 13), (6_000, 31)] {
        let mut fleet = Fleet::new(6);
        fleet.play(1_000, Class::Routine);
        fleet.limit = LimitNotice::Advertised(per_1000_s);
        let named_ms = fleet.now_us / US_PER_MS;
        fleet.play(20_000, Class::Routine);
        expect_that!(fleet.most_in_window(named_ms + 500), all!(ge(2), le(allowed)), "{per_1000_s}");
        expect_that!(fleet.refused.is_empty(), eq(true), "others serve what it does not take");
    }
}

#[gtest]
fn where_all_are_at_their_limits_a_request_is_refused_at_once_with_the_time_of_the_next() {
    let mut fleet = Fleet::new(1);
    fleet.limit = LimitNotice::Advertised(1_000);
    fleet.play(8_000, Class::Urgent);
    expect_that!(fleet.refused.len(), ge(1_000));
    expect_that!(fleet.refused.iter().all(|kind| *kind == ErrorKind::UpstreamsLimited), eq(true));
    let now_us = fleet.now_us;
    let retry_after_s = fleet.balancers[0].retry_after_s(ErrorKind::UpstreamsLimited, now_us);
    expect_that!(retry_after_s, all!(ge(1), le(5)));
}

#[gtest]
fn an_upstream_that_names_no_limit_any_more_is_used_again_within_two_seconds() {
    let mut fleet = Fleet::new(6);
    fleet.limit = LimitNotice::Advertised(1_000);
    fleet.play(6_000, Class::Routine);
    fleet.limit = LimitNotice::Absent;
    let lifted_ms = fleet.now_us / US_PER_MS;
    fleet.play(6_000, Class::Routine);
    let got = |from_ms, until_ms| {
        fleet
            .got_ms
            .iter()
            .filter(|at_ms: &&u64| (lifted_ms + from_ms..lifted_ms + until_ms).contains(*at_ms))
            .count()
    };
    expect_that!(got(2_000, 4_000), ge(50), "a sixth of 500 requests is 83");
}

/// An entry VM withheld all from an upstream from its first word on a limit until places were worked out the next time, up to half a second later.
#[gtest]
fn a_limit_far_above_what_is_sent_withholds_nothing_before_places_are_worked_out() {
    let limits = FleetLimits { entry_vms_max: ENTRY_VMS as u32, ..FleetLimits::default() };
    let mut balancer: ServiceBalancer<u32> = ServiceBalancer::new(&service(1), &limits, 1, START_US);
    balancer.reported(0, LoadReport::default(), START_US);
    balancer.record_limit(0, LimitNotice::Advertised(100_000_000), Some(START_US), START_US);
    for step in 1..=50 {
        let now_us = START_US + step * 5 * US_PER_MS;
        let arrival = Arrival { class: Class::Routine, deadline_us: now_us + US_PER_S };
        let decision = balancer.arrive(arrival, 0, now_us);
        expect_that!(decision, matches_pattern!(Decision::Start { upstream: eq(&0), .. }), "{step}");
        let (end, report) = (AttemptEnd::Answered, Some(LoadReport::default()));
        balancer.finish(&AttemptResult { upstream: 0, end, latency_us: US_PER_MS, report }, now_us);
    }
}
