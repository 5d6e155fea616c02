//! Upstreams that send malformed responses again and again.

use {
    googletest::prelude::*,
    pointvane_core::{Name, UpstreamRecord},
    pointvane_dispatch::{AllowedRegions, CandidateCriteria, Pool, RankingOptions, UpstreamKey},
};

const MS: u64 = 1_000;
const SERVICE: &str = "desk";
/// Malformed responses in a row after which a pause follows.
const RESPONSES: u64 = 10;

fn pool(upstreams: usize) -> (Pool, Vec<UpstreamKey>) {
    let mut pool = Pool::new(RankingOptions::default(), "one".into(), 1);
    for number in 0..upstreams {
        let record = UpstreamRecord {
            born_ms: None,
            id: format!("i-{number}").as_str().into(),
            service: SERVICE.into(),
            address: "10.0.0.1:80".parse().unwrap(),
            data_centre: "one".into(),
            slots: 3,
            draining: false,
            warm_up_left_ms: 0,
            sequence: 1,
        };
        pool.upsert(record, MS);
    }
    let keys = pool.candidates(
        &SERVICE.into(),
        &CandidateCriteria {
            priority: 0,
            tried: &[],
            body_bytes: 0,
            count: 10,
            regions: &AllowedRegions::ANY,
        },
        MS,
    );
    (pool, keys)
}

fn spoil(pool: &mut Pool, key: UpstreamKey, now_us: u64) -> Vec<u64> {
    (0..RESPONSES).filter_map(|number| pool.record_malformed(key, now_us + number)).collect()
}

/// Guards against the only upstream of a service that gets every request although it answers none.
#[gtest]
fn the_only_upstream_pauses_too_and_callers_learn_until_when() {
    let (mut pool, keys) = pool(1);
    expect_that!(spoil(&mut pool, keys[0], 10 * MS), len(eq(1)));
    let withheld = pool.withheld(&Name::from(SERVICE), 0, 20 * MS).unwrap();
    expect_that!(withheld.backing_off, eq(1));
    expect_that!(withheld.back_in_ms, some(all!(ge(300), le(800))));
    expect_that!(pool.withheld(&Name::from(SERVICE), 0, 1_000 * MS), none());
}

/// Guards against responses to requests that were sent before a pause, which lengthen it.
#[gtest]
fn responses_that_come_during_a_pause_do_not_lengthen_it() {
    let (mut pool, keys) = pool(1);
    let pause_us = spoil(&mut pool, keys[0], 10 * MS)[0];
    expect_that!(spoil(&mut pool, keys[0], 20 * MS), is_empty());
    let after_us = 11 * MS + pause_us;
    expect_that!(pool.record_malformed(keys[0], after_us), some(gt(pause_us)));
}

/// Guards against one upstream's pause that holds for another.
#[gtest]
fn others_of_the_service_stay_in_use() {
    let (mut pool, keys) = pool(2);
    _ = spoil(&mut pool, keys[0], 10 * MS);
    expect_that!(pool.withheld(&Name::from(SERVICE), 0, 20 * MS), none());
    pool.record_valid_response(keys[1]);
    _ = spoil(&mut pool, keys[1], 20 * MS);
    expect_that!(
        pool.withheld(&Name::from(SERVICE), 0, 30 * MS).map(|withheld| withheld.backing_off),
        some(eq(2))
    );
}
