//! Tests of the platform reader: what nodes know, and when, for many failures of the platform.

mod common;
mod fleet;

use {
    common::{configuration_change, page, upstream_change},
    fleet::{HEALTHY, MS, OutageScope, PARTITIONED, STEP_MS, SimNetwork, SimPlatform, simulate},
    googletest::prelude::*,
    pointvane_core::{Change, ChangePage},
    pointvane_dispatch::{CallFailure, PlatformReader, ReaderCall, ReaderOptions},
};

/// A reader that queries no peers at its start.
fn reader() -> PlatformReader {
    PlatformReader::new(ReaderOptions { start_queries: 0, ..ReaderOptions::default() }, 1)
}

#[gtest]
fn all_nodes_recover_from_a_platform_outage_within_three_seconds() {
    for seed in 0..200 {
        let start_ms = 2_000 + seed * 37;
        let end_ms = start_ms + 3_000 + seed * 11;
        let (outage_ms, changes_ms) = (start_ms..end_ms, vec![1_700, end_ms - 500]);
        let platform = SimPlatform {
            outage_ms,
            outage_scope: OutageScope::All,
            changes_ms,
            publishes_configurations: seed % 2 == 0,
            ..SimPlatform::default()
        };
        let result = simulate(&platform, HEALTHY, seed, 18, end_ms + 8_000);
        expect_that!(result.all_converged_ms, lt(end_ms + 3_000), "seed {seed}");
    }
}

/// Time after the end of a platform outage by which nodes without other faults are required to be connected
/// again, in milliseconds (`contact-ms`). Includes the platform's own recovery.
const RECONNECT_MAX_MS: u64 = 3_000;

#[gtest]
fn expired_entries_are_removed_before_nodes_must_be_connected_again() {
    for seed in 0..200 {
        let end_ms = 8_000 + seed * 37;
        let outage_scope = if seed % 2 == 0 { OutageScope::All } else { OutageScope::AllRefused };
        let (outage_ms, changes_ms) = (4_000..end_ms, vec![1_700, end_ms - 500]);
        let platform = SimPlatform {
            outage_ms,
            outage_scope,
            changes_ms,
            publishes_configurations: true,
            ..SimPlatform::default()
        };
        let result = simulate(&platform, HEALTHY, seed, 18, end_ms + 8_000);
        expect_that!(
            result.grace_end_ms,
            all!(gt(end_ms + 1_900), le(end_ms + RECONNECT_MAX_MS)),
            "seed {seed}"
        );
    }
}

#[gtest]
fn an_isolated_node_detects_a_hung_watch() {
    for seed in 0..200 {
        let end_ms = 7_000 + seed * 13;
        let (outage_ms, changes_ms) = (4_000..end_ms, vec![1_700, end_ms - 500]);
        let platform = SimPlatform {
            outage_ms,
            outage_scope: OutageScope::All,
            changes_ms,
            publishes_configurations: false,
            ..SimPlatform::default()
        };
        let result = simulate(&platform, PARTITIONED, seed, 1, end_ms + 8_000);
        expect_that!(result.all_converged_ms, lt(end_ms + 3_000), "seed {seed}");
    }
}

#[gtest]
fn a_change_reaches_all_nodes_in_time_when_all_watchers_have_just_lost_the_platform() {
    for seed in 0..200 {
        let outage_start_ms = 5_000 + seed * 17;
        let (outage_ms, changes_ms) =
            (outage_start_ms..outage_start_ms + 10_000, vec![outage_start_ms + STEP_MS]);
        let platform = SimPlatform {
            outage_ms,
            outage_scope: OutageScope::Watchers,
            changes_ms,
            publishes_configurations: seed % 2 == 0,
            ..SimPlatform::default()
        };
        let result = simulate(&platform, HEALTHY, seed, 18, outage_start_ms + 9_000);
        expect_that!(result.all_converged_ms, lt(outage_start_ms + 1_900), "seed {seed}");
    }
}

