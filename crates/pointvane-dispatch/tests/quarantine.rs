//! Which requests are quarantined, by one node's evidence and by that of others; all time is given.

use {
    googletest::prelude::*,
    pointvane_dispatch::{
        BodyFingerprint, HeadFingerprint, Quarantine, QuarantineChange, QuarantineOptions, QueryScope,
        RequestFingerprint, TrialTurn,
    },
};

const MS: u64 = 1_000;
const S: u64 = 1_000_000;
/// A node that tries as soon as any may.
const FIRST: TrialTurn = TrialTurn { position: 0.0, nodes: 18 };
/// A node that tries last.
const LAST: TrialTurn = TrialTurn { position: 0.999, nodes: 18 };

fn request(target: &str) -> RequestFingerprint {
    HeadFingerprint::new("GET", "app.example", target, None)
        .with_rest(QueryScope::Any, BodyFingerprint::new(b"", Some(0)))
}

fn node(reporter: u64) -> Quarantine {
    Quarantine::new(QuarantineOptions::default(), reporter, 100)
}

/// Two crashes, one after the other, as a node sees them that tries a request again; they end at 1.1 and 1.2 s.
fn crash_twice(node: &mut Quarantine, request: RequestFingerprint) {
    node.crashed(request, S, S + 100 * MS);
    node.crashed(request, S + 102 * MS, S + 200 * MS);
}

fn refused(node: &Quarantine, request: RequestFingerprint, now_us: u64) -> bool {
    node.refuses(&request, &FIRST, now_us)
}

/// Sends a request, unless that is refused.
fn send(node: &mut Quarantine, request: RequestFingerprint, turn: &TrialTurn, now_us: u64) -> bool {
    let sent = !node.refuses(&request, turn, now_us);
    if sent {
        node.begin_send(&request, now_us);
    }
    sent
}

/// All that a node has to tell at a time.
fn tell(from: &mut Quarantine, to: &mut Quarantine, now_us: u64) -> Vec<QuarantineChange> {
    let news = from.take_urgent(now_us);
    to.receive(&news, now_us)
}

#[gtest]
fn without_a_crash_nothing_is_refused() {
    let mut node = node(1);
    let request = request("/a");
    expect_that!(node.survived(request, S), none());
    expect_that!(send(&mut node, request, &LAST, S), eq(true));
    expect_that!(node.may_know(|| request.head()), eq(false));
}

#[gtest]
fn two_crashes_one_after_the_other_quarantine_a_request_and_no_other() {
    let mut node = node(1);
    let (guilty, other) = (request("/a"), request("/b"));
    expect_that!(node.crashed(guilty, S, S + 100 * MS), none());
    expect_that!(refused(&node, guilty, S + 150 * MS), eq(false));
    let change = node.crashed(guilty, S + 102 * MS, S + 200 * MS);
    expect_that!(change, some(eq(QuarantineChange::Began { request: guilty, crashes: 2, hold_ms: 2_000 })));
    expect_that!(refused(&node, guilty, S + 200 * MS), eq(true));
    expect_that!(refused(&node, other, S + 200 * MS), eq(false));
}

#[gtest]
fn runs_that_overlap_count_as_one_crash_since_upstreams_that_end_together_end_them_together() {
    let mut node = node(1);
    let request = request("/popular");
    for run in 0..20 {
        // Sent at any time before the upstreams lost power, found out at any time after.
        node.crashed(request, S + run * 3 * MS, S + 100 * MS + run * 40 * MS);
    }
    expect_that!(refused(&node, request, 2 * S), eq(false));
}

#[gtest]
fn a_good_run_clears_a_request_of_the_crashes_before_it() {
    let mut node = node(1);
    let request = request("/a");
    node.crashed(request, S, S + 100 * MS);
    node.survived(request, S + 200 * MS);
    node.crashed(request, 2 * S, 2 * S + 100 * MS);
    expect_that!(refused(&node, request, 3 * S), eq(false));
    node.crashed(request, 3 * S, 3 * S + 100 * MS);
    expect_that!(refused(&node, request, 4 * S), eq(true));
}

