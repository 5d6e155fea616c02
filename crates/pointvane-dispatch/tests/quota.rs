//! Quota decisions of one node, and the shares that a coordinator computes from usage reports.

use {
    googletest::prelude::*,
    pointvane_core::{Name, Quota},
    pointvane_dispatch::{AccountShare, AccountUsage, FleetUsage, FleetView, QuotaDecision, Quotas},
    std::net::SocketAddr,
};

/// One second, in microseconds.
const S: u64 = 1_000_000;
/// Start time of nodes that have run for many windows at `NOW_US`.
const STARTED_US: u64 = 0;
/// One millisecond, in microseconds.
const MS: u64 = 1_000;
const WINDOW_US: u64 = 5 * S;
/// A time many windows after `STARTED_US`.
const NOW_US: u64 = 100 * S;
/// Allows 15 requests per window.
const QUOTA: Quota = Quota { requests_per_1000_s: 2_000, burst: 5 };
const CONNECTED: FleetView = FleetView { connected: true, nodes: Some(10), reachable_share: 1.0 };
const ISOLATED: FleetView = FleetView { connected: false, nodes: Some(10), reachable_share: 0.1 };

/// Mean positions of requests that are spread evenly over each fifth of the window.
const EVEN: [u16; 5] = [500; 5];

fn account() -> Name {
    "a".into()
}

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7_660))
}

fn admit(quotas: &mut Quotas, fleet_view: FleetView, now_us: u64, draw: f32) -> bool {
    quotas.admit(&account(), QUOTA, fleet_view, now_us, draw) == QuotaDecision::Admitted
}

fn share(share_per_mille: u16) -> Vec<AccountShare> {
    vec![AccountShare { account: account(), share_per_mille, used_per_mille: 900, retry_after_ms: 700 }]
}

/// Returns the share that a coordinator answers to the last of some usage reports, given as the node, the
/// number of requests it admitted and the requests per second offered to it.
fn share_answered_to(usages: &[(u8, u32, u32)], reachable_share: f64, now_us: u64) -> AccountShare {
    let mut quotas = Quotas::new(WINDOW_US, STARTED_US);
    let fleet_view = FleetView { reachable_share, ..CONNECTED };
    let answers = usages.iter().map(|(node, admitted, offered_per_s)| {
        let usage = AccountUsage {
            account: account(),
            admitted: [*admitted, 0, 0, 0, 0],
            mean_age_per_mille: EVEN,
            offered_per_1000_s: offered_per_s * 1_000,
            fleet_usage: None,
        };
        quotas.coordinate((address(*node), 1), &usage, QUOTA, fleet_view, now_us).unwrap()
    });
    answers.last().unwrap()
}

#[gtest]
fn a_node_without_a_share_admits_every_request() {
    let mut quotas = Quotas::new(WINDOW_US, STARTED_US);
    (0..50).for_each(|_| expect_that!(admit(&mut quotas, CONNECTED, S, 0.99), eq(true)));
}

#[gtest]
fn the_smallest_share_applies_until_it_expires() {
    let mut quotas = Quotas::new(WINDOW_US, STARTED_US);
    quotas.receive_shares(address(1), &share(300), S);
    quotas.receive_shares(address(2), &share(600), S);
    expect_that!(admit(&mut quotas, CONNECTED, S, 0.29), eq(true));
    let refused = quotas.admit(&account(), QUOTA, CONNECTED, S, 0.31);
    expect_that!(refused, eq(QuotaDecision::Refused { retry_after_ms: 700 }));
    quotas.receive_shares(address(1), &share(1_000), S + 100 * MS);
    expect_that!(admit(&mut quotas, CONNECTED, S + 100 * MS, 0.59), eq(true));
    expect_that!(admit(&mut quotas, CONNECTED, S + 100 * MS, 0.61), eq(false));
    expect_that!(admit(&mut quotas, CONNECTED, S + 1_601 * MS, 0.99), eq(true));
}

#[gtest]
fn an_isolated_node_admits_its_equal_part_per_window() {
    let mut quotas = Quotas::new(WINDOW_US, STARTED_US);
    let admitted =
        |quotas: &mut Quotas, now_us| (0..10).filter(|_| admit(quotas, ISOLATED, now_us, 0.0)).count();
    expect_that!(admitted(&mut quotas, NOW_US), eq(2), "15 requests divided by 10 nodes, rounded up");
    expect_that!(admitted(&mut quotas, NOW_US + 4 * S), eq(0));
    expect_that!(admitted(&mut quotas, NOW_US + 6 * S), eq(2));
    let unknown = FleetView { connected: false, nodes: None, reachable_share: 1.0 };
    let mut quotas = Quotas::new(WINDOW_US, STARTED_US);
    let admitted = (0..10).filter(|_| admit(&mut quotas, unknown, S, 0.0)).count();
    expect_that!(admitted, eq(1), "the number of nodes is unknown");
}

