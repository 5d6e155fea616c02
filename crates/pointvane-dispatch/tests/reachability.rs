//! When a service is lost to a node, when it is regained, and how requests return to it.

mod common;

use {
    common::record,
    googletest::prelude::*,
    pointvane_core::Name,
    pointvane_dispatch::{
        AttemptOutcome, ConnectionKind, Pool, RankingOptions, Reach, ReachChange, UpstreamKey,
    },
};

const MS: u64 = 1_000;
const NOW_US: u64 = 100_000_000;

/// A pool with a service of several upstreams, and their keys.
fn pool(upstreams: usize) -> (Pool, Name, Vec<UpstreamKey>) {
    let mut pool = Pool::new(RankingOptions::default(), "one".into(), 1);
    for number in 0..upstreams {
        pool.upsert(record(&format!("i-{number}"), 1), NOW_US);
    }
    let service = Name::from("dispatch");
    // The lowest keys are given out first.
    let keys = all_keys(&mut pool, &service, upstreams);
    (pool, service, keys)
}

fn all_keys(pool: &mut Pool, service: &Name, count: usize) -> Vec<UpstreamKey> {
    let regions = pointvane_dispatch::AllowedRegions::ANY;
    let criteria = pointvane_dispatch::CandidateCriteria {
        tried: &[],
        body_bytes: 0,
        count,
        regions: &regions,
        priority: 0,
    };
    pool.candidates(service, &criteria, NOW_US)
}

/// Lets probes of these upstreams on new connections fail, all sent at `began_us`.
fn silence(pool: &mut Pool, keys: &[UpstreamKey], began_us: u64) -> Vec<ReachChange> {
    let silence =
        |key: &UpstreamKey| pool.record_silence(*key, ConnectionKind::New, began_us, began_us + 150 * MS);
    keys.iter().filter_map(silence).collect()
}

fn is_lost(pool: &Pool, service: &Name, now_us: u64) -> bool {
    matches!(pool.reach(service, now_us), Reach::Lost { .. })
}

#[gtest]
fn a_service_is_lost_once_several_upstreams_in_a_row_give_no_response() {
    let (mut pool, service, keys) = pool(10);
    expect_that!(silence(&mut pool, &keys[..2], NOW_US), is_empty());
    expect_that!(is_lost(&pool, &service, NOW_US + 150 * MS), eq(false));
    let changes = silence(&mut pool, &keys[2..3], NOW_US);
    expect_that!(changes, elements_are![matches_pattern!(ReachChange::Lost { tried: eq(&3), .. })]);
    expect_that!(is_lost(&pool, &service, NOW_US + 150 * MS), eq(true));
}

#[gtest]
fn failures_of_one_upstream_do_not_lose_its_service() {
    let (mut pool, service, keys) = pool(10);
    for step in 0..20 {
        silence(&mut pool, &keys[..1], NOW_US + step * 200 * MS);
    }
    expect_that!(is_lost(&pool, &service, NOW_US + 5_000 * MS), eq(false));
}

#[gtest]
fn all_upstreams_of_a_small_service_must_be_silent() {
    for upstreams in [1, 2] {
        let (mut pool, service, keys) = pool(upstreams);
        silence(&mut pool, &keys[1..], NOW_US);
        expect_that!(is_lost(&pool, &service, NOW_US + 200 * MS), eq(false));
        silence(&mut pool, &keys[..1], NOW_US);
        expect_that!(is_lost(&pool, &service, NOW_US + 200 * MS), eq(true));
    }
}

#[gtest]
fn a_service_with_responses_in_between_is_not_lost() {
    let (mut pool, service, keys) = pool(10);
    for step in 0..10 {
        let began_us = NOW_US + step * 200 * MS;
        silence(&mut pool, &keys[..2], began_us);
        pool.record_contact(keys[5], ConnectionKind::New, began_us + 160 * MS);
        silence(&mut pool, &keys[2..4], began_us);
    }
    expect_that!(is_lost(&pool, &service, NOW_US + 3_000 * MS), eq(false));
}

