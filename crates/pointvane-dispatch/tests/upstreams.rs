//! Which upstream a request goes to, and how upstreams that leave, fail or return are handled.

use {
    googletest::prelude::*,
    pointvane_core::{Name, UpstreamLoad, UpstreamRecord},
    pointvane_dispatch::{
        AllowedRegions, AttemptOutcome, CandidateCriteria, Departure, LoadWhenSent, NotRunReason, Pool,
        RankingOptions, UpstreamKey,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom},
    std::collections::BTreeMap,
};

const MS: u64 = 1_000;
const SERVICE: &str = "dispatch";

fn record(id: &str, centre: &str, sequence: u64) -> UpstreamRecord {
    UpstreamRecord {
        born_ms: None,
        id: id.into(),
        service: SERVICE.into(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: centre.into(),
        slots: 3,
        draining: false,
        warm_up_left_ms: 0,
        sequence,
    }
}

fn load(running: u32, waiting: u32, slowdown_percent: u32) -> UpstreamLoad {
    UpstreamLoad { running, waiting, slots: 3, slowdown_percent }
}

fn pool(ids: &[(&str, &str)]) -> Pool {
    let mut pool = Pool::new(RankingOptions::default(), "one".into(), 1);
    for (id, centre) in ids {
        pool.upsert(record(id, centre, 1), MS);
    }
    pool
}

fn candidates(pool: &mut Pool, tried: &[UpstreamKey], now_us: u64) -> Vec<UpstreamKey> {
    pool.candidates(
        &SERVICE.into(),
        &CandidateCriteria { priority: 0, tried, body_bytes: 0, count: 10, regions: &AllowedRegions::ANY },
        now_us,
    )
}

fn ids(pool: &Pool, keys: &[UpstreamKey]) -> Vec<String> {
    keys.iter().map(|key| pool.get(*key).unwrap().id().to_string()).collect()
}

fn key(pool: &mut Pool, id: &str) -> UpstreamKey {
    let all = candidates(pool, &[], MS);
    all.into_iter().find(|key| pool.get(*key).unwrap().id().as_str() == id).unwrap()
}

#[gtest]
fn a_fresh_idle_report_makes_an_upstream_uncontended_until_it_is_old_or_work_is_sent() {
    let mut pool = pool(&[("a", "one")]);
    let a = key(&mut pool, "a");
    expect_that!(pool.is_uncontended(a, MS), eq(false), "no report yet");
    pool.record_load(a, load(0, 0, 100), 10 * MS);
    expect_that!(pool.is_uncontended(a, 12 * MS), eq(true));
    expect_that!(pool.is_uncontended(a, 200 * MS), eq(false), "the report is old");
    (0..4).for_each(|_| pool.get_mut(a).unwrap().request_started());
    expect_that!(pool.is_uncontended(a, 12 * MS), eq(false), "its slots are in use by now");
}

#[gtest]
fn an_upstream_has_room_while_a_slot_is_free_by_its_report_and_the_requests_sent_since() {
    let mut pool = pool(&[("a", "one")]);
    let a = key(&mut pool, "a");
    expect_that!(pool.has_capacity(a, MS), eq(true), "no report yet");
    pool.record_load(a, load(2, 0, 100), 10 * MS);
    expect_that!(pool.has_capacity(a, 11 * MS), eq(true));
    pool.get_mut(a).unwrap().request_started();
    expect_that!(pool.has_capacity(a, 11 * MS), eq(false), "the last slot is in use");
    pool.record_load(a, load(2, 1, 100), 20 * MS);
    expect_that!(pool.has_capacity(a, 21 * MS), eq(false), "a request is queued there");
}

/// Guards against requests being refused for want of capacity when probes are answered too late to show it.
#[gtest]
fn an_upstream_with_an_old_report_of_free_slots_has_room_whatever_limit_was_learned() {
    let mut pool = pool(&[("a", "one")]);
    let a = key(&mut pool, "a");
    pool.record_load(a, load(0, 0, 100), 10 * MS);
    // Work in the second slot takes six times as long.
    for number in 0..200 {
        let is_second = number % 2 == 1;
        let occupancy = if is_second { 2.0 / 3.0 } else { 1.0 / 3.0 };
        let sent = LoadWhenSent { occupancy, expected_latency: 1.0, slowdown: 1.0, is_current: true };
        pool.record_latency(a, if is_second { 6.0 } else { 1.0 }, &sent, (10 + number) * MS);
    }
    pool.record_load(a, load(1, 0, 100), 300 * MS);
    expect_that!(pool.has_capacity(a, 305 * MS), eq(true), "it explores the level above the limit");
    expect_that!(pool.has_capacity(a, 310 * MS), eq(false), "one slot is in use, and no more are worth it");
    expect_that!(pool.has_capacity(a, 334 * MS), eq(true), "by now it may be free");
    pool.record_load(a, load(3, 0, 100), 400 * MS);
    expect_that!(pool.has_capacity(a, 434 * MS), eq(false), "all slots were in use");
}

#[gtest]
fn slow_and_full_upstreams_come_after_idle_ones() {
    let mut pool = pool(&[("idle", "one"), ("slow", "one"), ("full", "one")]);
    for (id, report) in [("idle", load(0, 0, 100)), ("slow", load(0, 0, 700)), ("full", load(3, 4, 100))] {
        let key = key(&mut pool, id);
        pool.record_load(key, report, 10 * MS);
    }
    let ranked = candidates(&mut pool, &[], 11 * MS);
    expect_that!(ids(&pool, &ranked), elements_are![eq("idle"), eq("full"), eq("slow")]);
}

#[gtest]
fn a_reported_slowdown_decays_towards_the_mean() {
    let mut pool = pool(&[("a", "one")]);
    let a = key(&mut pool, "a");
    pool.record_load(a, load(0, 0, 700), 10 * MS);
    let fresh = pool.cost(a, 11 * MS);
    let old = pool.cost(a, 2_000 * MS);
    expect_that!(fresh, gt(6.5));
    expect_that!(old, lt(3.0));
}

#[gtest]
fn near_upstreams_come_first_and_the_more_so_the_larger_the_body() {
    let mut pool = pool(&[("near", "one"), ("far", "two")]);
    for id in ["near", "far"] {
        let key = key(&mut pool, id);
        pool.record_load(key, load(0, 0, 100), 10 * MS);
    }
    let ranked = candidates(&mut pool, &[], 11 * MS);
    expect_that!(ids(&pool, &ranked)[0], eq("near"));
    expect_that!(pool.far_factor(60_000), gt(pool.far_factor(0) + 0.4));
}

#[gtest]
fn upstreams_that_were_tried_or_are_draining_are_no_candidates() {
    let mut pool = pool(&[("a", "one"), ("b", "one"), ("c", "one")]);
    let a = key(&mut pool, "a");
    pool.upsert(UpstreamRecord { draining: true, ..record("b", "one", 2) }, MS);
    let left = candidates(&mut pool, &[a], MS);
    expect_that!(ids(&pool, &left), elements_are![eq("c")]);
}

#[gtest]
fn a_draining_upstream_is_not_restored_by_an_older_or_newer_entry() {
    let mut pool = pool(&[("a", "one")]);
    pool.upsert(UpstreamRecord { draining: true, ..record("a", "one", 5) }, MS);
    pool.upsert(record("a", "one", 4), 2 * MS);
    pool.upsert(record("a", "one", 6), 3 * MS);
    expect_that!(candidates(&mut pool, &[], 4 * MS).len(), eq(0));
}

#[gtest]
fn a_removed_upstream_is_restored_only_by_a_newer_entry() {
    let mut pool = pool(&[("a", "one")]);
    pool.upsert(record("a", "one", 5), MS);
    pool.remove(&"a".into());
    pool.upsert(record("a", "one", 5), 2 * MS);
    expect_that!(pool.is_empty(), eq(true));
    pool.upsert(record("a", "one", 6), 3 * MS);
    expect_that!(pool.len(), eq(1));
}

#[gtest]
fn consecutive_failures_eject_an_upstream_for_a_time() {
    let mut pool = pool(&[("a", "one"), ("b", "one")]);
    let a = key(&mut pool, "a");
    for _ in 0..3 {
        pool.get_mut(a).unwrap().record_attempt(AttemptOutcome::Broken, 10 * MS);
    }
    let left = candidates(&mut pool, &[], 11 * MS);
    expect_that!(ids(&pool, &left), elements_are![eq("b")]);
    expect_that!(candidates(&mut pool, &[], 1_000 * MS).len(), eq(2), "it is tried again");
}

#[gtest]
fn if_all_upstreams_are_ejected_all_are_used() {
    let mut pool = pool(&[("a", "one"), ("b", "one")]);
    for id in ["a", "b"] {
        let key = key(&mut pool, id);
        pool.get_mut(key).unwrap().record_attempt(AttemptOutcome::NotRun(NotRunReason::Misdirected), 10 * MS);
    }
    expect_that!(candidates(&mut pool, &[], 11 * MS).len(), eq(2));
}

#[gtest]
fn an_upstream_that_often_fails_costs_more_even_if_it_looks_idle() {
    let mut pool = pool(&[("sound", "one"), ("failing", "one")]);
    let failing = key(&mut pool, "failing");
    for _ in 0..6 {
        pool.get_mut(failing).unwrap().record_attempt(AttemptOutcome::Broken, MS);
        pool.get_mut(failing).unwrap().record_attempt(AttemptOutcome::Answered { failed: false }, MS);
    }
    let name: Name = "sound".into();
    let best = candidates(&mut pool, &[], 2 * MS)[0];
    expect_that!(pool.get(best).unwrap().id(), eq(&name));
}

/// A pool with a service of `upstreams` upstreams, one in `centres` of them in the node's own data centre.
fn large_pool(upstreams: usize, centres: usize, seed: u64) -> Pool {
    let mut pool = Pool::new(RankingOptions::default(), "one".into(), seed);
    for number in 0..upstreams {
        let centre = if number % centres == 0 { "one" } else { "two" };
        pool.upsert(record(&format!("i-{number}"), centre, 1), MS);
    }
    pool
}

#[gtest]
fn most_requests_to_a_large_service_go_to_few_upstreams_and_some_to_each() {
    let mut pool = large_pool(1_000, 1, 1);
    let mut first: BTreeMap<UpstreamKey, usize> = BTreeMap::new();
    for _ in 0..60_000 {
        *first.entry(candidates(&mut pool, &[], MS)[0]).or_default() += 1;
    }
    expect_that!(first.len(), ge(800));
    let mut counts: Vec<usize> = first.into_values().collect();
    counts.sort_unstable_by(|a, b| b.cmp(a));
    expect_that!(
        counts.iter().take(32).sum::<usize>(),
        ge(54_000),
        "the subset gets most requests, so its connections stay open"
    );
}

#[gtest]
fn all_upstreams_of_a_large_service_are_preferred_by_some_nodes_and_none_by_too_many() {
    let mut first_choices: BTreeMap<String, usize> = BTreeMap::new();
    for seed in 0..500 {
        let mut pool = large_pool(1_000, 2, seed);
        for _ in 0..64 {
            let first = candidates(&mut pool, &[], MS)[0];
            *first_choices.entry(pool.get(first).unwrap().id().to_string()).or_default() += 1;
        }
    }
    let near: Vec<usize> = first_choices
        .iter()
        .filter(|(id, _)| id[2..].parse::<usize>().unwrap() % 2 == 0)
        .map(|(_, n)| *n)
        .collect();
    expect_that!(near.len(), eq(500), "every near upstream is preferred by some node");
    let mean = near.iter().sum::<usize>() / near.len();
    expect_that!(*near.iter().max().unwrap(), le(3 * mean));
}

#[gtest]
fn a_node_with_few_near_upstreams_uses_far_ones_too() {
    let mut pool = Pool::new(RankingOptions::default(), "three".into(), 1);
    for number in 0..100 {
        pool.upsert(record(&format!("i-{number}"), "one", 1), MS);
    }
    expect_that!(
        pool.candidates(
            &SERVICE.into(),
            &CandidateCriteria {
                priority: 0,
                tried: &[],
                body_bytes: 0,
                count: 32,
                regions: &AllowedRegions::ANY
            },
            MS
        )
        .len(),
        eq(32)
    );
}

#[gtest]
fn upstreams_without_load_reports_are_ranked_by_latency_and_own_requests() {
    let mut pool = pool(&[("busy", "one"), ("quick", "one"), ("slow", "one")]);
    let keys = ["busy", "quick", "slow"].map(|id| key(&mut pool, id));
    expect_that!(pool.reports_load(&SERVICE.into()), eq(true), "unknown yet");
    keys.iter().for_each(|key| pool.record_no_load(*key));
    expect_that!(pool.reports_load(&SERVICE.into()), eq(false));
    for _ in 0..4 {
        pool.get_mut(keys[0]).unwrap().request_started();
        pool.get_mut(keys[2]).unwrap().record_latency(7.0, 10 * MS);
    }
    let ranked = candidates(&mut pool, &[], 11 * MS);
    expect_that!(ids(&pool, &ranked), elements_are![eq("quick"), eq("busy"), eq("slow")]);
    pool.record_load(keys[0], load(0, 0, 100), 20 * MS);
    expect_that!(pool.reports_load(&SERVICE.into()), eq(true), "one upstream that reports is enough");
}

#[gtest]
fn an_unreachable_upstream_is_ejected_at_once() {
    let mut pool = pool(&[("a", "one"), ("b", "one")]);
    let a = key(&mut pool, "a");
    pool.get_mut(a).unwrap().record_attempt(AttemptOutcome::Unreachable, 10 * MS);
    let left = candidates(&mut pool, &[], 11 * MS);
    expect_that!(ids(&pool, &left), elements_are![eq("b")]);
    expect_that!(candidates(&mut pool, &[], 1_000 * MS).len(), eq(2), "it is tried again");
}

fn incarnation(born_ms: Option<u64>, sequence: u64) -> UpstreamRecord {
    UpstreamRecord { born_ms, ..record("a", "one", sequence) }
}

#[gtest]
fn a_later_incarnation_replaces_the_state_of_the_earlier_one() {
    let mut pool = pool(&[]);
    pool.upsert(incarnation(Some(1_000), 50), MS);
    let earlier = candidates(&mut pool, &[], MS)[0];
    pool.get_mut(earlier).unwrap().request_started();
    pool.upsert(UpstreamRecord { draining: true, ..incarnation(Some(1_000), 51) }, MS);
    expect_that!(candidates(&mut pool, &[], MS), is_empty());
    expect_that!(pool.upsert(incarnation(Some(2_000), 1), 2 * MS), eq(true));
    let later = candidates(&mut pool, &[], 2 * MS);
    expect_that!(later.len(), eq(1));
    expect_that!(later[0], not(eq(earlier)));
    expect_that!(pool.get(earlier).is_none(), eq(true));
    expect_that!(pool.get(later[0]).unwrap().in_flight(), eq(0));
}

/// Whatever the order of arrival, and whether or not entries are removed in between, the newest entry of the
/// newest incarnation is kept.
#[gtest]
fn no_order_of_arrival_restores_an_earlier_incarnation() {
    let entries: Vec<UpstreamRecord> =
        [(None, 70), (Some(1_000), 50), (Some(1_000), 51), (Some(2_000), 1), (Some(2_000), 2)]
            .map(|(born_ms, sequence)| incarnation(born_ms, sequence))
            .to_vec();
    let newest = entries.last().unwrap().clone();
    for seed in 0..10_000 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut order = entries.clone();
        order.extend(entries.iter().cloned());
        order.shuffle(&mut rng);
        let mut pool = pool(&[]);
        for entry in order {
            if rng.random_bool(0.2) && pool.record(&"a".into()).is_some_and(|held| *held != newest) {
                pool.remove(&"a".into());
            }
            pool.upsert(entry, MS);
        }
        expect_that!(pool.record(&"a".into()), some(eq(&newest)), "{seed}");
    }
}

