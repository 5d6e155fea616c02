//! Retry decisions, refusals and retry times told to callers, and the fleet-wide budgets.

use {
    googletest::prelude::*,
    pointvane_core::{ErrorKind, Outcome, RouteKind, RouteRule, TokenBucket, US_PER_S},
    pointvane_dispatch::{
        AdmissionPolicy, AttemptOutcome, FinishEstimate, LatencyQuantile, NotRunReason, PROBE_WINDOW_S,
        ProbeBudget, RefusedBy, RetryBudget, RetryBudgetOptions, RetryDecision, decide_retry,
        first_state_retry_after_ms, first_state_wait_ms, retry_after_ms, search_time_ms,
    },
    proptest::prelude::*,
};

const KINDS: [RouteKind; 3] = [RouteKind::Safe, RouteKind::Unsafe, RouteKind::Upload];
const OUTCOMES: [AttemptOutcome; 9] = [
    AttemptOutcome::Answered { failed: false },
    AttemptOutcome::Answered { failed: true },
    AttemptOutcome::NotRun(NotRunReason::Busy),
    AttemptOutcome::NotRun(NotRunReason::Misdirected),
    AttemptOutcome::NotRun(NotRunReason::Other),
    AttemptOutcome::Unsent,
    AttemptOutcome::Broken,
    AttemptOutcome::Crashed,
    AttemptOutcome::Expired,
];

#[gtest]
fn non_repeatable_requests_are_never_resent_once_they_may_have_run() {
    for kind in [RouteKind::Unsafe, RouteKind::Upload] {
        for outcome in OUTCOMES {
            let decision = decide_retry(kind, outcome, true, true);
            expect_that!(matches!(decision, RetryDecision::Retry { .. }), eq(false), "{kind:?} {outcome:?}");
        }
    }
}

#[gtest]
fn not_run_is_reported_only_for_requests_that_cannot_have_run() {
    for kind in KINDS {
        for outcome in OUTCOMES {
            for attempts_left in [false, true] {
                let decision = decide_retry(kind, outcome, true, attempts_left);
                if let RetryDecision::GiveUp(error) = decision {
                    expect_that!(error.answer().outcome, not(eq(Outcome::NotRun)), "{kind:?} {outcome:?}");
                }
            }
        }
    }
}

#[gtest]
fn a_refusal_by_an_upstream_is_retried_and_takes_a_token() {
    for kind in KINDS {
        let decision = decide_retry(kind, AttemptOutcome::NotRun(NotRunReason::Busy), false, true);
        expect_that!(decision, eq(RetryDecision::Retry { takes_token: true }));
        let decision = decide_retry(kind, AttemptOutcome::Unsent, false, true);
        expect_that!(decision, eq(RetryDecision::Retry { takes_token: false }));
        let decision = decide_retry(kind, AttemptOutcome::NotRun(NotRunReason::Busy), false, false);
        expect_that!(decision, eq(RetryDecision::GiveUp(ErrorKind::Overloaded)));
    }
}

#[gtest]
fn an_upstream_error_is_delivered_when_no_retry_is_possible() {
    let failed = AttemptOutcome::Answered { failed: true };
    expect_that!(
        decide_retry(RouteKind::Safe, failed, true, true),
        eq(RetryDecision::Retry { takes_token: true })
    );
    expect_that!(decide_retry(RouteKind::Safe, failed, true, false), eq(RetryDecision::Deliver));
    expect_that!(decide_retry(RouteKind::Unsafe, failed, true, true), eq(RetryDecision::Deliver));
}

