//! Quarantine decisions from a node's own evidence and from that of other nodes, with simulated time.

use {
    googletest::prelude::*,
    pointvane_dispatch::{
        BodyFingerprint, HeadFingerprint, Quarantine, QuarantineChange, QuarantineOptions, QueryScope,
        RequestFingerprint, TrialPosition,
    },
};

const MS: u64 = 1_000;
const S: u64 = 1_000_000;
/// Turn of the node that may run trials first.
const FIRST_POSITION: TrialPosition = TrialPosition { position: 0.0, nodes: 18 };
/// Turn of the node that may run trials last.
const LAST_POSITION: TrialPosition = TrialPosition { position: 0.999, nodes: 18 };

fn request(target: &str) -> RequestFingerprint {
    HeadFingerprint::new("GET", "app.example", target, None)
        .with_query_and_body(QueryScope::Any, BodyFingerprint::new(b"", Some(0)))
}

fn node(reporter: u64) -> Quarantine {
    Quarantine::new(QuarantineOptions::default(), reporter, 100)
}

/// Records two sequential crashes, as observed by a node that retries a request; they end at 1.1 and 1.2 s.
fn crash_twice(node: &mut Quarantine, request: RequestFingerprint) {
    node.record_crash(request, S, S + 100 * MS);
    node.record_crash(request, S + 102 * MS, S + 200 * MS);
}

fn refused(node: &Quarantine, request: RequestFingerprint, now_us: u64) -> bool {
    node.refuses(&request, &FIRST_POSITION, now_us)
}

/// Sends a request unless it is refused; returns true if it was sent.
fn send(
    node: &mut Quarantine,
    request: RequestFingerprint,
    trial_position: &TrialPosition,
    now_us: u64,
) -> bool {
    let sent = !node.refuses(&request, trial_position, now_us);
    if sent {
        node.begin_send(&request, now_us);
    }
    sent
}

/// Delivers one broadcast of `from` to `to`.
fn broadcast(from: &mut Quarantine, to: &mut Quarantine, now_us: u64) -> Vec<QuarantineChange> {
    let reports = from.take_broadcast(now_us);
    to.receive(&reports, now_us)
}

#[gtest]
fn request_without_crashes_is_never_refused() {
    let mut node = node(1);
    let request = request("/a");
    expect_that!(node.record_success(request, S), none());
    expect_that!(send(&mut node, request, &LAST_POSITION, S), eq(true));
    expect_that!(node.tracks_head(|| request.head()), eq(false));
}

#[gtest]
fn two_sequential_crashes_quarantine_only_that_request() {
    let mut node = node(1);
    let (crashing, other) = (request("/a"), request("/b"));
    expect_that!(node.record_crash(crashing, S, S + 100 * MS), none());
    expect_that!(refused(&node, crashing, S + 150 * MS), eq(false));
    let change = node.record_crash(crashing, S + 102 * MS, S + 200 * MS);
    expect_that!(change, some(eq(QuarantineChange::Began { request: crashing, crashes: 2, hold_ms: 2_000 })));
    expect_that!(refused(&node, crashing, S + 200 * MS), eq(true));
    expect_that!(refused(&node, other, S + 200 * MS), eq(false));
}

#[gtest]
fn crashes_of_overlapping_runs_count_once() {
    let mut node = node(1);
    let request = request("/popular");
    for run in 0..20 {
        // Sent at various times before the upstreams lost power, with the crash detected at various times
        // after.
        node.record_crash(request, S + run * 3 * MS, S + 100 * MS + run * 40 * MS);
    }
    expect_that!(refused(&node, request, 2 * S), eq(false));
}

#[gtest]
fn successful_run_clears_earlier_crashes() {
    let mut node = node(1);
    let request = request("/a");
    node.record_crash(request, S, S + 100 * MS);
    node.record_success(request, S + 200 * MS);
    node.record_crash(request, 2 * S, 2 * S + 100 * MS);
    expect_that!(refused(&node, request, 3 * S), eq(false));
    node.record_crash(request, 3 * S, 3 * S + 100 * MS);
    expect_that!(refused(&node, request, 4 * S), eq(true));
}

