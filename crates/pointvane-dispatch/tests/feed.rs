//! Reading of the platform: what a node knows, and when, whatever the platform does.

use {
    googletest::prelude::*,
    pointvane_core::{Change, ChangePage, Name, RoutingConfiguration, UpstreamRecord},
    pointvane_dispatch::{CallFailure, Feed, FeedCall, FeedOptions, Relay},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::ops::Range,
};

const MS: u64 = 1_000;
const STEP_MS: u64 = 20;
/// Time that a peer's revision takes to reach another node by gossip in these runs.
const GOSSIP_MS: u64 = 400;
/// Time between two relays of a sentinel.
const RELAY_MS: u64 = 300;
const SENTINELS: usize = 2;

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
    told: bool,
}

/// A platform whose revision rises at given times, and that is silent towards some for some time.
struct SimPlatform {
    silent_ms: Range<u64>,
    silent_to: Silent,
    changes_ms: Vec<u64>,
    /// Whether the changes are too large to be relayed.
    large: bool,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Silent {
    All,
    Sentinels,
}

/// The network between the nodes.
#[derive(Clone, Copy)]
struct SimNetwork {
    /// Share of relays that are lost.
    loss: f64,
    /// Whether nothing passes at all.
    cut: bool,
}

impl SimPlatform {
    fn revision(&self, now_ms: u64) -> u64 {
        1 + self.changes_ms.iter().filter(|at| **at <= now_ms).count() as u64
    }

    fn is_silent(&self, sentinel: bool, now_ms: u64) -> bool {
        (sentinel || self.silent_to == Silent::All) && self.silent_ms.contains(&now_ms)
    }

    fn changes(&self) -> Vec<Change> {
        let configuration = RoutingConfiguration { version: 1, ..RoutingConfiguration::default() };
        match self.large {
            true => vec![Change::Configuration(Box::new(configuration))],
            false => vec![upstream("one", false)],
        }
    }
}

impl SimNode {
    fn new(seed: u64, sentinel: bool) -> Self {
        let feed = Feed::new(FeedOptions::default(), seed);
        Self { feed, pending: None, sentinel, calls: 0, told: false }
    }

    fn step(&mut self, platform: &SimPlatform, now_ms: u64) {
        self.finish_call(platform, now_ms);
        if self.feed.is_behind() {
            self.pending = None;
        }
        if self.pending.is_some() {
            return;
        }
        let call = self.feed.next(now_ms * MS);
        let (wait_ms, patience_ms) = match call {
            FeedCall::Rest { .. } => return,
            FeedCall::Watch { wait_ms, patience_ms, .. } => (wait_ms, patience_ms),
            FeedCall::Snapshot { patience_ms, .. } => (0, patience_ms),
        };
        self.calls += 1;
        let hangs = platform.is_silent(self.sentinel, now_ms);
        self.pending = Some(Pending { call, due_ms: now_ms + wait_ms, dead_ms: now_ms + patience_ms, hangs });
    }