#[gtest]
fn old_failures_do_not_add_up() {
    let (mut pool, service, keys) = pool(10);
    for (step, key) in keys.iter().enumerate() {
        silence(&mut pool, &[*key], NOW_US + step as u64 * 2_000 * MS);
    }
    expect_that!(is_lost(&pool, &service, NOW_US + 20_000 * MS), eq(false));
}

#[gtest]
fn a_service_is_lost_though_open_connections_live_on_while_new_ones_fail() {
    let (mut pool, service, keys) = pool(10);
    for (step, key) in keys[..3].iter().enumerate() {
        let began_us = NOW_US + step as u64 * 100 * MS;
        pool.record_contact(keys[5], ConnectionKind::Reused, began_us + 50 * MS);
        pool.record_silence(*key, ConnectionKind::New, began_us, began_us + MS);
    }
    expect_that!(is_lost(&pool, &service, NOW_US + 300 * MS), eq(true));
    pool.record_contact(keys[5], ConnectionKind::Reused, NOW_US + 400 * MS);
    expect_that!(is_lost(&pool, &service, NOW_US + 400 * MS), eq(true));
}

#[gtest]
fn requests_return_gradually_after_the_first_response_on_a_new_connection() {
    let (mut pool, service, keys) = pool(5);
    silence(&mut pool, &keys, NOW_US);
    let regained_us = NOW_US + 2_000 * MS;
    let change = pool.record_contact(keys[4], ConnectionKind::New, regained_us);
    expect_that!(change, some(eq(&ReachChange::Regained { service: service.clone(), lost_ms: 1_850 })));
    let share = |after_ms: u64| match pool.reach(&service, regained_us + after_ms * MS) {
        Reach::Returning { share } => share,
        Reach::Reached => 1.0,
        Reach::Lost { .. } => 0.0,
    };
    expect_that!(share(0), near(0.0, 0.01));
    expect_that!(share(500), near(0.5, 0.01));
    expect_that!(share(1_000), near(1.0, 0.0));
}

#[gtest]
fn a_service_that_is_lost_again_while_requests_return_is_lost_at_once() {
    let (mut pool, service, keys) = pool(5);
    for round in 0..6 {
        let lost_us = NOW_US + round * 1_000 * MS;
        silence(&mut pool, &keys, lost_us);
        expect_that!(is_lost(&pool, &service, lost_us + 150 * MS), eq(true));
        pool.record_contact(keys[0], ConnectionKind::New, lost_us + 500 * MS);
        expect_that!(is_lost(&pool, &service, lost_us + 500 * MS), eq(false));
    }
}

#[gtest]
fn upstreams_are_not_ejected_for_what_the_path_did() {
    let (mut pool, _, keys) = pool(5);
    for key in &keys {
        pool.get_mut(*key).unwrap().record_attempt(AttemptOutcome::Unreachable, NOW_US);
    }
    silence(&mut pool, &keys, NOW_US);
    let now_us = NOW_US + 200 * MS;
    expect_that!(pool.get(keys[1]).unwrap().is_ejected(now_us), eq(true));
    pool.record_contact(keys[0], ConnectionKind::New, now_us);
    for key in &keys {
        expect_that!(pool.get(*key).unwrap().is_ejected(now_us), eq(false));
    }
}

#[gtest]
fn lost_services_are_checked_in_turns() {
    let mut pool = Pool::new(RankingOptions::default(), "one".into(), 1);
    let mut services = Vec::new();
    for number in 0..9 {
        let service = Name::from(format!("service-{number}").as_str());
        pool.upsert(
            pointvane_core::UpstreamRecord { service: service.clone(), ..record(&format!("i-{number}"), 1) },
            NOW_US,
        );
        let keys = all_keys(&mut pool, &service, 1);
        silence(&mut pool, &keys, NOW_US);
        services.push(service);
    }
    let mut checked: Vec<Name> = Vec::new();
    for _ in 0..3 {
        let keys = pool.reachability_checks(3, NOW_US + 200 * MS);
        checked.extend(keys.iter().map(|key| pool.get(*key).unwrap().record.service.clone()));
    }
    checked.sort();
    expect_that!(checked, eq(&services));
}

