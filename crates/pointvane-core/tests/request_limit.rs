//! Tests of request limits: parsing, the share of one process, announcements and expiry.

use {
    googletest::prelude::*,
    pointvane_core::{
        LimitChange::{Lifted, Set},
        LimitNotice::{self, Absent, Advertised, Malformed},
        LimitRank, LimitReport, RequestLimit,
    },
};

const S: u64 = 1_000_000;
const MS: u64 = 1_000;

fn parse(values: &[&str]) -> LimitNotice {
    LimitNotice::parse(values.iter().map(|value| value.as_bytes()))
}

#[gtest]
fn header_values_are_parsed() {
    let cases: [(&[&str], LimitNotice); 20] = [
        (&[], Absent),
        (&["3"], Advertised(3_000)),
        (&["2.5"], Advertised(2_500)),
        (&[" 0.7 "], Advertised(700)),
        (&[".5"], Advertised(500)),
        (&["0"], Advertised(0)),
        (&["0.0001"], Advertised(0)),
        (&["40", "6"], Advertised(6_000)),
        (&["6, 40"], Advertised(6_000)),
        (&["many, 6"], Advertised(6_000)),
        (&["99999999999"], Advertised(1_000_000_000)),
        (&["-1"], Malformed),
        (&["+1"], Malformed),
        (&["1e3"], Malformed),
        (&["1e400"], Malformed),
        (&["NaN"], Malformed),
        (&["inf"], Malformed),
        (&[""], Malformed),
        (&["1.2.3"], Malformed),
        (&["Thu, 03 Dec 2026 09:00:00 GMT"], Malformed),
    ];
    for (values, expected) in cases {
        expect_that!(parse(values), eq(expected), "{values:?}");
    }
    expect_that!(LimitNotice::parse([&[0xff, 0xfe][..]]), eq(Malformed), "not UTF-8");
}

fn limit_rank(rank: usize, processes: usize) -> Option<LimitRank> {
    Some(LimitRank { rank, processes, reachable_share: 1.0 })
}

/// A limit that one process with a rank in the order learned at 1 s.
fn limited(per_1000_s: u32, rank: Option<LimitRank>) -> RequestLimit {
    let mut limit = RequestLimit::default();
    limit.record_response(Advertised(per_1000_s), Some(S - MS), S);
    limit.set_rank(rank, 0.0, S);
    limit
}

/// Number of requests that one process with unlimited demand sends in a period.
fn sent(limit: &mut RequestLimit, from_us: u64, until_us: u64) -> usize {
    let mut sent = 0;
    for now_us in (from_us..until_us).step_by(MS as usize) {
        while !limit.blocks_sends(now_us) && sent < 100_000 {
            limit.record_send(now_us);
            sent += 1;
        }
    }
    sent
}

#[gtest]
fn shares_and_requests_of_all_processes_add_up_to_the_limit() {
    for (per_1000_s, processes) in [(1_000, 18), (2_500, 18), (6_000, 18), (40_000, 18), (40_000, 1_800)] {
        let mut total_per_s = 0.0;
        let mut requests = 0;
        for rank in 0..processes {
            let mut limit = limited(per_1000_s, limit_rank(rank, processes));
            total_per_s += limit.share_per_s().unwrap();
            requests += sent(&mut limit, S, 21 * S);
        }
        let per_s = f64::from(per_1000_s) / 1e3;
        expect_that!(total_per_s, near(per_s, 1e-6), "{per_1000_s} {processes}");
        let requests_max = per_s * 20.25 + per_s.ceil();
        expect_that!(requests as f64, all!(ge(per_s * 19.0), le(requests_max)), "{per_1000_s} {processes}");
    }
}

#[gtest]
fn a_process_without_a_rank_or_beyond_the_limit_sends_nothing() {
    expect_that!(limited(2_500, None).blocks_sends(100 * S), eq(true));
    expect_that!(limited(2_500, limit_rank(3, 18)).blocks_sends(100 * S), eq(true));
    expect_that!(limited(2_500, limit_rank(2, 18)).blocks_sends(100 * S), eq(false));
}

/// Guards against a process that has just started sending nothing to an upstream with a high limit.
#[gtest]
fn processes_that_do_not_know_each_other_stay_within_the_limit() {
    for (per_1000_s, share_per_s) in [(2_500, 0.0), (1_999_000, 0.0), (2_000_000, 1.0), (100_000_000, 50.0)] {
        let limit = limited(per_1000_s, Some(LimitRank::last_of(2_000)));
        expect_that!(limit.share_per_s(), some(eq(share_per_s)), "{per_1000_s}");
    }
    expect_that!(limited(6_000, Some(LimitRank::last_of(1))).share_per_s(), some(eq(6.0)));
}

