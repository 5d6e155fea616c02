//! Back-off and leaving notices of upstreams: their effect, their scope, and services without a usable
//! upstream.

mod common;

use {
    common::{record, route},
    googletest::prelude::*,
    pointvane_core::{ErrorKind, RouteKind, RouteRule, UpstreamLoad, UpstreamRecord},
    pointvane_dispatch::{
        AllowedRegions, AttemptOutcome, CandidateCriteria, Found, Ineligible, NotRunReason, Pool,
        RankingOptions, RefusedBy, Search, SearchGoal, SearchOptions, SearchRequest, SearchStep, UpstreamKey,
        WithheldService, retry_after_ms,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom},
};

const MS: u64 = 1_000;
const S: u64 = 1_000 * MS;
/// Back-off requested by upstreams.
const BACK_OFF_US: u64 = 3 * S;
/// Longest time for which a node sends nothing: it returns no later than twice the requested time.
const BACK_OFF_MAX_US: u64 = 2 * BACK_OFF_US;
const SERVICE: &str = "dispatch";

fn entry(id: &str, born_ms: Option<u64>, sequence: u64) -> UpstreamRecord {
    UpstreamRecord { born_ms, ..record(id, sequence) }
}

fn pool(ids: &[&str]) -> Pool {
    let mut pool = Pool::new(RankingOptions::default(), "one".into(), 1);
    ids.iter().for_each(|id| _ = pool.upsert(entry(id, Some(1_000), 1), MS));
    pool
}

fn candidates(pool: &mut Pool, now_us: u64) -> Vec<UpstreamKey> {
    pool.candidates(
        &SERVICE.into(),
        &CandidateCriteria {
            priority: 0,
            tried: &[],
            body_bytes: 0,
            count: 20,
            regions: &AllowedRegions::ANY,
        },
        now_us,
    )
}

fn key(pool: &mut Pool, id: &str) -> UpstreamKey {
    let all = candidates(pool, MS);
    all.into_iter().find(|key| pool.get(*key).unwrap().id().as_str() == id).unwrap()
}

/// Returns the result of a search that begins now and none of whose probes is answered.
fn search_result(pool: &mut Pool, now_us: u64) -> Found {
    let options = SearchOptions { probes: true, first_round: 2, second_round: 4 };
    let request = SearchRequest {
        service: SERVICE.into(),
        tried: Vec::new(),
        body_bytes: 0,
        goal: SearchGoal::Best { until_us: now_us },
        regions: AllowedRegions::ANY,
        priority: 0,
    };
    let mut search = Search::new(options, request);
    loop {
        if let SearchStep::Done(search_result) = search.next(pool, now_us) {
            return search_result;
        }
    }
}

#[gtest]
fn upstream_that_is_backing_off_gets_no_requests_or_probes_until_its_time_is_over() {
    let mut pool = pool(&["a", "b"]);
    let a = key(&mut pool, "a");
    let back_off_us = pool.record_back_off(a, BACK_OFF_US, S).unwrap();
    expect_that!(back_off_us, all!(ge(BACK_OFF_US), le(BACK_OFF_MAX_US)));
    for now_us in [S, S + 500 * MS, S + BACK_OFF_US - 1, S + back_off_us - 1] {
        expect_that!(candidates(&mut pool, now_us), not(contains(eq(&a))));
        expect_that!(pool.begin_send(a, now_us), err(eq(Ineligible::BackingOff)));
    }
    expect_that!(candidates(&mut pool, S + back_off_us), contains(eq(&a)));
    expect_that!(pool.begin_send(a, S + back_off_us), ok(anything()));
    expect_that!(
        pool.begin_send(a, S + back_off_us + 1),
        err(eq(Ineligible::BackingOff)),
        "a trial request is running"
    );
    pool.record_return(a, true, S + back_off_us + 2);
    expect_that!(pool.begin_send(a, S + back_off_us + 3), ok(anything()));
}