#[gtest]
fn evidence_of_a_single_other_node_does_not_suffice() {
    let (mut first, mut second, mut third) = (node(1), node(2), node(3));
    let request = request("/a");
    crash_twice(&mut first, request);
    expect_that!(refused(&first, request, 2 * S), eq(true));
    broadcast(&mut first, &mut second, 2 * S);
    expect_that!(refused(&second, request, 2 * S), eq(false));
    // The second node observes one more crash itself, and the third one receives the evidence of both.
    second.record_crash(request, 2 * S, 2 * S + 100 * MS);
    expect_that!(refused(&second, request, 2 * S + 100 * MS), eq(true));
    let changes = broadcast(&mut second, &mut third, 2 * S + 100 * MS);
    expect_that!(changes.len(), eq(1));
    expect_that!(refused(&third, request, 2 * S + 100 * MS), eq(true));
}

#[gtest]
fn reports_may_arrive_repeatedly_and_out_of_order() {
    let (mut first, mut second) = (node(1), node(2));
    let request = request("/a");
    first.record_crash(request, S, S + 100 * MS);
    let early = first.take_broadcast(S + 100 * MS);
    first.record_crash(request, S + 102 * MS, S + 200 * MS);
    let late = first.take_broadcast(S + 200 * MS);
    second.receive(&late, S + 201 * MS);
    second.record_crash(request, S + 300 * MS, S + 400 * MS);
    for round in 0..3 {
        second.receive(&early, S + 400 * MS + round * MS);
        second.receive(&late, S + 400 * MS + round * MS);
    }
    // Three crashes, none counted twice, so the hold time is that after three crashes.
    expect_that!(refused(&second, request, S + 400 * MS + 7 * S), eq(true));
    expect_that!(refused(&second, request, S + 400 * MS + 9 * S), eq(false));
}

/// A node that was paused reports its crashes late, after the request has already succeeded elsewhere.
#[gtest]
fn late_reports_of_crashes_before_a_success_are_ignored() {
    let (mut paused, mut other) = (node(1), node(2));
    let request = request("/a");
    crash_twice(&mut paused, request);
    other.record_crash(request, S, S + 100 * MS);
    other.record_success(request, 5 * S);
    // Its clock kept running, so the reported ages are correct.
    broadcast(&mut paused, &mut other, 10 * S);
    expect_that!(refused(&other, request, 10 * S), eq(false));
}

#[gtest]
fn trials_after_quarantine_run_one_at_a_time_on_few_nodes_first() {
    let mut node = node(1);
    let request = request("/a");
    crash_twice(&mut node, request);
    let hold_end_us = S + 200 * MS + 2 * S;
    expect_that!(send(&mut node, request, &FIRST_POSITION, hold_end_us - MS), eq(false));
    expect_that!(node.refuses(&request, &LAST_POSITION, hold_end_us), eq(true));
    expect_that!(send(&mut node, request, &FIRST_POSITION, hold_end_us), eq(true));
    // Copies that arrive during the trial are not sent.
    expect_that!(send(&mut node, request, &FIRST_POSITION, hold_end_us + 50 * MS), eq(false));
    // All 18 nodes may try about nine seconds later.
    expect_that!(node.refuses(&request, &LAST_POSITION, hold_end_us + 9 * S), eq(false));
}

#[gtest]
fn crashed_trial_quadruples_hold_time_and_successful_trial_lifts_quarantine() {
    let mut node = node(1);
    let request = request("/a");
    crash_twice(&mut node, request);
    let first_trial_us = S + 200 * MS + 2 * S;
    expect_that!(send(&mut node, request, &FIRST_POSITION, first_trial_us), eq(true));
    let change = node.record_crash(request, first_trial_us, first_trial_us + 100 * MS);
    expect_that!(change, some(eq(QuarantineChange::Began { request, crashes: 3, hold_ms: 8_000 })));
    expect_that!(refused(&node, request, first_trial_us + 8 * S), eq(true));
    let second_trial_us = first_trial_us + 9 * S;
    expect_that!(send(&mut node, request, &FIRST_POSITION, second_trial_us), eq(true));
    expect_that!(
        node.record_success(request, second_trial_us + 100 * MS),
        some(eq(QuarantineChange::Lifted { request }))
    );
    expect_that!(send(&mut node, request, &LAST_POSITION, second_trial_us + 100 * MS), eq(true));
    expect_that!(send(&mut node, request, &LAST_POSITION, second_trial_us + 101 * MS), eq(true));
}