#[gtest]
fn a_partition_of_the_fleet_uses_only_its_share() {
    let half = Some(LimitRank { rank: 0, processes: 9, reachable_share: 0.5 });
    expect_that!(limited(1_000, half).share_per_s(), some(near(0.5, 1e-9)));
}

#[gtest]
fn unused_requests_do_not_accumulate() {
    let mut limit = limited(1_000, limit_rank(0, 18));
    expect_that!(sent(&mut limit, 60 * S, 60 * S + 10 * MS), eq(1));
}

#[gtest]
fn a_limit_of_zero_still_allows_one_request_in_four_seconds() {
    let mut limit = limited(0, limit_rank(0, 18));
    expect_that!(sent(&mut limit, S, 41 * S), all!(ge(9), le(11)));
}

#[gtest]
fn the_latest_limit_applies_whether_lower_or_higher() {
    let mut limit = limited(6_000, limit_rank(0, 18));
    expect_that!(limit.record_response(Advertised(2_000), Some(S), 2 * S), some(eq(Set(2_000))));
    expect_that!(limit.record_response(Advertised(2_000), Some(S), 2 * S), none());
    expect_that!(limit.record_response(Advertised(9_000), Some(2 * S), 3 * S), some(eq(Set(9_000))));
    expect_that!(limit.record_response(Malformed, Some(3 * S), 4 * S), none());
    expect_that!(limit.per_1000_s(), some(eq(9_000)));
}

#[gtest]
fn a_limit_is_lifted_by_two_consecutive_responses_without_it() {
    let mut limit = limited(2_500, limit_rank(0, 18));
    expect_that!(limit.record_response(Absent, Some(2 * S), 2 * S), none());
    expect_that!(limit.is_refresh_due(2 * S), eq(true), "the next request goes there immediately");
    expect_that!(limit.record_response(Advertised(2_500), Some(3 * S), 3 * S), none());
    expect_that!(limit.record_response(Absent, Some(4 * S), 4 * S), none());
    expect_that!(limit.record_response(Absent, Some(5 * S), 5 * S), some(eq(Lifted)));
    expect_that!(limit.blocks_sends(5 * S), eq(false));
}

#[gtest]
fn responses_to_probes_and_to_earlier_requests_do_not_lift_a_limit() {
    let mut limit = limited(2_500, limit_rank(0, 18));
    for _ in 0..5 {
        expect_that!(limit.record_response(Absent, None, 2 * S), none());
        expect_that!(limit.record_response(Absent, Some(S - 1), 2 * S), none());
    }
    expect_that!(limit.per_1000_s(), some(eq(2_500)));
    expect_that!(
        limit.record_response(Advertised(1_000), None, 2 * S),
        some(eq(Set(1_000))),
        "a response to a probe can set a limit"
    );
}

#[gtest]
fn the_latest_report_applies_in_any_order_of_arrival() {
    let advertised = LimitReport { per_1000_s: Some(3_000), reported_at_us: 2 * S };
    let lifted = LimitReport { per_1000_s: None, reported_at_us: 3 * S };
    let mut one = RequestLimit::default();
    expect_that!(one.receive(advertised, 4 * S), some(eq(Set(3_000))));
    expect_that!(one.receive(lifted, 4 * S), some(eq(Lifted)));
    expect_that!(one.receive(advertised, 4 * S), none());
    let mut other = RequestLimit::default();
    expect_that!(other.receive(lifted, 4 * S), none());
    expect_that!(other.receive(advertised, 4 * S), none());
    expect_that!(other.per_1000_s(), none());
    // A report from the future, due to a wrong clock, counts as made now.
    let future = LimitReport { per_1000_s: Some(1_000), reported_at_us: u64::MAX };
    expect_that!(other.receive(future, 5 * S), some(eq(Set(1_000))));
    expect_that!(
        other.receive(LimitReport { per_1000_s: None, reported_at_us: 6 * S }, 6 * S),
        some(eq(Lifted))
    );
}