/// Guards against a search that ignores a notice received after it has probed the upstream.
#[gtest]
fn search_in_progress_does_not_choose_an_upstream_that_starts_backing_off() {
    let mut pool = pool(&["a"]);
    let a = key(&mut pool, "a");
    let options = SearchOptions { probes: true, first_round: 2, second_round: 4 };
    let goal = SearchGoal::Best { until_us: 2 * S };
    let request = SearchRequest {
        service: SERVICE.into(),
        tried: Vec::new(),
        body_bytes: 0,
        goal,
        regions: AllowedRegions::ANY,
        priority: 0,
    };
    let mut search = Search::new(options, request);
    expect_that!(search.next(&mut pool, S), matches_pattern!(SearchStep::Probe { .. }));
    pool.record_load(a, UpstreamLoad { running: 0, waiting: 0, slots: 3, slowdown_percent: 100 }, S);
    pool.record_back_off(a, BACK_OFF_US, S + MS);
    expect_that!(search.record_probe_response(a, &pool, S + 2 * MS), eq(false));
    let end = search.next(&mut pool, S + 3 * MS);
    expect_that!(end, eq(&SearchStep::Done(Found::NoUpstream(Ineligible::BackingOff))));
}

#[gtest]
fn longer_back_off_extends_and_shorter_one_does_not_shorten() {
    let mut pool = pool(&["a"]);
    let a = key(&mut pool, "a");
    pool.record_back_off(a, BACK_OFF_US, S);
    expect_that!(pool.record_back_off(a, 100 * MS, S + MS), none());
    expect_that!(pool.begin_send(a, S + BACK_OFF_US - 1), err(eq(Ineligible::BackingOff)));
    expect_that!(pool.record_back_off(a, 3 * BACK_OFF_US, S + 2 * MS), some(ge(3 * BACK_OFF_US)));
    expect_that!(pool.begin_send(a, S + 3 * BACK_OFF_US), err(eq(Ineligible::BackingOff)));
}

/// Rewriting the entry as "ready", or removing and restoring it, does not revoke the notices of the same
/// incarnation.
#[gtest]
fn notices_survive_changes_of_the_entry_of_the_same_incarnation() {
    let mut pool = pool(&["a", "b"]);
    let (a, b) = (key(&mut pool, "a"), key(&mut pool, "b"));
    pool.record_back_off(a, BACK_OFF_US, S);
    pool.record_leaving(b);
    for id in ["a", "b"] {
        pool.upsert(entry(id, Some(1_000), 2), S + MS);
    }
    expect_that!(candidates(&mut pool, S + 2 * MS), is_empty());
    for id in ["a", "b"] {
        pool.remove(&id.into());
        pool.upsert(entry(id, Some(1_000), 3), S + 3 * MS);
    }
    expect_that!(candidates(&mut pool, S + 4 * MS), is_empty());
    let returned = candidates(&mut pool, S + BACK_OFF_MAX_US);
    expect_that!(returned.len(), eq(1), "the back-off ended, the departure did not");
    expect_that!(pool.get(returned[0]).unwrap().id().as_str(), eq("a"));
}

#[gtest]
fn new_incarnation_does_not_inherit_notices() {
    for entry_goes_first in [false, true] {
        let mut pool = pool(&["a", "b"]);
        let previous = [key(&mut pool, "a"), key(&mut pool, "b")];
        pool.record_back_off(previous[0], BACK_OFF_US, S);
        pool.record_leaving(previous[1]);
        for id in ["a", "b"] {
            if entry_goes_first {
                pool.remove(&id.into());
            }
            pool.upsert(entry(id, Some(2_000), 1), S + MS);
        }
        expect_that!(candidates(&mut pool, S + 2 * MS).len(), eq(2));
        // A late response of the previous incarnation.
        expect_that!(pool.record_back_off(previous[0], BACK_OFF_US, S + 3 * MS), none());
        expect_that!(pool.record_leaving(previous[1]), eq(false));
        expect_that!(candidates(&mut pool, S + 4 * MS).len(), eq(2));
    }
}

