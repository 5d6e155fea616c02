//! Request limits in the pool of one node: eligibility, incarnations and announcements.

mod common;

use {
    common::{record, route},
    googletest::prelude::*,
    pointvane_core::{
        ErrorKind, LimitChange, LimitNotice, LimitRank, RouteKind, UpstreamLoad, UpstreamRecord,
    },
    pointvane_dispatch::{
        AllowedRegions, CandidateCriteria, Found, Ineligible, LIMITS_MAX, LimitAnnouncement, LimitMessage,
        Pool, RankingOptions, RefusedBy, Search, SearchGoal, SearchOptions, SearchRequest, SearchStep,
        Segment, UpstreamKey, retry_after_ms,
    },
    pointvane_mesh::codec,
};

const MS: u64 = 1_000;
const S: u64 = 1_000 * MS;
const SERVICE: &str = "dispatch";
static ANY_REGION: AllowedRegions = AllowedRegions::ANY;
const SOLE_NODE: LimitRank = LimitRank { rank: 0, processes: 1, reachable_share: 1.0 };

fn entry(id: &str, born_ms: u64) -> UpstreamRecord {
    UpstreamRecord { born_ms: Some(born_ms), ..record(id, 1) }
}

fn pool(ids: &[&str]) -> Pool {
    let mut pool = Pool::new(RankingOptions::default(), "one".into(), 1);
    ids.iter().for_each(|id| _ = pool.upsert(entry(id, 1_000), MS));
    pool
}

fn criteria(priority: u32) -> CandidateCriteria<'static> {
    CandidateCriteria { tried: &[], body_bytes: 0, count: 20, regions: &ANY_REGION, priority }
}

fn key(pool: &mut Pool, id: &str) -> UpstreamKey {
    let all = pool.candidates(&SERVICE.into(), &criteria(0), MS);
    all.into_iter().find(|key| pool.get(*key).unwrap().id().as_str() == id).unwrap()
}

/// The upstream advertises a limit of one request per second at 1 s; this node has the given rank.
fn advertise_limit(pool: &mut Pool, key: UpstreamKey, rank: Option<LimitRank>) {
    let change = pool.record_limit(key, LimitNotice::Advertised(1_000), Some(MS), S);
    expect_that!(change, some(eq(LimitChange::Set(1_000))));
    pool.set_limit_rank(key, rank, S);
}

fn search(pool: &mut Pool, priority: u32, now_us: u64) -> SearchStep {
    let options = SearchOptions { probes: true, first_round: 2, second_round: 4 };
    let request = SearchRequest {
        service: SERVICE.into(),
        tried: Vec::new(),
        body_bytes: 0,
        goal: SearchGoal::Best { until_us: now_us },
        regions: AllowedRegions::ANY,
        priority,
    };
    Search::new(options, request).next(pool, now_us)
}

#[gtest]
fn node_without_a_share_uses_other_upstreams() {
    let mut pool = pool(&["a", "b"]);
    let a = key(&mut pool, "a");
    advertise_limit(&mut pool, a, None);
    expect_that!(pool.begin_send(a, 90 * S), err(eq(Ineligible::Limited)));
    for now_us in (S..20 * S).step_by(100_000) {
        let found = pool.candidates(&SERVICE.into(), &criteria(0), now_us);
        expect_that!(found.contains(&a), eq(false));
    }
}

#[gtest]
fn second_concurrent_request_is_withheld_before_its_send() {
    let mut pool = pool(&["a"]);
    let a = key(&mut pool, "a");
    advertise_limit(&mut pool, a, Some(SOLE_NODE));
    expect_that!(pool.begin_send(a, 3 * S), ok(anything()));
    expect_that!(pool.begin_send(a, 3 * S), err(eq(Ineligible::Limited)));
    expect_that!(pool.begin_send(a, 4 * S), ok(anything()));
}

#[gtest]
fn limited_upstream_is_refreshed_by_a_request_and_not_probed() {
    let mut pool = pool(&["a", "b"]);
    let (a, b) = (key(&mut pool, "a"), key(&mut pool, "b"));
    let idle = UpstreamLoad { running: 0, waiting: 0, slots: 3, slowdown_percent: 100 };
    [a, b].into_iter().for_each(|key| pool.record_load(key, idle, MS));
    advertise_limit(&mut pool, a, Some(SOLE_NODE));
    // The limit has not been confirmed for more than a second, so a request is sent to refresh it.
    expect_that!(search(&mut pool, 0, 5 * S), eq(&SearchStep::Done(Found::Uncontended(a))));
    pool.record_limit(a, LimitNotice::Advertised(1_000), Some(5 * S), 5 * S);
    let step = search(&mut pool, 0, 5 * S + MS);
    expect_that!(step, matches_pattern!(SearchStep::Probe { upstreams: eq(&vec![b]), .. }));
}

#[gtest]
fn request_is_refused_with_retry_time_when_all_upstreams_are_limited() {
    let mut pool = pool(&["a", "b"]);
    let (a, b) = (key(&mut pool, "a"), key(&mut pool, "b"));
    advertise_limit(&mut pool, a, Some(SOLE_NODE));
    advertise_limit(&mut pool, b, None);
    expect_that!(pool.begin_send(a, 3 * S), ok(anything()));
    let step = search(&mut pool, 0, 3 * S + 200 * MS);
    expect_that!(step, eq(&SearchStep::Done(Found::NoUpstream(Ineligible::Limited))));
    expect_that!(Ineligible::Limited.error(), eq(ErrorKind::UpstreamsLimited));
    let withheld = pool.withheld(&SERVICE.into(), 0, 3 * S + 200 * MS).unwrap();
    expect_that!((withheld.upstreams, withheld.limited), eq((2, 2)));
    expect_that!(withheld.back_in_ms, some(eq(800)));
    let rule = route(RouteKind::Safe);
    let retry_ms =
        retry_after_ms(&rule, ErrorKind::UpstreamsLimited, RefusedBy::Node, withheld.back_in_ms, 0.0);
    expect_that!(retry_ms, some(eq(800)));
}