/// Another node may have taken the free slot in the meantime, so one refusal is weak evidence of a fault,
/// while three in a row are strong evidence.
#[gtest]
fn an_upstream_that_refuses_work_while_reporting_a_free_slot_is_ejected_and_a_full_one_is_not() {
    for (running, ejected) in [(0, true), (2, true), (3, false)] {
        let mut pool = pool(&[("a", "one"), ("b", "one")]);
        let a = key(&mut pool, "a");
        for number in 1..=3 {
            expect_that!(pool.get(a).unwrap().is_ejected(number * MS), eq(false), "{running} running");
            pool.record_load(a, load(running, 0, 100), number * MS);
            let sent = pool.load_when_sent(a, number * MS).unwrap();
            let outcome = AttemptOutcome::NotRun(NotRunReason::Busy).given_load(&sent);
            pool.get_mut(a).unwrap().record_attempt(outcome, number * MS);
        }
        expect_that!(pool.get(a).unwrap().is_ejected(4 * MS), eq(ejected), "{running} running");
    }
}

#[gtest]
fn a_refusal_does_not_count_if_the_last_report_is_old() {
    let mut pool = pool(&[("a", "one")]);
    let a = key(&mut pool, "a");
    pool.record_load(a, load(0, 0, 100), MS);
    let sent = pool.load_when_sent(a, 1_000 * MS).unwrap();
    let outcome = AttemptOutcome::NotRun(NotRunReason::Busy).given_load(&sent);
    expect_that!(outcome, eq(AttemptOutcome::NotRun(NotRunReason::Busy)));
}