#[gtest]
fn a_change_reaches_all_nodes_in_time_when_half_of_the_relays_are_lost() {
    for seed in 0..200 {
        let change_ms = 5_000 + seed * 17;
        let platform = SimPlatform {
            changes_ms: vec![change_ms],
            publishes_configurations: seed % 2 == 0,
            ..SimPlatform::default()
        };
        let network = SimNetwork { loss: 0.5, partitioned: false };
        let result = simulate(&platform, network, seed, 18, change_ms + 5_000);
        expect_that!(result.all_converged_ms, lt(change_ms + 1_800), "seed {seed}");
    }
}

#[gtest]
fn platform_calls_do_not_scale_with_changes_times_nodes() {
    let changes_ms: Vec<u64> = (0..40).map(|number| 3_000 + number * 1_000).collect();
    let platform = SimPlatform { changes_ms, ..SimPlatform::default() };
    let network = SimNetwork { loss: 0.01, partitioned: false };
    let small = simulate(&platform, network, 1, 18, 45_000).calls();
    let large = simulate(&platform, network, 1, 180, 45_000).calls();
    expect_that!(small, le(250));
    // Each node reads one snapshot; beyond that there are almost no calls.
    expect_that!(large - small, le(162 + 120));
}

#[gtest]
fn a_new_configuration_is_read_by_few_nodes_and_reaches_all_in_time() {
    for seed in 0..20 {
        let changes_ms: Vec<u64> = (0..10).map(|number| 5_000 + number * 2_000).collect();
        let platform = SimPlatform { changes_ms, publishes_configurations: true, ..SimPlatform::default() };
        let result = simulate(&platform, HEALTHY, seed, 142, 28_000);
        // Each node reads one snapshot; the watchers make about two calls per second.
        expect_that!(result.calls(), le(142 + 28 * 3 + 40), "seed {seed}");
        expect_that!(result.all_converged_ms, lt(23_000 + 1_500), "seed {seed}");
    }
}

/// Guards against aborting a watcher's call for each newer relay: when a response took longer than the
/// interval between relays, the watcher restarted it every time, and each response was longer than the last.
#[gtest]
fn rapid_large_changes_are_followed_when_a_response_outlasts_the_relay_interval() {
    for seed in 0..20 {
        let changes_ms: Vec<u64> = (0..200).map(|number| 4_000 + number * 100).collect();
        let platform = SimPlatform {
            changes_ms,
            publishes_configurations: true,
            transfer_ms: 85,
            ..SimPlatform::default()
        };
        let result = simulate(&platform, HEALTHY, seed, 60, 26_000);
        expect_that!(result.lag_max_ms, lt(2_500), "seed {seed}");
    }
}

/// Guards against responses that contain every version published during the previous transfer.
#[gtest]
fn a_burst_of_large_configurations_is_followed_when_several_are_published_during_a_transfer() {
    for seed in 0..20 {
        let changes_ms: Vec<u64> = (0..40).map(|number| 4_000 + number * 100).collect();
        // A configuration of 550 KB at 10 Mbit/s.
        let platform = SimPlatform {
            changes_ms,
            publishes_configurations: true,
            transfer_ms: 440,
            ..SimPlatform::default()
        };
        let result = simulate(&platform, HEALTHY, seed, 60, 14_000);
        expect_that!(result.lag_max_ms, lt(2_000), "seed {seed}");
    }
}

#[gtest]
fn a_platform_that_refuses_all_nodes_is_called_at_a_bounded_rate() {
    for seed in 0..20 {
        let platform = SimPlatform {
            outage_ms: 5_000..14_000,
            outage_scope: OutageScope::AllRefused,
            changes_ms: vec![13_000],
            publishes_configurations: seed % 2 == 0,
            ..SimPlatform::default()
        };
        let result = simulate(&platform, HEALTHY, seed, 142, 20_000);
        expect_that!(result.calls(), le(142 + 142 * 9 + 200), "seed {seed}");
        expect_that!(result.all_converged_ms, lt(14_000 + 3_000), "seed {seed}");
    }
}