#[gtest]
fn coordinators_that_do_not_answer_reports_count_as_unreachable() {
    let mut quotas = Quotas::new(WINDOW_US, STARTED_US);
    (0..5).for_each(|_| expect_that!(admit(&mut quotas, CONNECTED, S, 0.0), eq(true)));
    expect_that!(quotas.take_reports(S).len(), eq(1));
    expect_that!(admit(&mut quotas, CONNECTED, S + 200 * MS, 0.0), eq(true));
    expect_that!(admit(&mut quotas, CONNECTED, S + 300 * MS, 0.0), eq(false));
    quotas.receive_shares(address(1), &share(1_000), S + 900 * MS);
    expect_that!(admit(&mut quotas, CONNECTED, S + 900 * MS, 0.0), eq(true));
}

/// Without this, a share stays in force while its coordinators are unreachable: after a partition, both parts
/// of the fleet admitted by it for 1.5 s.
#[gtest]
fn a_share_is_ignored_once_its_coordinators_stop_answering() {
    let mut quotas = Quotas::new(WINDOW_US, STARTED_US);
    quotas.receive_shares(address(1), &share(1_000), S);
    let admitted =
        |quotas: &mut Quotas, now_us| (0..20).filter(|_| admit(quotas, CONNECTED, now_us, 0.0)).count();
    expect_that!(admitted(&mut quotas, S), eq(20));
    expect_that!(quotas.take_reports(S + 100 * MS).len(), eq(1));
    expect_that!(admitted(&mut quotas, S + 400 * MS), eq(0), "its equal part is used up");
}

/// Guards against rounding up parts of less than one request: each isolated node admitted one, so that 293
/// nodes admitted far more than their part of the quota.
#[gtest]
fn isolated_nodes_together_admit_the_sum_of_their_parts() {
    let isolated = FleetView { connected: false, nodes: Some(60), reachable_share: 0.5 };
    let draws = (0..60).map(|node| node as f32 / 60.0);
    let admitted: usize = draws
        .map(|draw| {
            let mut quotas = Quotas::new(WINDOW_US, STARTED_US);
            (0..10).filter(|_| admit(&mut quotas, isolated, NOW_US, draw)).count()
        })
        .sum();
    expect_that!(admitted, eq(15), "15 requests per window over all nodes");
}

/// Guards against overshoot when a fleet restarts at peak demand: each node admitted a request before it had
/// received a message of any other.
#[gtest]
fn a_node_that_has_just_started_admits_nothing_until_the_discovery_timeout() {
    let unknown = FleetView { connected: false, nodes: None, reachable_share: 1.0 };
    let mut quotas = Quotas::new(WINDOW_US, NOW_US);
    expect_that!(admit(&mut quotas, unknown, NOW_US + 300 * MS, 0.0), eq(false));
    expect_that!(
        admit(&mut quotas, unknown, NOW_US + 600 * MS, 0.0),
        eq(true),
        "the node may be the only one"
    );
}

/// Guards against nodes that restart behind a partition: each admitted its whole part again at once.
#[gtest]
fn a_node_that_has_just_started_admits_its_equal_part_over_a_window() {
    let isolated = FleetView { connected: false, nodes: Some(1), reachable_share: 1.0 };
    let mut quotas = Quotas::new(WINDOW_US, NOW_US);
    let mut admitted = |now_us| (0..20).filter(|_| admit(&mut quotas, isolated, now_us, 0.0)).count();
    expect_that!(admitted(NOW_US + S), eq(3), "a fifth of 15 requests");
    expect_that!(admitted(NOW_US + 2 * S), eq(3));
    expect_that!(admitted(NOW_US + 5 * S), eq(9));
}

/// Guards against isolated nodes that refuse every request once they coordinate the account themselves.
#[gtest]
fn the_part_of_an_isolated_node_accrues_although_it_answers_its_own_reports() {
    let isolated = FleetView { connected: false, nodes: Some(1), reachable_share: 1.0 };
    let mut quotas = Quotas::new(WINDOW_US, STARTED_US);
    _ = admit(&mut quotas, CONNECTED, NOW_US, 0.0);
    _ = quotas.take_reports(NOW_US);
    let mut admitted = 0;
    for half_second in 1..=10 {
        let now_us = NOW_US + half_second * 500 * MS;
        admitted += usize::from(admit(&mut quotas, isolated, now_us, 0.0));
        quotas.receive_shares(address(1), &share(1_000), now_us);
    }
    expect_that!(admitted, ge(9), "ten requests in a window that allows 15");
}