/// Trials take place after 2, 10, 42 and 170 s, so three more upstreams crash in two and a half minutes.
#[gtest]
fn continuously_repeated_request_crashes_few_upstreams_in_trials() {
    let mut node = node(1);
    let request = request("/a");
    crash_twice(&mut node, request);
    let mut trials = 0;
    for now_ms in (1_300..160_000).step_by(100) {
        if send(&mut node, request, &FIRST_POSITION, now_ms * MS) {
            trials += 1;
            node.record_crash(request, now_ms * MS, (now_ms + 60) * MS);
        }
    }
    expect_that!(trials, eq(3));
}

#[gtest]
fn evidence_expires_and_history_starts_over() {
    let mut node = node(1);
    let request = request("/a");
    crash_twice(&mut node, request);
    node.expire(600 * S);
    expect_that!(node.quarantined(), eq(1));
    node.expire(620 * S);
    expect_that!(node.is_empty(), eq(true));
    expect_that!(node.tracks_head(|| request.head()), eq(false));
    node.record_crash(request, 620 * S, 621 * S);
    expect_that!(refused(&node, request, 621 * S), eq(false));
}

#[gtest]
fn lookup_of_an_untracked_request_does_not_allocate() {
    let none = node(1);
    let mut some = node(1);
    crash_twice(&mut some, request("/guilty"));
    for node in [none, some] {
        let allocated = allocation_counter::measure(|| {
            node.tracks_head(|| request("/innocent").head());
        });
        expect_that!(allocated.count_total, eq(0));
    }
}

/// The clock of a suspended node stands still, so the ages that it reports are too low by the time of
/// suspension and the quarantine lasts longer by that time.
#[gtest]
fn crashes_reported_by_a_suspended_node_appear_newer_and_hold_longer() {
    let (mut suspended, mut other) = (node(1), node(2));
    let request = request("/a");
    crash_twice(&mut suspended, request);
    let reports = suspended.take_broadcast(S + 300 * MS);
    // The clocks of the other nodes advanced by five seconds.
    other.receive(&reports, 6 * S + 300 * MS);
    other.record_crash(request, 6 * S + 400 * MS, 6 * S + 500 * MS);
    expect_that!(refused(&other, request, 6 * S + 500 * MS), eq(true));
    expect_that!(refused(&other, request, 14 * S), eq(true));
    expect_that!(refused(&other, request, 15 * S), eq(false));
}

/// When the table is full, the requests with the fewest crashes are evicted first.
#[gtest]
fn tracked_requests_are_bounded_and_quarantined_ones_kept() {
    let mut node = node(1);
    let crashing = request("/guilty");
    crash_twice(&mut node, crashing);
    for number in 0..20_000_u64 {
        let sent_at_us = 2 * S + number * MS;
        node.record_crash(request(&format!("/{number}")), sent_at_us, sent_at_us + 10 * MS);
    }
    expect_that!(node.len(), eq(512));
    expect_that!(node.quarantined(), eq(1));
}

#[gtest]
fn zero_after_crashes_disables_quarantine() {
    let options = QuarantineOptions { after_crashes: 0, ..QuarantineOptions::default() };
    let mut off = Quarantine::new(options, 1, 0);
    let request = request("/a");
    crash_twice(&mut off, request);
    expect_that!(refused(&off, request, 2 * S), eq(false));
    let mut on = node(2);
    crash_twice(&mut on, request);
    expect_that!(broadcast(&mut on, &mut off, 2 * S).len(), eq(0));
    expect_that!(off.is_empty(), eq(true));
}
