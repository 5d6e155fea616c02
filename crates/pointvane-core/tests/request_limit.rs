//! What an upstream says of how many requests it takes, and which of them one process may send.

use {
    googletest::prelude::*,
    pointvane_core::{
        LimitChange::{Lifted, Set},
        LimitNotice::{self, Absent, Advertised, Unreadable},
        LimitPlace, LimitReport, RequestLimit,
    },
};

const S: u64 = 1_000_000;
const MS: u64 = 1_000;

fn read(values: &[&str]) -> LimitNotice {
    LimitNotice::read(values.iter().map(|value| value.as_bytes()))
}

#[gtest]
fn each_value_of_the_header_has_one_meaning() {
    let meanings: [(&[&str], LimitNotice); 20] = [
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
        (&["-1"], Unreadable),
        (&["+1"], Unreadable),
        (&["1e3"], Unreadable),
        (&["1e400"], Unreadable),
        (&["NaN"], Unreadable),
        (&["inf"], Unreadable),
        (&[""], Unreadable),
        (&["1.2.3"], Unreadable),
        (&["Thu, 03 Dec 2026 09:00:00 GMT"], Unreadable),
    ];
    for (values, meaning) in meanings {
        expect_that!(read(values), eq(meaning), "{values:?}");
    }
    expect_that!(LimitNotice::read([&[0xff, 0xfe][..]]), eq(Unreadable), "no text");
}

fn place(before: usize, processes: usize) -> Option<LimitPlace> {
    Some(LimitPlace { before, processes, reached_share: 1.0 })
}

/// A limit that one process was told at 1 s, and its place.
fn limited(per_1000_s: u32, place: Option<LimitPlace>) -> RequestLimit {
    let mut limit = RequestLimit::default();
    limit.record_answer(Advertised(per_1000_s), Some(S - MS), S);
    limit.set_place(place, 0.0, S);
    limit
}

/// Requests that one process sends in a time though it has any number.
fn sent(limit: &mut RequestLimit, from_us: u64, until_us: u64) -> usize {
    let mut sent = 0;
    for now_us in (from_us..until_us).step_by(MS as usize) {
        while !limit.holds(now_us) && sent < 100_000 {
            limit.send_began(now_us);
            sent += 1;
        }
    }
    sent
}

#[gtest]
fn all_parts_together_are_the_limit_and_so_are_the_requests() {
    for (per_1000_s, processes) in [(1_000, 18), (2_500, 18), (6_000, 18), (40_000, 18), (40_000, 1_800)] {
        let mut whole = 0.0;
        let mut requests = 0;
        for before in 0..processes {
            let mut limit = limited(per_1000_s, place(before, processes));
            whole += limit.part_per_s().unwrap();
            requests += sent(&mut limit, S, 21 * S);
        }
        let per_s = f64::from(per_1000_s) / 1e3;
        expect_that!(whole, near(per_s, 1e-6), "{per_1000_s} {processes}");
        let most = per_s * 20.25 + per_s.ceil();
        expect_that!(requests as f64, all!(ge(per_s * 19.0), le(most)), "{per_1000_s} {processes}");
    }
}

#[gtest]
fn a_process_without_a_place_sends_nothing_and_one_far_back_nothing_either() {
    expect_that!(limited(2_500, None).holds(100 * S), eq(true));
    expect_that!(limited(2_500, place(3, 18)).holds(100 * S), eq(true));
    expect_that!(limited(2_500, place(2, 18)).holds(100 * S), eq(false));
}

/// A process that has just started sent an upstream nothing, however high its limit was.
#[gtest]
fn processes_that_do_not_know_each_other_yet_together_send_at_most_the_limit() {
    for (per_1000_s, part_per_s) in [(2_500, 0.0), (1_999_000, 0.0), (2_000_000, 1.0), (100_000_000, 50.0)] {
        let limit = limited(per_1000_s, Some(LimitPlace::last_of(2_000)));
        expect_that!(limit.part_per_s(), some(eq(part_per_s)), "{per_1000_s}");
    }
    expect_that!(limited(6_000, Some(LimitPlace::last_of(1))).part_per_s(), some(eq(6.0)));
}

#[gtest]
fn a_part_of_the_fleet_that_reaches_nobody_else_sends_its_part_only() {
    let half = Some(LimitPlace { before: 0, processes: 9, reached_share: 0.5 });
    expect_that!(limited(1_000, half).part_per_s(), some(near(0.5, 1e-9)));
}

#[gtest]
fn requests_that_were_not_sent_are_not_saved_up() {
    let mut limit = limited(1_000, place(0, 18));
    expect_that!(sent(&mut limit, 60 * S, 60 * S + 10 * MS), eq(1));
}

#[gtest]
fn a_limit_of_zero_leaves_one_request_in_four_seconds_by_which_its_end_is_learned() {
    let mut limit = limited(0, place(0, 18));
    expect_that!(sent(&mut limit, S, 41 * S), all!(ge(9), le(11)));
}

#[gtest]
fn the_later_number_holds_whether_lower_or_higher() {
    let mut limit = limited(6_000, place(0, 18));
    expect_that!(limit.record_answer(Advertised(2_000), Some(S), 2 * S), some(eq(Set(2_000))));
    expect_that!(limit.record_answer(Advertised(2_000), Some(S), 2 * S), none());
    expect_that!(limit.record_answer(Advertised(9_000), Some(2 * S), 3 * S), some(eq(Set(9_000))));
    expect_that!(limit.record_answer(Unreadable, Some(3 * S), 4 * S), none());
    expect_that!(limit.per_1000_s(), some(eq(9_000)));
}