/// Guards against partitions that cut off both coordinators: each node admitted every request until a report
/// of its own was unanswered.
#[gtest]
fn an_unanswered_report_goes_to_substitutes_before_the_coordinators_count_as_unreachable() {
    let mut quotas = Quotas::new(WINDOW_US, STARTED_US);
    _ = admit(&mut quotas, CONNECTED, S, 0.0);
    expect_that!(quotas.take_reports(S).len(), eq(1));
    expect_that!(quotas.needs_substitutes(&account(), S + 50 * MS), eq(false));
    expect_that!(quotas.needs_substitutes(&account(), S + 100 * MS), eq(true));
    expect_that!(quotas.take_reports(S + 100 * MS).len(), eq(1));
    quotas.receive_shares(address(1), &share(500), S + 110 * MS);
    expect_that!(quotas.needs_substitutes(&account(), S + 500 * MS), eq(false));
}

#[gtest]
fn a_request_that_was_not_sent_is_refunded() {
    let mut quotas = Quotas::new(WINDOW_US, STARTED_US);
    for _ in 0..10 {
        expect_that!(admit(&mut quotas, ISOLATED, S, 0.0), eq(true));
        quotas.refund(&account(), S);
    }
    quotas.refund(&account(), S);
    let report = &quotas.take_reports(S)[0];
    expect_that!(report.admitted, eq([0; 5]));
    expect_that!(report.offered_per_1000_s, gt(0));
}

#[gtest]
fn reports_cover_the_whole_window_and_stop_with_the_requests() {
    let mut quotas = Quotas::new(WINDOW_US, STARTED_US);
    (0..4).for_each(|_| _ = admit(&mut quotas, CONNECTED, S, 0.0));
    (0..3).for_each(|_| _ = admit(&mut quotas, CONNECTED, 4 * S, 0.0));
    let reports = quotas.take_reports(4 * S);
    expect_that!(reports[0].admitted, eq([3, 0, 4, 0, 0]));
    expect_that!(quotas.take_reports(4 * S + 300 * MS).len(), eq(1), "an unanswered report is repeated");
    quotas.receive_shares(address(1), &share(1_000), 4 * S + 300 * MS);
    expect_that!(quotas.take_reports(5 * S).len(), eq(0), "nothing to report");
    expect_that!(quotas.is_idle(), eq(false));
    _ = quotas.take_reports(20 * S);
    expect_that!(quotas.is_idle(), eq(true));
}

#[gtest]
fn the_share_is_full_below_the_quota_and_shrinks_near_it() {
    expect_that!(share_answered_to(&[(1, 2, 1), (2, 3, 1)], 1.0, NOW_US).share_per_mille, eq(1_000));
    let near = share_answered_to(&[(1, 7, 10), (2, 7, 10)], 1.0, NOW_US);
    expect_that!(near.share_per_mille, all!(gt(100), lt(300)));
    let beyond = share_answered_to(&[(1, 40, 10), (2, 40, 10)], 1.0, NOW_US);
    expect_that!(beyond.share_per_mille, eq(0));
    expect_that!(beyond.retry_after_ms, eq(5_000), "one whole window");
}

#[gtest]
fn the_share_shrinks_with_the_reachable_part_of_the_fleet() {
    let whole = share_answered_to(&[(1, 7, 10)], 1.0, NOW_US).share_per_mille;
    let half = share_answered_to(&[(1, 7, 10)], 0.5, NOW_US).share_per_mille;
    expect_that!(whole, gt(half));
}

/// Guards against a whole quota granted as soon as a partition ends, though nodes of the other part may have
/// restarted and forgotten their usage.
#[gtest]
fn the_share_grows_over_a_window_when_nodes_become_reachable() {
    let mut quotas = Quotas::new(WINDOW_US, STARTED_US);
    let usage = AccountUsage {
        account: account(),
        admitted: [8, 0, 0, 0, 0],
        mean_age_per_mille: EVEN,
        offered_per_1000_s: 10_000,
        fleet_usage: None,
    };
    let mut share = |reachable_share, now_us| {
        let fleet_view = FleetView { reachable_share, ..CONNECTED };
        quotas.coordinate((address(1), 1), &usage, QUOTA, fleet_view, now_us).unwrap().share_per_mille
    };
    expect_that!(share(0.5, NOW_US), eq(0), "8 requests admitted of 7.5 granted");
    expect_that!(share(1.0, NOW_US + 100 * MS), le(150), "8.6 granted");
    expect_that!(share(1.0, NOW_US + 5 * S), eq(1_000));
}

