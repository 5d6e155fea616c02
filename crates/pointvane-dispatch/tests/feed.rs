//! Reading of the platform: what a node knows, and when, whatever the platform does.

use {
    googletest::prelude::*,
    pointvane_core::{Change, ChangePage, Name, RoutingConfiguration, UpstreamRecord},
    pointvane_dispatch::{CallFailure, Feed, FeedCall, FeedOptions, PeerVerdict, PeerView},
};

const MS: u64 = 1_000;
const STEP_MS: u64 = 20;
/// Time that a peer's word takes to reach another node in these runs.
const GOSSIP_MS: u64 = 400;

fn upstream(id: &str, draining: bool) -> Change {
    Change::Upstream(UpstreamRecord {
        id: id.into(),
        service: "dispatch".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "one".into(),
        slots: 3,
        draining,
        warm_up_left_ms: 0,
        sequence: 1,
    })
}

fn page(revision: u64, changes: Vec<Change>) -> ChangePage {
    ChangePage { revision, changes, ..ChangePage::default() }
}

/// A call of a node that the platform has not answered.
struct Pending {
    call: FeedCall,
    due_ms: u64,
    dead_ms: u64,
    hangs: bool,
}

/// One node of a run, with its feed and the call it waits for.
struct SimNode {
    feed: Feed,
    pending: Option<Pending>,
    sentinel: bool,
    calls: u32,
}

/// A platform whose revision rises at given times, and that says nothing for some time.
struct SimPlatform {
    silent_ms: std::ops::Range<u64>,
    changes_ms: Vec<u64>,
}

impl SimPlatform {
    fn revision(&self, now_ms: u64) -> u64 {
        1 + self.changes_ms.iter().filter(|at| **at <= now_ms).count() as u64
    }
}

impl SimNode {
    fn new(seed: u64, sentinel: bool) -> Self {
        Self { feed: Feed::new(FeedOptions::default(), seed), pending: None, sentinel, calls: 0 }
    }

    fn step(&mut self, platform: &SimPlatform, now_ms: u64) {
        let now_us = now_ms * MS;
        if let Some(pending) = &mut self.pending {
            pending.hangs |= platform.silent_ms.contains(&now_ms);
            let changed = match pending.call {
                FeedCall::Watch { after, .. } => platform.revision(now_ms) > after,
                _ => true,
            };
            if now_ms >= pending.dead_ms {
                self.pending = None;
                self.feed.failed(CallFailure::Unavailable, now_us);
            } else if !pending.hangs && (changed || now_ms >= pending.due_ms) {
                let revision = platform.revision(now_ms);
                match pending.call {
                    FeedCall::Watch { .. } => {
                        let changes = if changed { vec![upstream("one", false)] } else { Vec::new() };
                        self.feed.watched(page(revision, changes), now_us);
                    }
                    _ => _ = self.feed.read(page(revision, Vec::new()), [].iter(), now_us),
                }
                self.pending = None;
            }
        }
        if self.pending.is_some() {
            return;
        }
        let call = self.feed.next(now_us);
        let (wait_ms, patience_ms) = match call {
            FeedCall::Rest { .. } => return,
            FeedCall::Watch { wait_ms, patience_ms, .. } => (wait_ms, patience_ms),
            FeedCall::Snapshot { patience_ms, .. } => (0, patience_ms),
        };
        self.calls += 1;
        let hangs = platform.silent_ms.contains(&now_ms);
        self.pending = Some(Pending { call, due_ms: now_ms + wait_ms, dead_ms: now_ms + patience_ms, hangs });
    }
}

/// Plays a fleet; gives the nodes and the time at which the last of them knew the newest revision.
fn play(platform: &SimPlatform, seed: u64, nodes: u64, until_ms: u64, cut_off: bool) -> (Vec<SimNode>, u64) {
    let mut fleet: Vec<SimNode> = (0..nodes).map(|n| SimNode::new(seed * 100 + n, n < 3)).collect();
    let mut known: Vec<(u64, u64)> = Vec::new();
    let mut all_known_ms = 0;
    for now_ms in (0..until_ms).step_by(STEP_MS as usize) {
        let heard =
            known.iter().rev().find(|(at, _)| at + GOSSIP_MS <= now_ms).map_or(0, |(_, newest)| *newest);
        for node in &mut fleet {
            node.step(platform, now_ms);
            let view = PeerView {
                latest: if cut_off { 0 } else { heard },
                heard: !cut_off,
                sentinel: node.sentinel,
            };
            if node.feed.hear_peers(view, now_ms * MS) != PeerVerdict::Fine {
                node.pending = None;
            }
        }
        known.push((now_ms, fleet.iter().map(|node| node.feed.revision()).max().unwrap_or(0)));
        if fleet.iter().any(|node| node.feed.revision() < platform.revision(now_ms)) {
            all_known_ms = now_ms;
        }
    }
    (fleet, all_known_ms)
}

