//! Reading of the platform: what a node knows, and when, whatever the platform does.

mod common;
mod fleet;

use {
    common::{configured, page, told},
    fleet::{CUT, MS, SOUND, STEP_MS, Silent, SimNetwork, SimPlatform, play},
    googletest::prelude::*,
    pointvane_core::{Change, ChangePage},
    pointvane_dispatch::{CallFailure, PlatformReader, ReaderCall, ReaderOptions},
};

/// A reader that asks no peers at its start.
fn reader() -> PlatformReader {
    PlatformReader::new(ReaderOptions { start_queries: 0, ..ReaderOptions::default() }, 1)
}

#[gtest]
fn a_silence_of_the_platform_is_over_for_all_within_the_time_to_get_in_touch_again() {
    for seed in 0..200 {
        let start_ms = 2_000 + seed * 37;
        let end_ms = start_ms + 3_000 + seed * 11;
        let (silent_ms, changes_ms) = (start_ms..end_ms, vec![1_700, end_ms - 500]);
        let platform = SimPlatform {
            silent_ms,
            silent_to: Silent::All,
            changes_ms,
            large: seed % 2 == 0,
            ..SimPlatform::default()
        };
        let played = play(&platform, SOUND, seed, 18, end_ms + 8_000);
        expect_that!(played.all_known_ms, lt(end_ms + 3_000), "seed {seed}");
    }
}

/// Time after the end of trouble in the store after which calm nodes are in touch again, in milliseconds (`contact-ms`). The
/// store's own recovery is part of it, not added to it.
const IN_TOUCH_MS: u64 = 3_000;

#[gtest]
fn expired_entries_are_dropped_before_nodes_are_in_touch_again() {
    for seed in 0..200 {
        let end_ms = 8_000 + seed * 37;
        let silent_to = if seed % 2 == 0 { Silent::All } else { Silent::Refusing };
        let (silent_ms, changes_ms) = (4_000..end_ms, vec![1_700, end_ms - 500]);
        let platform =
            SimPlatform { silent_ms, silent_to, changes_ms, large: true, ..SimPlatform::default() };
        let played = play(&platform, SOUND, seed, 18, end_ms + 8_000);
        expect_that!(played.grace_over_ms, all!(gt(end_ms + 1_900), le(end_ms + IN_TOUCH_MS)), "seed {seed}");
    }
}

#[gtest]
fn a_node_that_hears_no_peer_notices_a_hung_watch_by_itself() {
    for seed in 0..200 {
        let end_ms = 7_000 + seed * 13;
        let (silent_ms, changes_ms) = (4_000..end_ms, vec![1_700, end_ms - 500]);
        let platform = SimPlatform {
            silent_ms,
            silent_to: Silent::All,
            changes_ms,
            large: false,
            ..SimPlatform::default()
        };
        let played = play(&platform, CUT, seed, 1, end_ms + 8_000);
        expect_that!(played.all_known_ms, lt(end_ms + 3_000), "seed {seed}");
    }
}

#[gtest]
fn nodes_learn_of_a_change_in_time_though_all_sentinels_are_cut_from_the_platform_right_before() {
    for seed in 0..200 {
        let cut_ms = 5_000 + seed * 17;
        let (silent_ms, changes_ms) = (cut_ms..cut_ms + 10_000, vec![cut_ms + STEP_MS]);
        let platform = SimPlatform {
            silent_ms,
            silent_to: Silent::Sentinels,
            changes_ms,
            large: seed % 2 == 0,
            ..SimPlatform::default()
        };
        let played = play(&platform, SOUND, seed, 18, cut_ms + 9_000);
        expect_that!(played.all_known_ms, lt(cut_ms + 1_900), "seed {seed}");
    }
}

#[gtest]
fn a_change_is_known_to_all_soon_though_half_of_the_relays_are_lost() {
    for seed in 0..200 {
        let change_ms = 5_000 + seed * 17;
        let platform =
            SimPlatform { changes_ms: vec![change_ms], large: seed % 2 == 0, ..SimPlatform::default() };
        let network = SimNetwork { loss: 0.5, cut: false };
        let played = play(&platform, network, seed, 18, change_ms + 5_000);
        expect_that!(played.all_known_ms, lt(change_ms + 1_800), "seed {seed}");
    }
}

#[gtest]
fn calls_do_not_grow_with_changes_times_nodes() {
    let changes_ms: Vec<u64> = (0..40).map(|number| 3_000 + number * 1_000).collect();
    let platform = SimPlatform { changes_ms, ..SimPlatform::default() };
    let network = SimNetwork { loss: 0.01, cut: false };
    let small = play(&platform, network, 1, 18, 45_000).calls();
    let large = play(&platform, network, 1, 180, 45_000).calls();
    expect_that!(small, le(250));
    // Each node reads everything once; beyond that, nearly nothing.
    expect_that!(large - small, le(162 + 120));
}

#[gtest]
fn a_new_configuration_is_read_by_few_and_known_to_all_in_time() {
    for seed in 0..20 {
        let changes_ms: Vec<u64> = (0..10).map(|number| 5_000 + number * 2_000).collect();
        let platform = SimPlatform { changes_ms, large: true, ..SimPlatform::default() };
        let played = play(&platform, SOUND, seed, 142, 28_000);
        // Each node reads everything once; the sentinels wait, some two calls a second.
        expect_that!(played.calls(), le(142 + 28 * 3 + 40), "seed {seed}");
        expect_that!(played.all_known_ms, lt(23_000 + 1_500), "seed {seed}");
    }
}