#[gtest]
fn one_answer_without_a_limit_does_not_end_it_and_two_do() {
    let mut limit = limited(2_500, place(0, 18));
    expect_that!(limit.record_answer(Absent, Some(2 * S), 2 * S), none());
    expect_that!(limit.is_refresh_due(2 * S), eq(true), "it is asked again at once");
    expect_that!(limit.record_answer(Advertised(2_500), Some(3 * S), 3 * S), none());
    expect_that!(limit.record_answer(Absent, Some(4 * S), 4 * S), none());
    expect_that!(limit.record_answer(Absent, Some(5 * S), 5 * S), some(eq(Lifted)));
    expect_that!(limit.holds(5 * S), eq(false));
}

#[gtest]
fn answers_to_probes_and_to_requests_sent_before_the_limit_do_not_end_it() {
    let mut limit = limited(2_500, place(0, 18));
    for _ in 0..5 {
        expect_that!(limit.record_answer(Absent, None, 2 * S), none());
        expect_that!(limit.record_answer(Absent, Some(S - 1), 2 * S), none());
    }
    expect_that!(limit.per_1000_s(), some(eq(2_500)));
    expect_that!(
        limit.record_answer(Advertised(1_000), None, 2 * S),
        some(eq(Set(1_000))),
        "a probe's names one"
    );
}

#[gtest]
fn of_reports_of_several_processes_the_latest_holds_in_any_order() {
    let named = LimitReport { per_1000_s: Some(3_000), reported_at_us: 2 * S };
    let lifted = LimitReport { per_1000_s: None, reported_at_us: 3 * S };
    let mut one = RequestLimit::default();
    expect_that!(one.receive(named, 4 * S), some(eq(Set(3_000))));
    expect_that!(one.receive(lifted, 4 * S), some(eq(Lifted)));
    expect_that!(one.receive(named, 4 * S), none());
    let mut other = RequestLimit::default();
    expect_that!(other.receive(lifted, 4 * S), none());
    expect_that!(other.receive(named, 4 * S), none());
    expect_that!(other.per_1000_s(), none());
    // What a wrong clock says of the future counts as said now.
    let future = LimitReport { per_1000_s: Some(1_000), reported_at_us: u64::MAX };
    expect_that!(other.receive(future, 5 * S), some(eq(Set(1_000))));
    expect_that!(
        other.receive(LimitReport { per_1000_s: None, reported_at_us: 6 * S }, 6 * S),
        some(eq(Lifted))
    );
}

#[gtest]
fn what_is_new_is_announced_at_once_and_what_goes_on_once_a_second() {
    let mut limit = limited(2_500, place(0, 18));
    let told = limit.take_announcement(1, S);
    expect_that!(told, some(eq(LimitReport { per_1000_s: Some(2_500), reported_at_us: S })));
    let mut words = 0;
    for now_us in (S..11 * S).step_by(100_000) {
        limit.record_answer(Advertised(2_500), Some(now_us), now_us);
        words += usize::from(limit.take_announcement(1, now_us).is_some());
    }
    expect_that!(words, all!(ge(8), le(10)));
    limit.record_answer(Advertised(1_500), Some(12 * S), 12 * S);
    expect_that!(limit.take_announcement(1, 12 * S), some(anything()));
    limit.record_answer(Advertised(1_500), Some(14 * S), 14 * S);
    expect_that!(limit.take_announcement(1_000, 14 * S), none(), "the more there are, the less often");
}

#[gtest]
fn a_silent_upstream_is_asked_by_more_and_more_processes_and_forgotten_in_the_end() {
    let mut limit = limited(1_000, place(3, 18));
    expect_that!(limit.doublings(3 * S), eq(0));
    expect_that!(limit.doublings(7 * S), eq(2));
    limit.set_place(place(3, 18), 0.0, 7 * S);
    expect_that!(limit.part_per_s(), some(near(0.25, 1e-9)));
    expect_that!(limit.is_refresh_due(7 * S), eq(true));
    limit.record_answer(Advertised(1_000), Some(8 * S), 8 * S);
    limit.set_place(place(3, 18), 0.0, 8 * S);
    expect_that!(limit.holds(9 * S), eq(true));
    expect_that!(limit.expire(67 * S), none());
    expect_that!(limit.expire(68 * S), some(eq(Lifted)));
}

#[gtest]
fn less_urgent_requests_leave_the_next_to_more_urgent_ones_for_a_while() {
    let mut limit = limited(1_000, place(0, 18));
    limit.send_began(S);
    expect_that!(limit.is_reserved(0, 2 * S), eq(false));
    expect_that!(limit.is_reserved(1, 2 * S), eq(true));
    expect_that!(limit.is_reserved(1, 2 * S + 250 * MS), eq(false));
    expect_that!(limit.is_reserved(9, 2 * S + 500 * MS), eq(false));
    expect_that!(limit.back_in_us(1, 2 * S), some(eq(250 * MS)));
    expect_that!(limit.back_in_us(0, 2 * S), none());
}

#[gtest]
fn the_end_of_a_limit_is_announced_again_since_datagrams_are_lost() {
    let mut limit = limited(2_500, place(0, 18));
    (0..2).for_each(|_| _ = limit.record_answer(Absent, Some(2 * S), 2 * S));
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
fn what_is_known_of_a_limit_takes_less_than_a_hundred_bytes() {
    expect_that!(size_of::<RequestLimit>(), le(100));
}