proptest! {
    /// In every window, all nodes together spend at most what its requests earn plus the slack, however the
    /// requests are distributed among the nodes, and without communication between them.
    #[test]
    fn the_fleet_never_retries_more_than_its_budget(
        nodes in 1_usize..40,
        arrivals in proptest::collection::vec((0_usize..40, 0_u8..4), 1..2_000),
        slack in 40.0_f64..200.0,
    ) {
        let options = RetryBudgetOptions { ratio: 0.2, slack, ..RetryBudgetOptions::default() };
        let mut budgets: Vec<RetryBudget> = (0..nodes).map(|_| RetryBudget::new(options, nodes)).collect();
        let (mut requests, mut retries) = (0_u32, 0_u32);
        for (node, retries_wanted) in arrivals {
            let budget = &mut budgets[node % nodes];
            budget.deposit();
            requests += 1;
            retries += (0..retries_wanted).filter(|_| budget.take()).count() as u32;
            prop_assert!(f64::from(retries) <= 0.2 * f64::from(requests) + slack);
        }
    }

    /// An initially empty token bucket never gives out more tokens than its rate allows for the elapsed time.
    #[test]
    fn a_token_bucket_never_exceeds_its_rate(steps in proptest::collection::vec(0_u64..50_000, 1..500)) {
        let mut bucket = TokenBucket::empty(100.0, 10.0, 0);
        let (mut now_us, mut taken) = (0_u64, 0_u32);
        for step in steps {
            now_us += step;
            taken += u32::from(bucket.try_take(1.0, now_us));
            prop_assert!(f64::from(taken) <= 100.0 * now_us as f64 / 1e6 + 1e-6);
        }
    }
}

#[gtest]
fn saved_retry_tokens_are_bounded_by_the_slack() {
    let options = RetryBudgetOptions { ratio: 0.2, slack: 62.0, ..RetryBudgetOptions::default() };
    let mut retries = 0;
    for _ in 0..17 {
        let mut budget = RetryBudget::new(options, 17);
        (0..10_000).for_each(|_| budget.deposit());
        retries += (0..1_000).filter(|_| budget.take()).count();
    }
    expect_that!(retries, le(62));
}

#[gtest]
fn requests_are_held_while_a_starting_node_waits_for_its_first_state() {
    expect_that!(first_state_wait_ms(800, 50, Some(15_000)), eq(750));
    expect_that!(first_state_wait_ms(800, 50, None), eq(750));
    expect_that!(
        first_state_wait_ms(800, 50, Some(600)),
        eq(150),
        "at most a quarter of the caller's time is spent waiting"
    );
    expect_that!(
        first_state_wait_ms(800, 900, Some(15_000)),
        eq(0),
        "after the start wait, requests are refused at once"
    );
    let retry_after_ms = [0, 55, 300, 5_000].map(first_state_retry_after_ms);
    expect_that!(retry_after_ms, eq([80, 80, 300, 1_000]));
}

fn route(priority: u32) -> RouteRule {
    RouteRule {
        name: "r".into(),
        host: "h".into(),
        path_prefix: "/".into(),
        kind: RouteKind::Safe,
        timeout_ms: 1_000,
        target_latency_ms: 200,
        attempts_max: 2,
        priority,
        backends: Vec::new(),
        public: false,
        allowed_regions: Vec::new(),
    }
}

#[gtest]
fn the_least_urgent_requests_are_refused_first() {
    let policy = AdmissionPolicy::default();
    let is_refused = |priority: u32, expected_latency_ms: f64| {
        let estimate =
            FinishEstimate { elapsed_ms: 10.0, expected_latency_ms, occupancy: 1.0, full_slowdown: 1.0 };
        policy.is_too_late(&route(priority), &estimate)
    };
    expect_that!(is_refused(2, 100.0), eq(false), "meets its target");
    expect_that!(is_refused(2, 252.0), eq(true));
    expect_that!(is_refused(1, 252.0), eq(false));
    expect_that!(is_refused(0, 330.0), eq(false));
    expect_that!(is_refused(1, 330.0), eq(true));
    expect_that!(is_refused(1, 600.0), eq(true));
}

