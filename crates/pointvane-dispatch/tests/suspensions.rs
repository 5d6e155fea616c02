//! Effects of a VM suspension of 0.5 to 20 s on searches, sends, back-offs, warm-ups, ejections, budgets and
//! relays: the clock has advanced meanwhile, and no state is newer than it was before.
//!
//! The tests advance the time instead of suspending the machine. That the real clock counts suspended time
//! rests on `CLOCK_BOOTTIME` (`pointvane-telemetry/src/clock.rs`).

mod common;

use {
    common::{page, record, upstream_change},
    googletest::prelude::*,
    pointvane_core::{UpstreamLoad, UpstreamRecord},
    pointvane_dispatch::{
        AllowedRegions, BudgetLimits, CandidateCriteria, Found, Ineligible, NodeBudgets, PROBE_WINDOW_S,
        PlatformReader, Pool, RankingOptions, ReaderCall, ReaderOptions, ReaderRole, Relay, Search,
        SearchGoal, SearchOptions, SearchRequest, SearchStep, UpstreamKey,
    },
};

const MS: u64 = 1_000;
const S: u64 = 1_000 * MS;
const BEGIN_US: u64 = 100 * S;
const SERVICE: &str = "dispatch";
const OPTIONS: SearchOptions = SearchOptions { probes: true, first_round: 2, second_round: 4 };
/// Durations of suspensions, in milliseconds.
const SUSPENDED_MS: [u64; 6] = [500, 1_000, 2_500, 5_000, 10_000, 20_000];
const IDLE: UpstreamLoad = UpstreamLoad { running: 0, waiting: 0, slots: 3, slowdown_percent: 100 };

fn pool() -> (Pool, UpstreamKey) {
    let mut pool = Pool::new(RankingOptions::default(), "one".into(), 1);
    pool.upsert(record("a", 1), BEGIN_US);
    let criteria =
        CandidateCriteria { priority: 0, tried: &[], body_bytes: 0, count: 1, regions: &AllowedRegions::ANY };
    let key = pool.candidates(&SERVICE.into(), &criteria, BEGIN_US)[0];
    (pool, key)
}

fn search(until_us: u64) -> Search {
    let request = SearchRequest {
        service: SERVICE.into(),
        tried: Vec::new(),
        body_bytes: 0,
        goal: SearchGoal::Best { until_us },
        regions: AllowedRegions::ANY,
        priority: 0,
    };
    Search::new(OPTIONS, request)
}

#[gtest]
fn a_load_report_from_before_a_suspension_is_stale() {
    for suspended_ms in SUSPENDED_MS {
        let (mut pool, key) = pool();
        pool.record_load(key, IDLE, BEGIN_US);
        let resumed_at_us = BEGIN_US + suspended_ms * MS;
        expect_that!(pool.is_uncontended(key, resumed_at_us), eq(false), "{suspended_ms} ms");
        let step = search(resumed_at_us + 10 * MS).next(&mut pool, resumed_at_us);
        expect_that!(step, matches_pattern!(SearchStep::Probe { .. }), "{suspended_ms} ms: it probes again");
    }
}

/// The answer to a probe arrives before the suspension and is read after it, when the search's time is over.
#[gtest]
fn a_search_interrupted_by_a_suspension_chooses_a_contended_upstream() {
    for suspended_ms in SUSPENDED_MS {
        let (mut pool, key) = pool();
        let mut search = search(BEGIN_US + 10 * MS);
        expect_that!(search.next(&mut pool, BEGIN_US), matches_pattern!(SearchStep::Probe { .. }));
        pool.record_load(key, IDLE, BEGIN_US);
        let resumed_at_us = BEGIN_US + suspended_ms * MS;
        expect_that!(search.record_probe_response(key, &pool, resumed_at_us), eq(false), "{suspended_ms} ms");
        expect_that!(search.next(&mut pool, resumed_at_us), eq(&SearchStep::Done(Found::Contended(key))));
    }
}

/// The VM is suspended between the choice of an upstream and the send; meanwhile the upstream starts
/// draining, and that entry is read before the send.
#[gtest]
fn eligibility_is_checked_before_a_send_after_a_suspension() {
    for suspended_ms in SUSPENDED_MS {
        let (mut pool, key) = pool();
        let resumed_at_us = BEGIN_US + suspended_ms * MS;
        pool.upsert(UpstreamRecord { draining: true, ..record("a", 2) }, resumed_at_us);
        expect_that!(pool.begin_send(key, resumed_at_us), err(eq(Ineligible::Draining)), "{suspended_ms} ms");
    }
}