#[gtest]
fn the_word_of_one_other_node_refuses_nothing_that_of_two_does() {
    let (mut erring, mut second, mut third) = (node(1), node(2), node(3));
    let request = request("/a");
    crash_twice(&mut erring, request);
    expect_that!(refused(&erring, request, 2 * S), eq(true));
    tell(&mut erring, &mut second, 2 * S);
    expect_that!(refused(&second, request, 2 * S), eq(false));
    // The second node sees one more crash itself, and the third one hears of both.
    second.crashed(request, 2 * S, 2 * S + 100 * MS);
    expect_that!(refused(&second, request, 2 * S + 100 * MS), eq(true));
    let changes = tell(&mut second, &mut third, 2 * S + 100 * MS);
    expect_that!(changes.len(), eq(1));
    expect_that!(refused(&third, request, 2 * S + 100 * MS), eq(true));
}

#[gtest]
fn news_may_come_twice_and_in_any_order() {
    let (mut first, mut second) = (node(1), node(2));
    let request = request("/a");
    first.crashed(request, S, S + 100 * MS);
    let early = first.take_urgent(S + 100 * MS);
    first.crashed(request, S + 102 * MS, S + 200 * MS);
    let late = first.take_urgent(S + 200 * MS);
    second.receive(&late, S + 201 * MS);
    second.crashed(request, S + 300 * MS, S + 400 * MS);
    for round in 0..3 {
        second.receive(&early, S + 400 * MS + round * MS);
        second.receive(&late, S + 400 * MS + round * MS);
    }
    // Three crashes, none counted twice: the quarantine that follows on three.
    expect_that!(refused(&second, request, S + 400 * MS + 7 * S), eq(true));
    expect_that!(refused(&second, request, S + 400 * MS + 9 * S), eq(false));
}

/// A node that was paused told its crashes late, when the request had long run well elsewhere.
#[gtest]
fn late_news_of_crashes_before_a_good_run_bring_nothing_back() {
    let (mut paused, mut other) = (node(1), node(2));
    let request = request("/a");
    crash_twice(&mut paused, request);
    other.crashed(request, S, S + 100 * MS);
    other.survived(request, 5 * S);
    // Its clock runs on, so the age it tells is right.
    tell(&mut paused, &mut other, 10 * S);
    expect_that!(refused(&other, request, 10 * S), eq(false));
}

#[gtest]
fn after_a_quarantine_one_run_at_a_time_is_tried_by_few_nodes_first() {
    let mut node = node(1);
    let request = request("/a");
    crash_twice(&mut node, request);
    let over = S + 200 * MS + 2 * S;
    expect_that!(send(&mut node, request, &FIRST, over - MS), eq(false));
    expect_that!(node.refuses(&request, &LAST, over), eq(true));
    expect_that!(send(&mut node, request, &FIRST, over), eq(true));
    // Copies that come while it runs are not sent.
    expect_that!(send(&mut node, request, &FIRST, over + 50 * MS), eq(false));
    // All of 18 nodes may try some nine seconds later.
    expect_that!(node.refuses(&request, &LAST, over + 9 * S), eq(false));
}

#[gtest]
fn a_trial_that_crashes_quarantines_for_four_times_as_long_and_one_that_runs_well_lifts() {
    let mut node = node(1);
    let request = request("/a");
    crash_twice(&mut node, request);
    let tried = S + 200 * MS + 2 * S;
    expect_that!(send(&mut node, request, &FIRST, tried), eq(true));
    let change = node.crashed(request, tried, tried + 100 * MS);
    expect_that!(change, some(eq(QuarantineChange::Began { request, crashes: 3, hold_ms: 8_000 })));
    expect_that!(refused(&node, request, tried + 8 * S), eq(true));
    let again = tried + 9 * S;
    expect_that!(send(&mut node, request, &FIRST, again), eq(true));
    expect_that!(node.survived(request, again + 100 * MS), some(eq(QuarantineChange::Lifted { request })));
    expect_that!(send(&mut node, request, &LAST, again + 100 * MS), eq(true));
    expect_that!(send(&mut node, request, &LAST, again + 101 * MS), eq(true));
}