#[gtest]
fn a_lost_service_without_a_usable_upstream_is_searched_for_the_reason() {
    let (mut pool, service, keys) = pool(3);
    silence(&mut pool, &keys, NOW_US);
    for number in 0..3 {
        pool.remove(&Name::from(format!("i-{number}").as_str()));
    }
    expect_that!(pool.reach(&service, NOW_US + 200 * MS), eq(Reach::Reached));
    expect_that!(pool.reachability_checks(4, NOW_US + 200 * MS), is_empty());
}

#[gtest]
fn few_requests_try_a_service_that_nobody_reaches() {
    let (mut pool, service, keys) = pool(3);
    silence(&mut pool, &keys, NOW_US);
    let trials = (0..500).filter(|step| pool.take_trial(&service, NOW_US + step * 10 * MS)).count();
    expect_that!(trials, eq(5));
}

#[gtest]
fn most_upstreams_are_ejected_once_more_than_half_are() {
    let (mut pool, service, keys) = pool(4);
    for (number, key) in keys.iter().enumerate() {
        expect_that!(pool.is_mostly_ejected(&service, NOW_US + MS), eq(number > 2));
        pool.get_mut(*key).unwrap().record_attempt(AttemptOutcome::Unreachable, NOW_US);
    }
    expect_that!(pool.is_mostly_ejected(&service, NOW_US + MS), eq(true));
    // All of them are ejected for 400 ms at first.
    expect_that!(pool.is_mostly_ejected(&service, NOW_US + 500 * MS), eq(false));
}

/// Guards against checks that keep a service lost, because its upstreams get more connections than they accept.
#[gtest]
fn a_service_that_stays_lost_is_checked_less_often() {
    let (mut pool, service, keys) = pool(3);
    silence(&mut pool, &keys, NOW_US);
    let checks: Vec<usize> =
        (2..102).map(|step| pool.reachability_checks(4, NOW_US + step * 100 * MS).len()).collect();
    expect_that!(is_lost(&pool, &service, NOW_US + 10_000 * MS), eq(true));
    expect_that!(checks[..2], elements_are![eq(&3), eq(&3)], "soon at first");
    expect_that!(checks.iter().sum::<usize>(), le(50));
    let is_checked = |checks: &[usize]| checks.contains(&3);
    expect_that!(checks.windows(8).all(is_checked), eq(true), "never later than 0.8 s");
}

fn overdue_us(pool: &Pool, service: &Name, now_us: u64) -> Option<u64> {
    if let Reach::Lost { for_us } = pool.reach(service, now_us) { Some(for_us) } else { None }
}

/// Guards against slow upstreams being refused requests for as long as no new connection responds in time.
#[gtest]
fn a_service_that_responds_on_open_connections_is_not_overdue() {
    let (mut pool, service, keys) = pool(5);
    for key in &keys[..3] {
        pool.record_silence(*key, ConnectionKind::Reused, NOW_US, NOW_US + 150 * MS);
    }
    let lost_us = NOW_US + 150 * MS;
    expect_that!(overdue_us(&pool, &service, lost_us + 500 * MS), some(eq(0)));
    expect_that!(overdue_us(&pool, &service, lost_us + 1_000 * MS), some(eq(300 * MS)));
    pool.record_contact(keys[4], ConnectionKind::Reused, lost_us + 5_000 * MS);
    expect_that!(overdue_us(&pool, &service, lost_us + 5_500 * MS), some(eq(0)));
}

#[gtest]
fn a_service_whose_new_connections_fail_is_overdue_at_once() {
    let (mut pool, service, keys) = pool(5);
    silence(&mut pool, &keys[..3], NOW_US);
    pool.record_contact(keys[4], ConnectionKind::Reused, NOW_US + 300 * MS);
    expect_that!(overdue_us(&pool, &service, NOW_US + 450 * MS), some(eq(300 * MS)));
}