#[gtest]
fn changes_are_announced_immediately_and_confirmations_once_per_second() {
    let mut limit = limited(2_500, limit_rank(0, 18));
    let report = limit.take_announcement(1, S);
    expect_that!(report, some(eq(LimitReport { per_1000_s: Some(2_500), reported_at_us: S })));
    let mut announcements = 0;
    for now_us in (S..11 * S).step_by(100_000) {
        limit.record_response(Advertised(2_500), Some(now_us), now_us);
        announcements += usize::from(limit.take_announcement(1, now_us).is_some());
    }
    expect_that!(announcements, all!(ge(8), le(10)));
    limit.record_response(Advertised(1_500), Some(12 * S), 12 * S);
    expect_that!(limit.take_announcement(1, 12 * S), some(anything()));
    limit.record_response(Advertised(1_500), Some(14 * S), 14 * S);
    expect_that!(
        limit.take_announcement(1_000, 14 * S),
        none(),
        "with 1,000 limits each is announced less often"
    );
}

#[gtest]
fn an_unconfirmed_limit_is_checked_by_more_processes_and_then_expires() {
    let mut limit = limited(1_000, limit_rank(3, 18));
    expect_that!(limit.doublings(3 * S), eq(0));
    expect_that!(limit.doublings(7 * S), eq(2));
    limit.set_rank(limit_rank(3, 18), 0.0, 7 * S);
    expect_that!(limit.share_per_s(), some(near(0.25, 1e-9)));
    expect_that!(limit.is_refresh_due(7 * S), eq(true));
    limit.record_response(Advertised(1_000), Some(8 * S), 8 * S);
    limit.set_rank(limit_rank(3, 18), 0.0, 8 * S);
    expect_that!(limit.blocks_sends(9 * S), eq(true));
    expect_that!(limit.expire(67 * S), none());
    expect_that!(limit.expire(68 * S), some(eq(Lifted)));
}

#[gtest]
fn the_next_request_is_reserved_for_more_urgent_ones_for_a_time() {
    let mut limit = limited(1_000, limit_rank(0, 18));
    limit.record_send(S);
    expect_that!(limit.is_reserved(0, 2 * S), eq(false));
    expect_that!(limit.is_reserved(1, 2 * S), eq(true));
    expect_that!(limit.is_reserved(1, 2 * S + 250 * MS), eq(false));
    expect_that!(limit.is_reserved(9, 2 * S + 500 * MS), eq(false));
    expect_that!(limit.available_in_us(1, 2 * S), some(eq(250 * MS)));
    expect_that!(limit.available_in_us(0, 2 * S), none());
}

#[gtest]
fn the_lifting_of_a_limit_is_announced_repeatedly() {
    let mut limit = limited(2_500, limit_rank(0, 18));
    (0..2).for_each(|_| _ = limit.record_response(Absent, Some(2 * S), 2 * S));
    // Datagrams can be lost.
    let lifted = LimitReport { per_1000_s: None, reported_at_us: 2 * S };
    let announced = |limit: &mut RequestLimit, now_us| limit.take_announcement(1, now_us);
    for now_us in [2 * S, 2 * S + 200 * MS, 2 * S + 400 * MS] {
        expect_that!(announced(&mut limit, now_us), some(eq(lifted)), "{now_us}");
        expect_that!(announced(&mut limit, now_us + 100 * MS), none());
    }
    expect_that!(announced(&mut limit, 6 * S), none());
    expect_that!(limit.is_unannounced(), eq(false));
}

#[gtest]
fn a_request_limit_takes_at_most_100_bytes() {
    expect_that!(size_of::<RequestLimit>(), le(100));
}

/// Guards against a burst for each change in the membership, however small.
#[gtest]
fn a_repeated_or_changed_rank_allows_no_further_burst() {
    for (per_1000_s, other_per_1000_s) in [(400_000, 400_000), (400_000, 401_000), (40_000, 20_000)] {
        let mut limit = limited(per_1000_s, limit_rank(0, 1));
        let mut requests = 0;
        for (index, from_us) in (S..5 * S).step_by(100_000).enumerate() {
            let advertised = [other_per_1000_s, per_1000_s][index % 2];
            limit.record_response(Advertised(advertised), Some(from_us), from_us);
            limit.set_rank(limit_rank(0, 1), 0.5, from_us);
            requests += sent(&mut limit, from_us, from_us + 100_000);
        }
        let per_s = f64::from(per_1000_s.max(other_per_1000_s)) / 1e3;
        expect_that!(requests as f64, le(per_s * 4.25 + 1.0), "{per_1000_s} {other_per_1000_s}");
        let min_per_s = f64::from(per_1000_s.min(other_per_1000_s)) / 1e3;
        expect_that!(requests as f64, ge(min_per_s * 3.9), "{per_1000_s} {other_per_1000_s}");
    }
}