/// An upstream asks for a back-off of 3 s right before the suspension; it ends after 3 s including the
/// suspended time.
#[gtest]
fn a_back_off_includes_suspended_time() {
    for suspended_ms in SUSPENDED_MS {
        let (mut pool, key) = pool();
        pool.record_back_off(key, 3 * S, BEGIN_US);
        let resumed_at_us = BEGIN_US + suspended_ms * MS;
        let is_over = suspended_ms >= 3_000;
        expect_that!(pool.begin_send(key, resumed_at_us).is_ok(), eq(is_over), "{suspended_ms} ms");
    }
}

/// After a back-off one trial request is sent, and the VM is suspended before it ends. Guards against a trial
/// that blocks further requests after its time is over.
#[gtest]
fn a_suspended_trial_request_does_not_block_others() {
    for suspended_ms in SUSPENDED_MS {
        let (mut pool, key) = pool();
        pool.record_back_off(key, S, BEGIN_US);
        expect_that!(pool.begin_send(key, BEGIN_US + S), ok(anything()));
        let resumed_at_us = BEGIN_US + S + suspended_ms * MS;
        expect_that!(pool.begin_send(key, resumed_at_us), ok(anything()), "{suspended_ms} ms");
    }
}

/// Suspended time counts towards warm-up and ejection: a cold upstream is warm and an ejected one eligible
/// afterwards.
#[gtest]
fn warm_up_and_ejection_end_during_a_suspension() {
    for suspended_ms in SUSPENDED_MS {
        let (mut pool, key) = pool();
        pool.record_warm_up(key, 2_000, BEGIN_US);
        (0..3).for_each(|_| pool.get_mut(key).unwrap().record_unresponsive(BEGIN_US));
        let resumed_at_us = BEGIN_US + suspended_ms * MS;
        let state = pool.get(key).unwrap();
        expect_that!(state.is_cold(resumed_at_us), eq(suspended_ms < 2_000), "{suspended_ms} ms");
        expect_that!(state.is_ejected(resumed_at_us), eq(false), "{suspended_ms} ms");
    }
}

/// Probe tokens of the suspended time are not saved beyond the bound, so at most as many probes follow as
/// after any idle time.
#[gtest]
fn a_suspension_saves_no_more_probes_than_the_bound() {
    let limits = BudgetLimits { retry_ratio: 0.2, retry_slack: 60.0, probes_per_upstream_per_s: 60.0 };
    let burst_after = |idle_us: u64| {
        let mut budgets = NodeBudgets::new(BEGIN_US);
        budgets.set_fleet_size(20, 30, &limits, BEGIN_US);
        while budgets.take_probe(BEGIN_US) {}
        (0..100_000).take_while(|_| budgets.take_probe(BEGIN_US + idle_us)).count()
    };
    let most_probes = burst_after(3_600 * S);
    for suspended_ms in SUSPENDED_MS {
        expect_that!(burst_after(suspended_ms * MS), le(most_probes), "{suspended_ms} ms");
    }
    let share_per_s = 60.0 * 30.0 / 20.0;
    expect_that!(most_probes as f64, le(share_per_s * f64::from(PROBE_WINDOW_S as u32)));
}

/// After the suspension a follower's lease has expired, so it asks for the changes that it missed, and the
/// age that it relays with its last state includes the suspended time.
#[gtest]
fn a_suspended_follower_reads_again_and_reports_the_full_age_of_its_state() {
    for suspended_ms in SUSPENDED_MS {
        let mut reader =
            PlatformReader::new(ReaderOptions { start_queries: 0, ..ReaderOptions::default() }, 1);
        reader.next(BEGIN_US);
        reader.receive_page(page(5, vec![upstream_change("a", 1)]), std::iter::empty(), BEGIN_US);
        reader.compare_with_peers(ReaderRole::Follower, 5, BEGIN_US);
        let resumed_at_us = BEGIN_US + suspended_ms * MS;
        let age_ms = reader.age_ms(resumed_at_us).unwrap();
        expect_that!(age_ms, ge(suspended_ms), "{suspended_ms} ms");
        let relayed: Option<Relay> = reader.relay(resumed_at_us);
        expect_that!(relayed.is_none_or(|relay| relay.age_ms >= suspended_ms), eq(true));
        if suspended_ms >= 10_000 {
            let calls = !matches!(reader.next(resumed_at_us), ReaderCall::Wait { .. });
            expect_that!(calls, eq(true), "{suspended_ms} ms");
        }
    }
}