/// Guards against an upstream that is taken for crashed though it has announced its end, and against the opposite.
#[gtest]
fn a_departure_is_announced_by_the_entry_its_removal_or_a_response_or_shows_in_a_later_process() {
    let a = Name::from("a");
    let departure_after = |change: fn(&mut Pool, UpstreamKey)| {
        let mut pool = pool(&[("a", "one"), ("b", "one")]);
        let key = key(&mut pool, "a");
        change(&mut pool, key);
        pool.departure(key, &a)
    };
    expect_that!(departure_after(|_, _| {}), none());
    expect_that!(
        departure_after(
            |pool, _| _ = pool.upsert(UpstreamRecord { draining: true, ..record("a", "one", 2) }, MS)
        ),
        some(eq(Departure::Announced))
    );
    expect_that!(departure_after(|pool, key| _ = pool.record_leaving(key)), some(eq(Departure::Announced)));
    expect_that!(departure_after(|pool, _| _ = pool.remove(&"a".into())), some(eq(Departure::Announced)));
    // Its entry may only have expired while the store was away.
    expect_that!(
        departure_after(|pool, _| _ = pool.handle_entry_removal(&"a".into(), 1_000 * MS, MS)),
        none()
    );
    let restarted = |pool: &mut Pool, _: UpstreamKey| {
        _ = pool.upsert(UpstreamRecord { born_ms: Some(7), ..record("a", "one", 1) }, 10 * MS);
    };
    expect_that!(departure_after(restarted), some(eq(Departure::Replaced)));
}
