//! Coordinators of the same accounts: heartbeats between them, and the quota that each grants when the other
//! is unreachable.

use {
    googletest::prelude::*,
    pointvane_core::{Name, Quota},
    pointvane_dispatch::{AccountUsage, FleetView, Quotas},
    std::net::SocketAddr,
};

/// One millisecond, in microseconds.
const MS: u64 = 1_000;
/// One second, in microseconds.
const S: u64 = 1_000_000;
const WINDOW_US: u64 = 5 * S;
const NOW_US: u64 = 100 * S;
/// Allows 15 requests per window.
const QUOTA: Quota = Quota { requests_per_1000_s: 2_000, burst: 5 };
const FLEET_VIEW: FleetView = FleetView { connected: true, nodes: Some(10), reachable_share: 1.0 };

fn account(number: u8) -> Name {
    format!("account-{number}").as_str().into()
}

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7_663))
}

/// Returns a node that coordinates some accounts, with nine requests admitted of each.
fn coordinator(accounts: u8) -> Quotas {
    let mut quotas = Quotas::new(WINDOW_US, 0);
    (0..accounts).for_each(|number| _ = share_answered_to_report(&mut quotas, number, NOW_US));
    quotas
}

/// Returns the share answered to a report of nine admitted requests and ten offered per second.
fn share_answered_to_report(quotas: &mut Quotas, number: u8, now_us: u64) -> u16 {
    let usage = AccountUsage {
        account: account(number),
        admitted: [9, 0, 0, 0, 0],
        mean_age_per_mille: [500; 5],
        offered_per_1000_s: 10_000,
        fleet_usage: None,
    };
    quotas.coordinate((address(1), 1), &usage, QUOTA, FLEET_VIEW, now_us).unwrap().share_per_mille
}

/// Guards against overshoot after a partition that leaves one coordinator in each part: each granted the
/// whole quota for the 1.4 s until the membership detected the partition.
#[gtest]
fn a_coordinator_whose_peer_is_unreachable_grants_a_part_of_the_quota() {
    let mut quotas = coordinator(1);
    quotas.set_peer(&account(0), Some(address(2)), NOW_US);
    expect_that!(share_answered_to_report(&mut quotas, 0, NOW_US + 300 * MS), eq(1_000));
    expect_that!(
        share_answered_to_report(&mut quotas, 0, NOW_US + 400 * MS),
        eq(0),
        "9 requests admitted, 8.25 granted"
    );
    expect_that!(quotas.record_message(address(2), NOW_US + 400 * MS), eq(true));
    expect_that!(share_answered_to_report(&mut quotas, 0, NOW_US + 400 * MS), eq(1_000));
}

/// Guards against coordinators that start during a partition, one in each part: each granted the whole quota
/// until heartbeats were missed.
#[gtest]
fn a_coordinator_that_has_just_started_grants_a_part_of_the_quota_until_it_has_heard_its_peer() {
    let mut quotas = Quotas::new(WINDOW_US, NOW_US);
    let later_us = NOW_US + 4_500 * MS;
    _ = share_answered_to_report(&mut quotas, 0, later_us);
    quotas.set_peer(&account(0), Some(address(2)), later_us);
    let alone = share_answered_to_report(&mut quotas, 0, later_us);
    expect_that!(quotas.record_message(address(2), later_us), eq(true));
    expect_that!(share_answered_to_report(&mut quotas, 0, later_us), gt(alone));
}

/// Guards against substitutes that grant shares beside coordinators: these know usage that a substitute does
/// not, so that it granted a second quota, or throttled the fleet after the loss of a few datagrams.
#[gtest]
fn a_substitute_grants_a_part_of_the_quota_once_its_coordinator_has_not_answered() {
    let mut quotas = Quotas::new(WINDOW_US, 0);
    let report = |admitted| AccountUsage {
        account: account(0),
        admitted: [admitted, 0, 0, 0, 0],
        mean_age_per_mille: [500; 5],
        offered_per_1000_s: 10_000,
        fleet_usage: None,
    };
    let later_us = NOW_US + 200 * MS;
    quotas.receive_report((address(1), 1), &report(9), QUOTA, NOW_US);
    quotas.set_primary(&account(0), address(2), NOW_US);
    expect_that!(quotas.share(&account(0), FLEET_VIEW, NOW_US), none());
    expect_that!(quotas.take_due_heartbeats(NOW_US), elements_are![eq(&address(2))]);
    let share = quotas.share(&account(0), FLEET_VIEW, later_us).unwrap();
    expect_that!(share.share_per_mille, eq(0), "9 requests admitted, 8.25 granted");
    expect_that!(quotas.record_message(address(2), later_us), eq(true));
    expect_that!(quotas.share(&account(0), FLEET_VIEW, later_us), none());
    expect_that!(quotas.take_broadcast(FLEET_VIEW, later_us), is_empty());
}

#[gtest]
fn a_coordinator_without_a_known_peer_grants_the_whole_quota() {
    let mut quotas = coordinator(1);
    expect_that!(quotas.accounts_without_peer(), elements_are![eq(&account(0))]);
    expect_that!(share_answered_to_report(&mut quotas, 0, NOW_US + 2 * S), eq(1_000));
    quotas.set_peer(&account(0), None, NOW_US + 2 * S);
    expect_that!(quotas.accounts_without_peer(), is_empty());
    expect_that!(share_answered_to_report(&mut quotas, 0, NOW_US + 4 * S), eq(1_000));
    expect_that!(quotas.take_due_heartbeats(NOW_US + 4 * S), is_empty());
    quotas.reset_peers();
    expect_that!(quotas.accounts_without_peer().len(), eq(1));
}

#[gtest]
fn heartbeats_are_sent_once_per_peer_and_at_most_100_times_per_second() {
    let mut quotas = coordinator(40);
    (0..40).for_each(|number| quotas.set_peer(&account(number), Some(address(number / 2)), NOW_US));
    let sent: usize = (0..1_000).map(|step| quotas.take_due_heartbeats(NOW_US + step * 10 * MS).len()).sum();
    expect_that!(sent, all!(ge(1_000), le(1_020)), "20 peers in 10 s, the first heartbeats at once");
    expect_that!(quotas.record_message(address(200), NOW_US), eq(false), "not a peer of any account");
}

/// Without a tolerance, polls slightly before the due time skipped every other heartbeat, and the loss of one
/// more made a coordinator count as unreachable.
#[gtest]
fn a_poll_slightly_before_the_due_time_still_sends_the_heartbeat() {
    let mut quotas = coordinator(1);
    quotas.set_peer(&account(0), Some(address(2)), NOW_US);
    let at_us = |step: u64| NOW_US + step * 100 * MS - step % 2 * 5 * MS;
    let sent: usize = (0..50).map(|step| quotas.take_due_heartbeats(at_us(step)).len()).sum();
    expect_that!(sent, eq(50));
}

#[gtest]
fn heartbeats_stop_when_no_account_is_left() {
    let mut quotas = coordinator(1);
    quotas.set_peer(&account(0), Some(address(2)), NOW_US);
    expect_that!(quotas.take_due_heartbeats(NOW_US), elements_are![eq(&address(2))]);
    expect_that!(quotas.take_due_heartbeats(NOW_US + 50 * MS), is_empty());
    _ = quotas.take_broadcast(FLEET_VIEW, NOW_US + 6 * S);
    expect_that!(quotas.take_due_heartbeats(NOW_US + 6 * S), is_empty());
    expect_that!(quotas.is_idle(), eq(true));
}