/// Issue 24: the answers of a storm of changes took longer than the time between two relays; a watcher began each anew, and it
/// was longer each time.
#[gtest]
fn a_storm_of_large_changes_is_followed_though_an_answer_takes_longer_than_relays_are_apart() {
    for seed in 0..20 {
        let changes_ms: Vec<u64> = (0..200).map(|number| 4_000 + number * 100).collect();
        let platform = SimPlatform { changes_ms, large: true, transfer_ms: 85, ..SimPlatform::default() };
        let played = play(&platform, SOUND, seed, 60, 26_000);
        expect_that!(played.longest_lag_ms, lt(2_500), "seed {seed}");
    }
}

/// In a burst of large configurations an answer held each version that was published while the one before it came.
#[gtest]
fn a_burst_of_large_configurations_is_followed_though_several_are_published_while_one_is_sent() {
    for seed in 0..20 {
        let changes_ms: Vec<u64> = (0..40).map(|number| 4_000 + number * 100).collect();
        // A configuration of 550 KB at 10 Mbit/s.
        let platform = SimPlatform { changes_ms, large: true, transfer_ms: 440, ..SimPlatform::default() };
        let played = play(&platform, SOUND, seed, 60, 14_000);
        expect_that!(played.longest_lag_ms, lt(2_000), "seed {seed}");
    }
}

#[gtest]
fn a_platform_that_refuses_everybody_is_not_called_by_all_the_time() {
    for seed in 0..20 {
        let platform = SimPlatform {
            silent_ms: 5_000..14_000,
            silent_to: Silent::Refusing,
            changes_ms: vec![13_000],
            large: seed % 2 == 0,
            ..SimPlatform::default()
        };
        let played = play(&platform, SOUND, seed, 142, 20_000);
        expect_that!(played.calls(), le(142 + 142 * 9 + 200), "seed {seed}");
        expect_that!(played.all_known_ms, lt(14_000 + 3_000), "seed {seed}");
    }
}

#[gtest]
fn deputies_stand_in_for_sentinels_that_are_cut_from_the_platform() {
    for seed in 0..20 {
        let (silent_ms, changes_ms) = (5_000..14_000, vec![8_000, 9_000, 11_000]);
        let platform = SimPlatform {
            silent_ms,
            silent_to: Silent::Sentinels,
            changes_ms,
            large: false,
            ..SimPlatform::default()
        };
        let played = play(&platform, SOUND, seed, 142, 16_000);
        expect_that!(played.calls(), le(142 + 200), "seed {seed}");
    }
}

#[gtest]
fn nodes_learn_of_a_change_in_time_though_all_readers_are_cut_from_the_platform_right_before() {
    for seed in 0..100 {
        let cut_ms = 5_000 + seed * 17;
        let (silent_ms, changes_ms) = (cut_ms..cut_ms + 10_000, vec![cut_ms + STEP_MS]);
        let platform = SimPlatform {
            silent_ms,
            silent_to: Silent::Readers,
            changes_ms,
            large: seed % 2 == 0,
            ..SimPlatform::default()
        };
        let played = play(&platform, SOUND, seed, 30, cut_ms + 9_000);
        expect_that!(played.all_known_ms, lt(cut_ms + 1_950), "seed {seed}");
    }
}

#[gtest]
fn a_read_of_everything_forgets_what_is_no_longer_listed() {
    let mut reader = reader();
    let known = [told("one", 1), told("two", 1)];
    let changes = reader.page_read(page(5, vec![told("two", 1)]), known.into_iter(), MS);
    expect_that!(changes, contains(eq(&Change::UpstreamGone("one".into()))));
    expect_that!(changes, not(contains(eq(&Change::UpstreamGone("two".into())))));
}

#[gtest]
fn pages_are_watched_again_from_the_first_pages_revision() {
    let mut reader = reader();
    let first = ChangePage { next_page: Some("m".into()), ..page(5, vec![told("a", 1)]) };
    reader.page_read(first, [].into_iter(), MS);
    expect_that!(reader.next(MS), matches_pattern!(ReaderCall::Snapshot { next_page: some(eq("m")), .. }));
    let known = [told("a", 1)];
    let changes = reader.page_read(page(9, vec![told("n", 1)]), known.into_iter(), MS);
    expect_that!(changes.len(), eq(1), "an upstream of the first page is not gone");
    expect_that!(reader.next(1_000 * MS), matches_pattern!(ReaderCall::Watch { after: eq(&5), .. }));
}

#[gtest]
fn a_history_that_is_gone_makes_it_read_everything_at_once() {
    let mut reader = reader();
    reader.page_read(page(5, Vec::new()), [].into_iter(), MS);
    reader.call_failed(CallFailure::HistoryGone, 2 * MS);
    expect_that!(reader.next(2 * MS), matches_pattern!(ReaderCall::Snapshot { next_page: none(), .. }));
}

#[gtest]
fn a_platform_that_went_back_is_read_anew() {
    let mut reader = reader();
    reader.page_read(page(50, Vec::new()), [].into_iter(), MS);
    // A page answers a call: what counts is the revision that the call was made after.
    expect_that!(reader.next(1_000 * MS), matches_pattern!(ReaderCall::Watch { after: eq(&50), .. }));
    let older = vec![configured(3)];
    expect_that!(reader.watch_answered(page(20, older), 1_001 * MS), is_empty());
    expect_that!(reader.next(1_001 * MS), matches_pattern!(ReaderCall::Snapshot { .. }));
}
