//! Contention by service and data centre, as estimated from load reports.

mod common;

use {
    common::record,
    googletest::prelude::*,
    pointvane_core::{Evacuation, UpstreamLoad, UpstreamRecord},
    pointvane_dispatch::{AllowedRegions, CandidateCriteria, Pool, RankingOptions, UpstreamKey},
};

const MS: u64 = 1_000;
const NOW: u64 = 1_000 * MS;

/// A pool with one upstream in each of the data centres "one" and "two".
fn pool() -> (Pool, Vec<UpstreamKey>) {
    let mut pool = Pool::new(RankingOptions::default(), "one".into(), 1);
    for (id, data_centre) in [("i-1", "one"), ("i-2", "two")] {
        pool.upsert(UpstreamRecord { data_centre: data_centre.into(), ..record(id, 1) }, NOW);
    }
    let keys = keys(&mut pool);
    (pool, keys)
}

/// All upstreams, those of the pool's own data centre first.
fn keys(pool: &mut Pool) -> Vec<UpstreamKey> {
    let criteria = CandidateCriteria {
        tried: &[],
        body_bytes: 0,
        count: 10,
        regions: &AllowedRegions::ANY,
        priority: 0,
    };
    pool.candidates(&"dispatch".into(), &criteria, NOW)
}

fn load(running: u32) -> UpstreamLoad {
    UpstreamLoad { running, waiting: 0, slots: 3, slowdown_percent: 100 }
}

#[gtest]
fn without_reports_there_is_no_estimate() {
    let (pool, _) = pool();
    expect_that!(pool.contention(&"dispatch".into(), &"one".into(), NOW), none());
}

#[gtest]
fn each_data_centre_has_an_estimate_of_its_own() {
    let (mut pool, keys) = pool();
    pool.record_load(keys[0], load(3), NOW);
    pool.record_load(keys[1], load(0), NOW);
    let near = pool.contention(&"dispatch".into(), &"one".into(), NOW).unwrap();
    let far = pool.contention(&"dispatch".into(), &"two".into(), NOW).unwrap();
    expect_that!((near.uncontended_share, near.occupancy), eq((0.0, 1.0)));
    expect_that!((far.uncontended_share, far.occupancy), eq((1.0, 0.0)));
}

#[gtest]
fn newer_reports_outweigh_older_ones_and_all_expire() {
    let (mut pool, keys) = pool();
    let (service, data_centre) = ("dispatch".into(), "one".into());
    (0..10).for_each(|_| pool.record_load(keys[0], load(3), NOW));
    let later = NOW + 1_200 * MS;
    (0..10).for_each(|_| pool.record_load(keys[0], load(0), later));
    let contention = pool.contention(&service, &data_centre, later).unwrap();
    expect_that!(contention.uncontended_share, gt(0.9));
    expect_that!(pool.contention(&service, &data_centre, later + 5_000 * MS), none());
}

#[gtest]
fn a_service_is_estimated_over_the_data_centres_that_may_get_work() {
    let (mut pool, keys) = pool();
    let service = "dispatch".into();
    expect_that!(pool.service_contention(&service, NOW), none());
    pool.record_load(keys[0], load(3), NOW);
    pool.record_load(keys[1], load(0), NOW);
    let both = pool.service_contention(&service, NOW).unwrap();
    expect_that!((both.uncontended_share, both.occupancy, both.reports), eq((0.5, 0.5, 2.0)));
    pool.apply_evacuation(Evacuation { data_centre: "two".into(), active: true, revision: 1 });
    expect_that!(pool.service_contention(&service, NOW).unwrap().uncontended_share, eq(0.0));
}

#[gtest]
fn a_service_becomes_contended_and_calm_again_once_each() {
    let (mut pool, keys) = pool();
    let mut changes = Vec::new();
    for (running, time_ms) in [(3, 0), (0, 2_000)] {
        for number in 0..20 {
            let now_us = NOW + (time_ms + number * 50) * MS;
            pool.record_load(keys[0], load(running), now_us);
            let table = pool.contention_table_mut();
            table.take_messages(1, now_us);
            changes.extend(table.take_changes(now_us).into_iter().map(|change| change.is_contended));
        }
    }
    expect_that!(changes, eq(&vec![true, false]));
}

#[gtest]
fn a_busy_node_reports_contention_without_an_exchange() {
    let (mut pool, keys) = pool();
    let mut changes = Vec::new();
    for number in 0..80 {
        let now_us = NOW + number * 50 * MS;
        pool.record_load(keys[0], load(if number < 40 { 0 } else { 3 }), now_us);
        changes.extend(pool.contention_table_mut().take_changes(now_us));
    }
    expect_that!(changes.iter().map(|change| change.is_contended).collect::<Vec<_>>(), eq(&vec![true]));
}