#[gtest]
fn next_request_is_reserved_for_urgent_work_for_a_while() {
    let mut pool = pool(&["a"]);
    let a = key(&mut pool, "a");
    advertise_limit(&mut pool, a, Some(SOLE_NODE));
    expect_that!(pool.begin_send(a, 3 * S), ok(anything()));
    let nothing = SearchStep::Done(Found::NoUpstream(Ineligible::Limited));
    expect_that!(search(&mut pool, 1, 4 * S), eq(&nothing));
    expect_that!(pool.withheld(&SERVICE.into(), 1, 4 * S).unwrap().back_in_ms, some(eq(250)));
    expect_that!(search(&mut pool, 0, 4 * S), eq(&SearchStep::Done(Found::Uncontended(a))));
    expect_that!(search(&mut pool, 1, 4 * S + 250 * MS), eq(&SearchStep::Done(Found::Uncontended(a))));
}

#[gtest]
fn lifted_limit_is_followed_by_a_single_trial_request() {
    let mut pool = pool(&["a"]);
    let a = key(&mut pool, "a");
    advertise_limit(&mut pool, a, Some(SOLE_NODE));
    expect_that!(pool.record_limit(a, LimitNotice::Absent, Some(2 * S), 2 * S), none());
    let lifted = pool.record_limit(a, LimitNotice::Absent, Some(2 * S), 2 * S);
    expect_that!(lifted, some(eq(LimitChange::Lifted)));
    expect_that!(pool.begin_send(a, 2 * S), ok(anything()));
    expect_that!(pool.begin_send(a, 2 * S), err(eq(Ineligible::BackingOff)));
    expect_that!(pool.record_return(a, true, 2 * S + MS), eq(true));
    expect_that!(pool.begin_send(a, 2 * S + MS), ok(anything()));
    expect_that!(pool.begin_send(a, 2 * S + MS), ok(anything()));
}

#[gtest]
fn limit_survives_removal_of_the_entry_but_not_a_new_incarnation() {
    let mut pool = pool(&["a"]);
    let a = key(&mut pool, "a");
    advertise_limit(&mut pool, a, None);
    pool.remove(&"a".into());
    pool.upsert(UpstreamRecord { sequence: 2, ..entry("a", 1_000) }, 2 * S);
    expect_that!(pool.limited().len(), eq(1));
    let returned = pool.limited()[0];
    expect_that!(pool.begin_send(returned, 3 * S), err(eq(Ineligible::Limited)));
    pool.upsert(entry("a", 2_000), 4 * S);
    let new_incarnation = key(&mut pool, "a");
    expect_that!(pool.is_limited(new_incarnation), eq(false));
    // A late response of the previous incarnation is ignored.
    expect_that!(pool.record_limit(returned, LimitNotice::Advertised(500), Some(S), 4 * S), none());
    expect_that!(pool.begin_send(new_incarnation, 4 * S), ok(anything()));
}

#[gtest]
fn announcements_for_another_incarnation_or_unknown_upstream_are_ignored() {
    let announcement = |upstream: &str, born_ms| LimitAnnouncement {
        upstream: upstream.into(),
        born_ms,
        per_1000_s: Some(2_000),
        age_ms: 3,
    };
    let mut pool = pool(&["a"]);
    expect_that!(pool.receive_limit(&announcement("a", Some(999)), S), none());
    expect_that!(pool.receive_limit(&announcement("b", Some(1_000)), S), none());
    expect_that!(pool.limited().is_empty(), eq(true));
    let received = pool.receive_limit(&announcement("a", Some(1_000)), S);
    expect_that!(received.map(|(_, change)| change), some(eq(LimitChange::Set(2_000))));
    expect_that!(pool.take_limit_announcements(9 * S), is_empty(), "only the origin announces again");
}

#[gtest]
fn limits_and_their_end_are_announced_to_other_nodes() {
    let mut pool = pool(&["a"]);
    let a = key(&mut pool, "a");
    advertise_limit(&mut pool, a, Some(SOLE_NODE));
    let announced = pool.take_limit_announcements(S + 7 * MS);
    let advertised =
        LimitAnnouncement { upstream: "a".into(), born_ms: Some(1_000), per_1000_s: Some(1_000), age_ms: 7 };
    expect_that!(announced, eq(&vec![advertised.clone()]));
    (0..2).for_each(|_| _ = pool.record_limit(a, LimitNotice::Absent, Some(2 * S), 2 * S));
    for age_ms in [0, 200, 400] {
        let lifted = LimitAnnouncement { per_1000_s: None, age_ms, ..advertised.clone() };
        expect_that!(pool.take_limit_announcements(2 * S + u64::from(age_ms) * MS), eq(&vec![lifted]));
    }
    expect_that!(pool.limited().is_empty(), eq(true), "the upstream is no longer tracked");
}

#[gtest]
fn largest_message_fits_in_one_datagram() {
    let longest = LimitAnnouncement {
        upstream: "i".repeat(64).as_str().into(),
        born_ms: Some(u64::MAX),
        per_1000_s: Some(u32::MAX),
        age_ms: u32::MAX,
    };
    let origin = "[2001:db8:ffff:ffff:ffff:ffff:ffff:ffff]:65535".parse().unwrap();
    let message = LimitMessage { origin, segment: Segment::LONGEST, limits: vec![longest; LIMITS_MAX] };
    expect_that!(codec::encode(&message), ok(anything()));
}
