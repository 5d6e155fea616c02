//! How long load reports stay valid, by how fast the load of a service changes.

mod common;

use {
    common::record,
    googletest::prelude::*,
    pointvane_core::UpstreamLoad,
    pointvane_dispatch::{AllowedRegions, CandidateCriteria, Pool, RankingOptions, UpstreamKey},
};

const MS: u64 = 1_000;
const PAIRS: u64 = 400;
const PAIR_AGE_US: u64 = 50 * MS;
const END_US: u64 = PAIRS * PAIR_AGE_US;

/// A pool whose upstream has sent reports, each with the number of running requests by its position.
fn after_reports(running: fn(u64) -> u32) -> (Pool, UpstreamKey) {
    let mut pool = Pool::new(RankingOptions::default(), "one".into(), 1);
    pool.upsert(record("i-1", 1), 0);
    let criteria =
        CandidateCriteria { tried: &[], body_bytes: 0, count: 1, regions: &AllowedRegions::ANY, priority: 0 };
    let key = pool.candidates(&"dispatch".into(), &criteria, 0)[0];
    for number in 0..=PAIRS {
        let running = running(number);
        let load = UpstreamLoad { running, waiting: 0, slots: 3, slowdown_percent: 100 };
        pool.record_load(key, load, number * PAIR_AGE_US);
    }
    (pool, key)
}

#[gtest]
fn a_report_is_used_for_longer_where_reports_rarely_change() {
    let (pool, key) = after_reports(|_| 0);
    expect_that!(pool.is_uncontended(key, END_US + 40 * MS), eq(true));
    expect_that!(pool.is_uncontended(key, END_US + 80 * MS), eq(false), "the bound");
}

#[gtest]
fn a_report_is_used_for_a_short_time_where_reports_change_quickly() {
    let (pool, key) = after_reports(|number| if number % 2 == 0 { 0 } else { 3 });
    expect_that!(pool.is_uncontended(key, END_US + 5 * MS), eq(true));
    expect_that!(pool.is_uncontended(key, END_US + 12 * MS), eq(false));
}