#[gtest]
fn standbys_replace_watchers_that_lost_the_platform() {
    for seed in 0..20 {
        let (outage_ms, changes_ms) = (5_000..14_000, vec![8_000, 9_000, 11_000]);
        let platform = SimPlatform {
            outage_ms,
            outage_scope: OutageScope::Watchers,
            changes_ms,
            publishes_configurations: false,
            ..SimPlatform::default()
        };
        let result = simulate(&platform, HEALTHY, seed, 142, 16_000);
        expect_that!(result.calls(), le(142 + 200), "seed {seed}");
    }
}

#[gtest]
fn a_change_reaches_all_nodes_in_time_when_all_readers_have_just_lost_the_platform() {
    for seed in 0..100 {
        let outage_start_ms = 5_000 + seed * 17;
        let (outage_ms, changes_ms) =
            (outage_start_ms..outage_start_ms + 10_000, vec![outage_start_ms + STEP_MS]);
        let platform = SimPlatform {
            outage_ms,
            outage_scope: OutageScope::Readers,
            changes_ms,
            publishes_configurations: seed % 2 == 0,
            ..SimPlatform::default()
        };
        let result = simulate(&platform, HEALTHY, seed, 30, outage_start_ms + 9_000);
        expect_that!(result.all_converged_ms, lt(outage_start_ms + 1_950), "seed {seed}");
    }
}

#[gtest]
fn a_snapshot_removes_entries_that_are_no_longer_listed() {
    let mut reader = reader();
    let known = [upstream_change("one", 1), upstream_change("two", 1)];
    let changes = reader.receive_page(page(5, vec![upstream_change("two", 1)]), known.into_iter(), MS);
    expect_that!(changes, contains(eq(&Change::UpstreamGone("one".into()))));
    expect_that!(changes, not(contains(eq(&Change::UpstreamGone("two".into())))));
}

#[gtest]
fn the_watch_after_a_paged_snapshot_continues_from_the_first_pages_revision() {
    let mut reader = reader();
    let first = ChangePage { next_page: Some("m".into()), ..page(5, vec![upstream_change("a", 1)]) };
    reader.receive_page(first, [].into_iter(), MS);
    expect_that!(reader.next(MS), matches_pattern!(ReaderCall::Snapshot { next_page: some(eq("m")), .. }));
    let known = [upstream_change("a", 1)];
    let changes = reader.receive_page(page(9, vec![upstream_change("n", 1)]), known.into_iter(), MS);
    expect_that!(changes.len(), eq(1), "an upstream of the first page is not removed");
    expect_that!(reader.next(1_000 * MS), matches_pattern!(ReaderCall::Watch { after: eq(&5), .. }));
}

#[gtest]
fn a_dropped_history_causes_an_immediate_snapshot() {
    let mut reader = reader();
    reader.receive_page(page(5, Vec::new()), [].into_iter(), MS);
    reader.call_failed(CallFailure::HistoryGone, 2 * MS);
    expect_that!(reader.next(2 * MS), matches_pattern!(ReaderCall::Snapshot { next_page: none(), .. }));
}

#[gtest]
fn a_revision_that_went_back_causes_a_snapshot() {
    let mut reader = reader();
    reader.receive_page(page(50, Vec::new()), [].into_iter(), MS);
    // Compared with the revision that the call was made with.
    expect_that!(reader.next(1_000 * MS), matches_pattern!(ReaderCall::Watch { after: eq(&50), .. }));
    let older = vec![configuration_change(3)];
    expect_that!(reader.receive_watch_response(page(20, older), 1_001 * MS), is_empty());
    expect_that!(reader.next(1_001 * MS), matches_pattern!(ReaderCall::Snapshot { .. }));
}