#[gtest]
fn a_full_upstream_gets_a_request_only_if_it_meets_its_target_there() {
    let policy = AdmissionPolicy::default();
    let estimate_at_occupancy = |expected_latency_ms, occupancy, full_slowdown| FinishEstimate {
        elapsed_ms: 10.0,
        expected_latency_ms,
        occupancy,
        full_slowdown,
    };
    let estimate =
        |expected_latency_ms, full_slowdown| estimate_at_occupancy(expected_latency_ms, 1.5, full_slowdown);
    for priority in 0..3 {
        let admits = |expected_latency_ms, full_slowdown, has_capacity| {
            policy.admits(&route(priority), &estimate(expected_latency_ms, full_slowdown), has_capacity)
        };
        expect_that!(admits(100.0, 1.0, true), eq(true));
        expect_that!(admits(132.0, 1.0, false), eq(true), "queued, and expected to meet its target");
        expect_that!(admits(134.0, 1.0, false), eq(false), "might miss its target");
        expect_that!(admits(132.0, 1.7, false), eq(false), "full upstreams slow down");
        expect_that!(admits(190.0, 1.7, true), eq(true));
    }
    expect_that!(policy.admits(&route(2), &estimate(252.0, 1.0), true), eq(false));
    expect_that!(policy.admits(&route(0), &estimate_at_occupancy(20.0, 2.0, 1.0), false), eq(true));
    expect_that!(
        policy.admits(&route(0), &estimate_at_occupancy(20.0, 2.1, 1.0), false),
        eq(false),
        "more requests would wait than run"
    );
}

#[gtest]
fn a_refusal_is_decided_within_a_twentieth_of_the_target() {
    for (target_ms, search_ms) in [(200, 10.0), (1_000, 50.0), (15_000, 750.0), (100, 5.0), (20, 5.0)] {
        let route = RouteRule { target_latency_ms: target_ms, ..route(2) };
        expect_that!(search_time_ms(&route), near(search_ms, 0.001));
    }
}

#[gtest]
fn retry_after_is_drawn_within_shares_of_the_target() {
    for jitter in [0.0, 0.5, 1.0] {
        let after_ms = |by| retry_after_ms(&route(1), ErrorKind::Overloaded, by, None, jitter);
        expect_that!(after_ms(RefusedBy::Node), some(all!(ge(100), le(260))));
        expect_that!(
            after_ms(RefusedBy::Upstream),
            some(all!(ge(12), le(32))),
            "another upstream has a free slot"
        );
    }
}

#[gtest]
fn a_fleet_starting_with_saved_probes_stays_within_its_probe_budget_in_every_window() {
    const NODES: usize = 18;
    const UPSTREAMS: usize = 36;
    const PER_UPSTREAM_PER_S: f64 = 60.0;
    let mut fleet: Vec<ProbeBudget> = (0..NODES).map(|_| ProbeBudget::new(0)).collect();
    fleet.iter_mut().for_each(|budget| budget.set(PER_UPSTREAM_PER_S, UPSTREAMS, NODES, 0));
    let mut probes_by_second = Vec::new();
    for second in 0..90_u64 {
        let probes = (0..100).map(|step| {
            let now_us = second * US_PER_S + step * 10_000;
            fleet.iter_mut().map(|budget| (0..200).filter(|_| budget.take(now_us)).count()).sum::<usize>()
        });
        probes_by_second.push(probes.sum::<usize>());
    }
    expect_that!(
        probes_by_second[0],
        ge(PER_UPSTREAM_PER_S as usize * UPSTREAMS),
        "the fleet starts with a burst"
    );
    let limit = PER_UPSTREAM_PER_S * UPSTREAMS as f64 * PROBE_WINDOW_S;
    for window in probes_by_second.windows(PROBE_WINDOW_S as usize) {
        expect_that!(window.iter().sum::<usize>() as f64, le(limit));
    }
}

#[gtest]
fn the_estimate_converges_to_the_quantile() {
    let mut quantile = LatencyQuantile::new(0.9, 500.0);
    for round in 0..20_000_u32 {
        quantile.record(f64::from(round % 100));
    }
    expect_that!(quantile.get_ms(), all!(gt(70.0), lt(105.0)));
}