#[gtest]
fn a_watch_that_hangs_since_a_silence_is_noticed_within_the_time_to_get_in_touch_again() {
    for seed in 0..200 {
        let start_ms = 2_000 + seed * 37;
        let end_ms = start_ms + 3_000 + seed * 11;
        let platform = SimPlatform { silent_ms: start_ms..end_ms, changes_ms: vec![1_700, end_ms - 500] };
        let (_, known_ms) = play(&platform, seed, 18, end_ms + 8_000, false);
        expect_that!(known_ms, lt(end_ms + 3_000), "seed {seed}");
    }
}

#[gtest]
fn a_node_that_hears_no_peer_notices_a_hung_watch_by_itself() {
    for seed in 0..200 {
        let end_ms = 7_000 + seed * 13;
        let platform = SimPlatform { silent_ms: 4_000..end_ms, changes_ms: vec![1_700, end_ms - 500] };
        let (_, known_ms) = play(&platform, seed, 1, end_ms + 8_000, true);
        expect_that!(known_ms, lt(end_ms + 3_000), "seed {seed}");
    }
}

#[gtest]
fn a_quiet_fleet_makes_few_calls() {
    let platform = SimPlatform { silent_ms: 0..0, changes_ms: vec![] };
    let (fleet, _) = play(&platform, 1, 18, 45_000, false);
    let calls: u32 = fleet.iter().map(|node| node.calls).sum();
    expect_that!(calls, le(180));
}

#[gtest]
fn a_read_of_everything_forgets_what_is_no_longer_listed() {
    let mut feed = Feed::new(FeedOptions::default(), 1);
    let known: [Name; 2] = ["one".into(), "two".into()];
    let changes = feed.read(page(5, vec![upstream("two", false)]), known.iter(), MS);
    expect_that!(changes, contains(eq(&Change::UpstreamGone("one".into()))));
    expect_that!(changes, not(contains(eq(&Change::UpstreamGone("two".into())))));
}

#[gtest]
fn pages_are_watched_again_from_the_first_pages_revision() {
    let mut feed = Feed::new(FeedOptions::default(), 1);
    let first = ChangePage { next_page: Some("m".into()), ..page(5, vec![upstream("a", false)]) };
    feed.read(first, [].iter(), MS);
    expect_that!(feed.next(MS), matches_pattern!(FeedCall::Snapshot { next_page: some(eq("m")), .. }));
    let known: [Name; 1] = ["a".into()];
    let changes = feed.read(page(9, vec![upstream("n", false)]), known.iter(), MS);
    expect_that!(changes.len(), eq(1), "an upstream of the first page is not gone");
    expect_that!(feed.next(MS), matches_pattern!(FeedCall::Watch { after: eq(&5), .. }));
}

#[gtest]
fn a_history_that_is_gone_makes_it_read_everything_at_once() {
    let mut feed = Feed::new(FeedOptions::default(), 1);
    feed.read(page(5, Vec::new()), [].iter(), MS);
    feed.failed(CallFailure::HistoryGone, 2 * MS);
    expect_that!(feed.next(2 * MS), matches_pattern!(FeedCall::Snapshot { next_page: none(), .. }));
}

#[gtest]
fn a_platform_that_went_back_is_read_anew() {
    let mut feed = Feed::new(FeedOptions::default(), 1);
    feed.read(page(50, Vec::new()), [].iter(), MS);
    let older =
        vec![Change::Configuration(Box::new(RoutingConfiguration { version: 3, ..Default::default() }))];
    expect_that!(feed.watched(page(20, older), MS), is_empty());
    expect_that!(feed.next(MS), matches_pattern!(FeedCall::Snapshot { .. }));
}