/// A restarted upstream serves requests before its entry is updated, and responses do not name the
/// incarnation, so the back-off may have come from the new one. If it did not, starting with a single request
/// costs little.
#[gtest]
fn new_incarnation_after_a_back_off_gets_a_single_trial_request_first() {
    for entry_goes_first in [false, true] {
        let mut pool = pool(&["a"]);
        let previous = key(&mut pool, "a");
        pool.record_back_off(previous, BACK_OFF_US, S);
        if entry_goes_first {
            pool.remove(&"a".into());
        }
        pool.upsert(entry("a", Some(2_000), 1), S + MS);
        let new = candidates(&mut pool, S + 2 * MS)[0];
        expect_that!(pool.begin_send(new, S + 2 * MS), ok(anything()));
        for now_us in [S + 2 * MS, S + 100 * MS] {
            expect_that!(
                pool.begin_send(new, now_us),
                err(eq(Ineligible::BackingOff)),
                "a trial request is running"
            );
        }
        pool.record_return(new, true, S + 120 * MS);
        (0..3).for_each(|_| expect_that!(pool.begin_send(new, S + 120 * MS), ok(anything())));
    }
}

/// Without a start time it is unknown whether a returning entry belongs to the same incarnation. Treating it
/// as the same would exclude the upstream permanently.
#[gtest]
fn returning_entry_without_start_time_is_a_new_incarnation() {
    let mut pool = Pool::new(RankingOptions::default(), "one".into(), 1);
    pool.upsert(entry("a", None, 1), MS);
    let a = key(&mut pool, "a");
    pool.record_leaving(a);
    pool.remove(&"a".into());
    pool.upsert(entry("a", None, 2), S);
    expect_that!(candidates(&mut pool, S).len(), eq(1));
}

#[gtest]
fn expired_entry_of_a_leaving_upstream_gets_no_grace_period() {
    let mut pool = pool(&["a", "b"]);
    let a = key(&mut pool, "a");
    pool.record_leaving(a);
    expect_that!(pool.handle_entry_removal(&"a".into(), 10 * S, S), eq(true));
    expect_that!(pool.handle_entry_removal(&"b".into(), 10 * S, S), eq(false));
}

/// An entry that says "draining" takes effect without a notice in a response, and the reverse.
#[gtest]
fn draining_entry_and_leaving_notice_each_suffice() {
    let mut pool = pool(&["a", "b"]);
    let (a, b) = (key(&mut pool, "a"), key(&mut pool, "b"));
    pool.upsert(UpstreamRecord { draining: true, ..entry("a", Some(1_000), 2) }, S);
    pool.record_leaving(b);
    expect_that!(pool.eligibility(a, S), err(eq(Ineligible::Draining)));
    expect_that!(pool.eligibility(b, S), err(eq(Ineligible::Leaving)));
    expect_that!(search_result(&mut pool, S), eq(Found::NoUpstream(Ineligible::Draining)));
}

/// Six upstreams with random combinations of binding reasons: the request is refused at once with the time
/// until the first upstream returns.
#[gtest]
fn request_is_refused_with_time_of_first_return_when_no_upstream_is_left() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let ids = ["a", "b", "c", "d", "e", "f"];
        let mut pool = pool(&ids);
        let mut order = ids.map(|id| (id, key(&mut pool, id)));
        order.shuffle(&mut rng);
        let mut first_return_us = u64::MAX;
        for (index, (id, key)) in order.into_iter().enumerate() {
            match if index == 0 { 0 } else { rng.random_range(0..3) } {
                0 => {
                    let back_off_us = pool.record_back_off(key, rng.random_range(MS..5 * S), S).unwrap();
                    first_return_us = first_return_us.min(S + back_off_us);
                }
                1 => _ = pool.record_leaving(key),
                _ => {
                    let draining = UpstreamRecord { draining: true, ..entry(id, Some(1_000), 2) };
                    pool.upsert(draining, S);
                }
            }
        }
        let now_us = S + MS / 2;
        expect_that!(
            search_result(&mut pool, now_us),
            eq(Found::NoUpstream(Ineligible::BackingOff)),
            "seed {seed}"
        );
        let withheld = pool.withheld(&SERVICE.into(), 0, now_us).unwrap();
        expect_that!(withheld.upstreams, eq(6));
        let back_in_ms = withheld.back_in_ms.unwrap();
        expect_that!(
            now_us + back_in_ms * MS,
            all!(ge(first_return_us), le(first_return_us + MS)),
            "seed {seed}"
        );
        expect_that!(pool.withheld(&SERVICE.into(), 0, first_return_us), none(), "seed {seed}");
    }
}