/// Guards against a burst that uses up the quota at once, which a restart or a partition may then hide.
#[gtest]
fn the_burst_is_granted_at_once_and_the_rest_at_the_rate() {
    let quota = Quota { requests_per_1000_s: 200_000, burst: 200 };
    let share = |admitted| {
        let mut quotas = Quotas::new(WINDOW_US, STARTED_US);
        let usage = AccountUsage {
            account: account(),
            admitted: [admitted, 0, 0, 0, 0],
            mean_age_per_mille: [0; 5],
            offered_per_1000_s: 1_000_000,
            fleet_usage: None,
        };
        quotas.coordinate((address(1), 1), &usage, quota, CONNECTED, NOW_US).unwrap().share_per_mille
    };
    expect_that!(share(0), eq(1_000));
    expect_that!(
        share(300),
        all!(ge(200), le(300)),
        "110 of 400 requests offered until the forecast horizon"
    );
    expect_that!(share(500), eq(0), "the window alone would leave 700");
}

#[gtest]
fn a_duplicate_report_counts_once_and_an_earlier_incarnation_until_it_leaves_the_window() {
    let mut quotas = Quotas::new(WINDOW_US, STARTED_US);
    let usage = AccountUsage {
        account: account(),
        admitted: [6, 0, 0, 0, 0],
        mean_age_per_mille: EVEN,
        offered_per_1000_s: 1_000,
        fleet_usage: None,
    };
    let mut used = |incarnation, now_us| {
        quotas.coordinate((address(1), incarnation), &usage, QUOTA, CONNECTED, now_us).unwrap().used_per_mille
    };
    expect_that!(used(1, NOW_US), eq(400));
    expect_that!(used(1, NOW_US), eq(400));
    expect_that!(used(2, NOW_US), eq(800));
    expect_that!(used(2, NOW_US + WINDOW_US), eq(400));
}

#[gtest]
fn reported_requests_leave_the_window_by_their_age() {
    let used = |admitted, later_us| {
        let mut quotas = Quotas::new(WINDOW_US, STARTED_US);
        let usage = AccountUsage {
            account: account(),
            admitted,
            mean_age_per_mille: EVEN,
            offered_per_1000_s: 0,
            fleet_usage: None,
        };
        quotas.coordinate((address(1), 1), &usage, QUOTA, CONNECTED, 10 * S);
        let other = AccountUsage { admitted: [0; 5], ..usage };
        quotas
            .coordinate((address(2), 1), &other, QUOTA, CONNECTED, 10 * S + later_us)
            .unwrap()
            .used_per_mille
    };
    expect_that!(used([15, 0, 0, 0, 0], 4 * S), eq(1_000), "all admitted in the latest fifth");
    expect_that!(used([15, 0, 0, 0, 0], 4_500 * MS), eq(500));
    expect_that!(used([3; 5], 2_500 * MS), eq(500), "admitted at an even rate");
    expect_that!(used([0, 0, 0, 0, 15], 500 * MS), eq(500));
    expect_that!(used([3; 5], 5 * S), eq(0));
}

/// Guards against a burst that is taken for even within a fifth of the window: it left the window too early.
#[gtest]
fn a_burst_leaves_the_window_when_all_of_it_has() {
    let used = |mean_age_per_mille, later_us| {
        let mut quotas = Quotas::new(WINDOW_US, STARTED_US);
        let usage = AccountUsage {
            account: account(),
            admitted: [15, 0, 0, 0, 0],
            mean_age_per_mille: [mean_age_per_mille; 5],
            offered_per_1000_s: 0,
            fleet_usage: None,
        };
        quotas.coordinate((address(1), 1), &usage, QUOTA, CONNECTED, 10 * S);
        let other = AccountUsage { admitted: [0; 5], ..usage };
        let answer = quotas.coordinate((address(2), 1), &other, QUOTA, CONNECTED, 10 * S + later_us);
        answer.unwrap().used_per_mille
    };
    expect_that!(used(0, 4_900 * MS), eq(1_000), "right before the report");
    expect_that!(used(250, 4_500 * MS), eq(1_000), "in the later half of the second before the report");
    expect_that!(used(750, 4_500 * MS), eq(0), "in the earlier half of it");
    expect_that!(used(u16::MAX, 4_500 * MS), eq(0), "an invalid position counts as the oldest");
}