    fn finish_call(&mut self, platform: &SimPlatform, now_ms: u64) {
        let Some(mut pending) = self.pending.take() else { return };
        pending.hangs |= platform.is_silent(self.sentinel, now_ms);
        let revision = platform.revision(now_ms);
        let changed = match pending.call {
            FeedCall::Watch { after, .. } => revision > after,
            _ => true,
        };
        if now_ms >= pending.dead_ms {
            self.feed.failed(CallFailure::Unavailable, now_ms * MS);
        } else if pending.hangs || !(changed || now_ms >= pending.due_ms) {
            self.pending = Some(pending);
        } else if matches!(pending.call, FeedCall::Watch { .. }) {
            let changes = if changed { platform.changes() } else { Vec::new() };
            self.told = true;
            self.feed.watched(page(revision, changes), now_ms * MS);
        } else {
            self.feed.read(page(revision, Vec::new()), [].iter(), now_ms * MS);
        }
    }
}

/// What a run of a fleet shows.
struct Played {
    calls: u32,
    /// When the last of the nodes knew the newest revision.
    all_known_ms: u64,
}

fn play(platform: &SimPlatform, network: SimNetwork, seed: u64, nodes: usize, until_ms: u64) -> Played {
    let new = |n: usize| SimNode::new(seed * 100 + n as u64, n < SENTINELS);
    let mut fleet: Vec<SimNode> = (0..nodes).map(new).collect();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut known: Vec<(u64, u64)> = Vec::new();
    let mut all_known_ms = 0;
    for now_ms in (0..until_ms).step_by(STEP_MS as usize) {
        let heard =
            known.iter().rev().find(|(at, _)| at + GOSSIP_MS <= now_ms).map_or(0, |(_, newest)| *newest);
        for node in &mut fleet {
            node.step(platform, now_ms);
            node.feed.hear_peers(node.sentinel, if network.cut { 0 } else { heard }, now_ms * MS);
        }
        let speak = |node: &mut SimNode| std::mem::take(&mut node.told) || now_ms % RELAY_MS < STEP_MS;
        let relays: Vec<Relay> = fleet
            .iter_mut()
            .filter_map(|node| if speak(node) { node.feed.relay(now_ms * MS) } else { None })
            .collect();
        for relay in relays {
            for node in &mut fleet {
                if !network.cut && !rng.random_bool(network.loss) {
                    node.feed.hear_relay(relay.clone(), now_ms * MS);
                }
            }
        }
        known.push((now_ms, fleet.iter().map(|node| node.feed.revision()).max().unwrap_or(0)));
        // A sentinel that the platform does not answer is not in touch.
        let in_touch = |node: &&SimNode| platform.silent_to == Silent::All || !node.sentinel;
        if fleet.iter().filter(in_touch).any(|node| node.feed.revision() < platform.revision(now_ms)) {
            all_known_ms = now_ms;
        }
    }
    Played { calls: fleet.iter().map(|node| node.calls).sum(), all_known_ms }
}

const SOUND: SimNetwork = SimNetwork { loss: 0.02, cut: false };
const CUT: SimNetwork = SimNetwork { loss: 0.0, cut: true };

#[gtest]
fn a_silence_of_the_platform_is_over_for_all_within_the_time_to_get_in_touch_again() {
    for seed in 0..200 {
        let start_ms = 2_000 + seed * 37;
        let end_ms = start_ms + 3_000 + seed * 11;
        let (silent_ms, changes_ms) = (start_ms..end_ms, vec![1_700, end_ms - 500]);
        let platform = SimPlatform { silent_ms, silent_to: Silent::All, changes_ms, large: seed % 2 == 0 };
        let played = play(&platform, SOUND, seed, 18, end_ms + 8_000);
        expect_that!(played.all_known_ms, lt(end_ms + 3_000), "seed {seed}");
    }
}

#[gtest]
fn a_node_that_hears_no_peer_notices_a_hung_watch_by_itself() {
    for seed in 0..200 {
        let end_ms = 7_000 + seed * 13;
        let (silent_ms, changes_ms) = (4_000..end_ms, vec![1_700, end_ms - 500]);
        let platform = SimPlatform { silent_ms, silent_to: Silent::All, changes_ms, large: false };
        let played = play(&platform, CUT, seed, 1, end_ms + 8_000);
        expect_that!(played.all_known_ms, lt(end_ms + 3_000), "seed {seed}");
    }
}

#[gtest]
fn nodes_learn_of_a_change_in_time_though_all_sentinels_are_cut_from_the_platform_right_before() {
    for seed in 0..200 {
        let cut_ms = 5_000 + seed * 17;
        let (silent_ms, changes_ms) = (cut_ms..cut_ms + 10_000, vec![cut_ms + STEP_MS]);
        let platform =
            SimPlatform { silent_ms, silent_to: Silent::Sentinels, changes_ms, large: seed % 2 == 0 };
        let played = play(&platform, SOUND, seed, 18, cut_ms + 9_000);
        expect_that!(played.all_known_ms, lt(cut_ms + 1_900), "seed {seed}");
    }
}

#[gtest]
fn a_change_is_known_to_all_soon_though_half_of_the_relays_are_lost() {
    for seed in 0..200 {
        let change_ms = 5_000 + seed * 17;
        let platform = SimPlatform {
            silent_ms: 0..0,
            silent_to: Silent::All,
            changes_ms: vec![change_ms],
            large: seed % 2 == 0,
        };
        let network = SimNetwork { loss: 0.5, cut: false };
        let played = play(&platform, network, seed, 18, change_ms + 5_000);
        expect_that!(played.all_known_ms, lt(change_ms + 1_800), "seed {seed}");
    }
}

#[gtest]
fn calls_do_not_grow_with_changes_times_nodes() {
    let changes_ms: Vec<u64> = (0..40).map(|number| 3_000 + number * 1_000).collect();
    let platform = SimPlatform { silent_ms: 0..0, silent_to: Silent::All, changes_ms, large: false };
    let network = SimNetwork { loss: 0.01, cut: false };
    let small = play(&platform, network, 1, 18, 45_000).calls;
    let large = play(&platform, network, 1, 180, 45_000).calls;
    expect_that!(small, le(250));
    // Each node reads everything once; beyond that, nearly nothing.
    expect_that!(large - small, le(162 + 120));
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
    expect_that!(feed.next(1_000 * MS), matches_pattern!(FeedCall::Watch { after: eq(&5), .. }));
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