/// At 2, 10, 42 and 170 s: a request that comes all the time crashes three more upstreams in two and a half minutes.
#[gtest]
fn a_request_that_comes_all_the_time_crashes_few_upstreams_in_trials() {
    let mut node = node(1);
    let request = request("/a");
    crash_twice(&mut node, request);
    let mut trials = 0;
    for now_ms in (1_300..160_000).step_by(100) {
        if send(&mut node, request, &FIRST, now_ms * MS) {
            trials += 1;
            node.crashed(request, now_ms * MS, (now_ms + 60) * MS);
        }
    }
    expect_that!(trials, eq(3));
}

#[gtest]
fn a_request_is_forgotten_long_after_and_begins_anew() {
    let mut node = node(1);
    let request = request("/a");
    crash_twice(&mut node, request);
    node.expire(600 * S);
    expect_that!(node.quarantined(), eq(1));
    node.expire(620 * S);
    expect_that!(node.is_empty(), eq(true));
    expect_that!(node.may_know(|| request.head()), eq(false));
    node.crashed(request, 620 * S, 621 * S);
    expect_that!(refused(&node, request, 621 * S), eq(false));
}

#[gtest]
fn a_request_of_which_nothing_is_known_allocates_nothing() {
    let none = node(1);
    let mut some = node(1);
    crash_twice(&mut some, request("/guilty"));
    for node in [none, some] {
        let allocated = allocation_counter::measure(|| {
            node.may_know(|| request("/innocent").head());
        });
        expect_that!(allocated.count_total, eq(0));
    }
}

/// A node that was suspended tells ages by a clock that stood still: what it tells seems younger by that time, and counts as long.
#[gtest]
fn crashes_that_a_suspended_node_tells_seem_younger_and_hold_longer() {
    let (mut suspended, mut other) = (node(1), node(2));
    let request = request("/a");
    crash_twice(&mut suspended, request);
    let told = suspended.take_urgent(S + 300 * MS);
    // Others' clocks went on for five seconds.
    other.receive(&told, 6 * S + 300 * MS);
    other.crashed(request, 6 * S + 400 * MS, 6 * S + 500 * MS);
    expect_that!(refused(&other, request, 6 * S + 500 * MS), eq(true));
    expect_that!(refused(&other, request, 14 * S), eq(true));
    expect_that!(refused(&other, request, 15 * S), eq(false));
}

/// At the bound the requests with the fewest crashes go first.
#[gtest]
fn memory_is_bounded_and_what_is_quarantined_stays() {
    let mut node = node(1);
    let guilty = request("/guilty");
    crash_twice(&mut node, guilty);
    for number in 0..20_000_u64 {
        let at = 2 * S + number * MS;
        node.crashed(request(&format!("/{number}")), at, at + 10 * MS);
    }
    expect_that!(node.len(), eq(512));
    expect_that!(node.quarantined(), eq(1));
}

#[gtest]
fn it_can_be_switched_off() {
    let options = QuarantineOptions { after_crashes: 0, ..QuarantineOptions::default() };
    let mut off = Quarantine::new(options, 1, 0);
    let request = request("/a");
    crash_twice(&mut off, request);
    expect_that!(refused(&off, request, 2 * S), eq(false));
    let mut on = node(2);
    crash_twice(&mut on, request);
    expect_that!(tell(&mut on, &mut off, 2 * S).len(), eq(0));
    expect_that!(off.is_empty(), eq(true));
}