#[gtest]
fn a_report_tells_the_positions_of_requests_within_the_fifths_of_the_window() {
    let mut quotas = Quotas::new(WINDOW_US, STARTED_US);
    (0..4).for_each(|_| _ = admit(&mut quotas, CONNECTED, 4 * S, 0.0));
    expect_that!(quotas.take_reports(4 * S)[0].mean_age_per_mille[0], le(125), "just now");
    let report = &quotas.take_reports(4 * S + 800 * MS)[0];
    expect_that!(report.mean_age_per_mille[0], all!(ge(650), le(900)));
}

#[gtest]
fn a_coordinator_that_has_just_started_assumes_that_the_quota_is_used() {
    let share = |admitted_counts, fleet_usage, started_us| {
        let mut quotas = Quotas::new(WINDOW_US, started_us);
        let usage = AccountUsage {
            account: account(),
            admitted: admitted_counts,
            mean_age_per_mille: EVEN,
            offered_per_1000_s: 20_000,
            fleet_usage,
        };
        quotas.coordinate((address(1), 1), &usage, QUOTA, CONNECTED, 10 * S).unwrap().share_per_mille
    };
    let few = [1, 0, 0, 0, 0];
    expect_that!(share(few, None, STARTED_US), eq(1_000));
    // The quota of 15 requests in 5 s allows 3 of the 20 requests per second.
    expect_that!(share(few, None, 10 * S), all!(ge(100), le(160)));
    let fleet_usage = Some(FleetUsage { used_per_mille: 1_100, age_ms: 100 });
    expect_that!(share(few, fleet_usage, STARTED_US), le(100), "earlier coordinators reported more usage");
    let long_ago = Some(FleetUsage { used_per_mille: 1_100, age_ms: 6_000 });
    expect_that!(share(few, long_ago, STARTED_US), eq(1_000));
}

/// Guards against overshoot when a fleet restarts right after a burst: the coordinators granted the quota
/// again as if the burst had been spread evenly over the window.
#[gtest]
fn possible_usage_before_a_coordinator_started_counts_until_a_window_has_passed() {
    let used = |life_us| {
        let mut quotas = Quotas::new(WINDOW_US, NOW_US);
        let usage = AccountUsage {
            account: account(),
            admitted: [0; 5],
            mean_age_per_mille: EVEN,
            offered_per_1000_s: 0,
            fleet_usage: None,
        };
        quotas.coordinate((address(1), 1), &usage, QUOTA, CONNECTED, NOW_US + life_us).unwrap().used_per_mille
    };
    expect_that!(used(0), eq(1_000));
    expect_that!(used(4 * S), ge(400), "all of a burst right before the start is still in the window");
    expect_that!(used(5 * S), eq(0));
}

#[gtest]
fn a_reduced_share_is_broadcast_at_once_and_periodically_until_it_is_full_again() {
    let mut quotas = Quotas::new(WINDOW_US, STARTED_US);
    let usage = |admitted| AccountUsage {
        account: account(),
        admitted: [admitted, 0, 0, 0, 0],
        mean_age_per_mille: EVEN,
        offered_per_1000_s: 20_000,
        fleet_usage: None,
    };
    let report = |quotas: &mut Quotas, admitted, now_us| {
        quotas.coordinate((address(1), 1), &usage(admitted), QUOTA, CONNECTED, now_us);
    };
    report(&mut quotas, 1, S);
    quotas.take_broadcast(CONNECTED, S);
    report(&mut quotas, 15, 2 * S);
    expect_that!(quotas.take_broadcast(CONNECTED, 2 * S).len(), eq(1));
    expect_that!(quotas.take_broadcast(CONNECTED, 2 * S + 100 * MS).len(), eq(0));
    report(&mut quotas, 15, 2 * S + 750 * MS);
    expect_that!(quotas.take_broadcast(CONNECTED, 2 * S + 750 * MS).len(), eq(1));
    let full_again = quotas.take_broadcast(CONNECTED, 5 * S);
    expect_that!(full_again[0].share_per_mille, eq(1_000));
    expect_that!(quotas.take_broadcast(CONNECTED, 6 * S).len(), eq(0));
}

#[gtest]
fn a_decision_on_a_known_account_does_not_allocate() {
    let mut quotas = Quotas::new(WINDOW_US, STARTED_US);
    let account = account();
    quotas.receive_shares(address(1), &share(300), NOW_US);
    _ = quotas.admit(&account, QUOTA, CONNECTED, NOW_US, 0.1);
    let allocated = allocation_counter::measure(|| {
        (0..1_000).for_each(|_| _ = quotas.admit(&account, QUOTA, CONNECTED, NOW_US, 0.5));
    });
    expect_that!(allocated.count_total, eq(0));
}