/// An ejected upstream is used if there is no other, because ejection, unlike a notice, is not binding.
#[gtest]
fn ejected_upstream_serves_while_the_others_back_off() {
    let mut pool = pool(&["a", "b"]);
    let (a, b) = (key(&mut pool, "a"), key(&mut pool, "b"));
    pool.record_back_off(a, BACK_OFF_US, S);
    (0..3).for_each(|_| pool.get_mut(b).unwrap().record_unresponsive(S));
    expect_that!(pool.eligibility(b, S), err(eq(Ineligible::Ejected)));
    expect_that!(search_result(&mut pool, S), eq(Found::Contended(b)));
    expect_that!(pool.withheld(&SERVICE.into(), 0, S), none());
}

#[gtest]
fn service_whose_upstreams_all_leave_has_no_return_time() {
    let mut pool = pool(&["a", "b"]);
    for id in ["a", "b"] {
        let key = key(&mut pool, id);
        pool.record_leaving(key);
    }
    expect_that!(search_result(&mut pool, S), matches_pattern!(Found::NoUpstream(_)));
    let withheld = pool.withheld(&SERVICE.into(), 0, S);
    expect_that!(
        withheld,
        some(eq(WithheldService { upstreams: 2, backing_off: 0, limited: 0, back_in_ms: None }))
    );
}

/// A request may be withheld because another one started a trial after its search. Ending that trial by
/// mistake would let a third request run beside it.
#[gtest]
fn withheld_attempt_does_not_end_a_trial() {
    for reason in [Ineligible::BackingOff, Ineligible::Draining, Ineligible::Gone] {
        expect_that!(AttemptOutcome::Withheld(reason).send_started(), eq(false));
    }
    for outcome in [AttemptOutcome::Unreachable, AttemptOutcome::Quarantined, AttemptOutcome::Expired] {
        expect_that!(outcome.send_started(), eq(false), "{outcome:?}");
    }
    let busy = AttemptOutcome::NotRun(NotRunReason::Busy);
    let answered = AttemptOutcome::Answered { failed: true };
    for outcome in [answered, busy, AttemptOutcome::Unsent, AttemptOutcome::Broken, AttemptOutcome::Crashed] {
        expect_that!(outcome.send_started(), eq(true), "{outcome:?}");
    }
}

/// Callers that return too early are refused again, and urgent requests are to return before others.
#[gtest]
fn retry_time_follows_the_first_return_and_is_shorter_for_urgent_requests() {
    let retry_ms = |priority: u32, error: ErrorKind, jitter: f64| {
        let route = RouteRule { priority, ..route(RouteKind::Safe) };
        retry_after_ms(&route, error, RefusedBy::Upstream, Some(1_500), jitter).unwrap()
    };
    for error in [ErrorKind::UpstreamsBackingOff, ErrorKind::Overloaded] {
        expect_that!(retry_ms(0, error, 0.0), eq(1_500));
        expect_that!(retry_ms(0, error, 1.0), eq(1_600));
        expect_that!(retry_ms(2, error, 0.0), eq(1_600));
        for jitter in [0.0, 0.3, 1.0] {
            expect_that!(retry_ms(1, error, jitter), gt(retry_ms(0, error, jitter)));
        }
    }
}
