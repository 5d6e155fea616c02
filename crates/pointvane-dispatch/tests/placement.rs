//! Which data centre serves requests while demand is in one and room in another. The load is played without a
//! network: nodes search with their own pools, know only what their own probes report, and share the
//! upstreams.

mod common;

use {
    common::record,
    googletest::prelude::*,
    pointvane_core::{UpstreamLoad, UpstreamRecord},
    pointvane_dispatch::{
        AllowedRegions, CandidateCriteria, Found, PROBE_TIMEOUT_US, Pool, ProbeOutcome, RankingOptions,
        Search, SearchGoal, SearchOptions, SearchRequest, SearchStep, UpstreamKey,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, HashMap, VecDeque},
    },
};

const MS: u64 = 1_000;
const S: u64 = 1_000 * MS;
const OPTIONS: SearchOptions = SearchOptions { probes: true, first_round: 2, second_round: 4 };
const DATA_CENTRES: [&str; 2] = ["one", "two"];
const UPSTREAMS_PER_DATA_CENTRE: usize = 16;
const SLOTS: u32 = 3;
const WORK_US: u64 = 150 * MS;
const TARGET_US: u64 = 400 * MS;
const SEARCH_US: u64 = 20 * MS;
const ROUND_TRIP_US: [u64; 2] = [300, 1_800];
/// Requests per second that one data centre can serve.
const ROOM_PER_S: f64 = UPSTREAMS_PER_DATA_CENTRE as f64 * SLOTS as f64 * S as f64 / WORK_US as f64;

/// How the upstreams of the data centre "two" behave.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Two {
    Healthy,
    /// Their reports always show all slots free.
    ReportsFree,
    Unreachable,
    /// There are none.
    Absent,
}

/// A load to be played.
struct Play {
    nodes_per_data_centre: usize,
    /// Demand in each data centre at a time, as a share of its room.
    demand: fn(u64) -> [f64; 2],
    two: Two,
    until_us: u64,
}

#[derive(Clone, Debug, Default)]
struct Upstream {
    running: u32,
    waiting: VecDeque<usize>,
}

/// What became of one request.
#[derive(Clone, Copy, Debug, Default)]
struct Request {
    arrived_us: u64,
    data_centre: usize,
    node: usize,
    upstream: Option<usize>,
    ended_us: Option<u64>,
}

impl Request {
    fn is_in_time(&self) -> bool {
        self.ended_us.is_some_and(|ended_us| ended_us - self.arrived_us <= TARGET_US)
    }

    fn is_far(&self) -> bool {
        self.upstream.is_some_and(|upstream| data_centre_of(upstream) != self.data_centre)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival { data_centre: usize },
    Continue { request: usize, round: usize },
    ProbeAnswer { request: usize, round: usize, upstream: usize },
    ProbeLost { node: usize, upstream: usize },
    WorkDone { request: usize },
}

struct Node {
    pool: Pool,
    keys: Vec<UpstreamKey>,
    upstreams: HashMap<UpstreamKey, usize>,
}

struct Searching {
    search: Search,
    round: usize,
    unanswered: usize,
}

struct World {
    play: Play,
    rng: SmallRng,
    events: BinaryHeap<Reverse<(u64, Event)>>,
    nodes: Vec<Node>,
    upstreams: Vec<Upstream>,
    requests: Vec<Request>,
    searching: HashMap<usize, Searching>,
}

fn data_centre_of(upstream: usize) -> usize {
    upstream / UPSTREAMS_PER_DATA_CENTRE
}

fn search_request(now_us: u64) -> SearchRequest {
    SearchRequest {
        service: "dispatch".into(),
        tried: Vec::new(),
        body_bytes: 0,
        goal: SearchGoal::Best { until_us: now_us + SEARCH_US },
        regions: AllowedRegions::ANY,
        priority: 0,
    }
}

fn node(data_centre: usize, two: Two, seed: u64) -> Node {
    let mut pool = Pool::new(RankingOptions::default(), DATA_CENTRES[data_centre].into(), seed);
    let data_centres = if two == Two::Absent { 1 } else { DATA_CENTRES.len() };
    for upstream in 0..data_centres * UPSTREAMS_PER_DATA_CENTRE {
        let data_centre = DATA_CENTRES[data_centre_of(upstream)].into();
        pool.upsert(UpstreamRecord { data_centre, ..record(&format!("i-{upstream}"), 1) }, 0);
    }
    let listed = pool.candidates(
        &"dispatch".into(),
        &CandidateCriteria {
            tried: &[],
            body_bytes: 0,
            count: 2 * UPSTREAMS_PER_DATA_CENTRE,
            regions: &AllowedRegions::ANY,
            priority: 0,
        },
        0,
    );
    let number = |key: UpstreamKey| -> usize {
        pool.get(key).unwrap().id().as_str().trim_start_matches("i-").parse().unwrap()
    };
    let upstreams: HashMap<UpstreamKey, usize> = listed.iter().map(|key| (*key, number(*key))).collect();
    let mut keys = listed;
    keys.sort_by_key(|key| upstreams[key]);
    Node { pool, keys, upstreams }
}

fn play(play: Play) -> Vec<Request> {
    let mut world = World {
        rng: SmallRng::seed_from_u64(7),
        events: BinaryHeap::new(),
        nodes: (0..2 * play.nodes_per_data_centre)
            .map(|number| node(number / play.nodes_per_data_centre, play.two, number as u64))
            .collect(),
        upstreams: vec![Upstream::default(); DATA_CENTRES.len() * UPSTREAMS_PER_DATA_CENTRE],
        requests: Vec::new(),
        searching: HashMap::new(),
        play,
    };
    (0..2).for_each(|data_centre| world.schedule(S, Event::Arrival { data_centre }));
    while let Some(Reverse((now_us, event))) = world.events.pop() {
        world.handle(event, now_us);
    }
    world.requests
}

impl World {
    fn schedule(&mut self, at_us: u64, event: Event) {
        self.events.push(Reverse((at_us, event)));
    }

    fn handle(&mut self, event: Event, now_us: u64) {
        match event {
            Event::Arrival { data_centre } => self.arrive(data_centre, now_us),
            Event::Continue { request, round } => {
                if self.searching.get(&request).is_some_and(|searching| searching.round == round) {
                    self.step(request, now_us);
                }
            }
            Event::ProbeAnswer { request, round, upstream } => {
                self.probe_answered(request, round, upstream, now_us);
            }
            Event::ProbeLost { node, upstream } => self.probe_lost(node, upstream, now_us),
            Event::WorkDone { request } => self.work_done(request, now_us),
        }
    }

    fn arrive(&mut self, data_centre: usize, now_us: u64) {
        if now_us >= self.play.until_us {
            return;
        }
        let rate_per_s = (self.play.demand)(now_us)[data_centre] * ROOM_PER_S;
        let wait_us = -(1.0 - self.rng.random::<f64>()).ln() / rate_per_s * S as f64;
        self.schedule(now_us + wait_us as u64, Event::Arrival { data_centre });
        let nodes = self.play.nodes_per_data_centre;
        let node = data_centre * nodes + self.rng.random_range(0..nodes);
        let request = self.requests.len();
        self.requests.push(Request { arrived_us: now_us, data_centre, node, ..Request::default() });
        let search = Search::new(OPTIONS, search_request(now_us)).with_baseline_ms((WORK_US / MS) as f64);
        self.searching.insert(request, Searching { search, round: 0, unanswered: 0 });
        self.step(request, now_us);
    }

    fn step(&mut self, request: usize, now_us: u64) {
        let Some(searching) = self.searching.get_mut(&request) else { return };
        let Request { node, data_centre, .. } = self.requests[request];
        searching.round += 1;
        let round = searching.round;
        match searching.search.next(&mut self.nodes[node].pool, now_us) {
            SearchStep::Done(found) => self.found(request, found, now_us),
            SearchStep::Pause { pause_us } => {
                self.schedule(now_us + pause_us, Event::Continue { request, round });
            }
            SearchStep::Probe { upstreams, timeout_us } => {
                searching.unanswered = upstreams.len();
                self.schedule(now_us + timeout_us, Event::Continue { request, round });
                for key in upstreams {
                    let upstream = self.nodes[node].upstreams[&key];
                    let two = data_centre_of(upstream) == 1;
                    if two && self.play.two == Two::Unreachable {
                        self.schedule(now_us + PROBE_TIMEOUT_US, Event::ProbeLost { node, upstream });
                        continue;
                    }
                    let is_far = usize::from(data_centre_of(upstream) != data_centre);
                    let at_us = now_us + ROUND_TRIP_US[is_far];
                    self.schedule(at_us, Event::ProbeAnswer { request, round, upstream });
                }
            }
        }
    }

    fn probe_answered(&mut self, request: usize, round: usize, upstream: usize, now_us: u64) {
        let load = self.report(upstream);
        let Request { node, data_centre, .. } = self.requests[request];
        let is_far = usize::from(data_centre_of(upstream) != data_centre);
        let node = &mut self.nodes[node];
        let key = node.keys[upstream];
        node.pool.record_load(key, load, now_us);
        node.pool.record_probe_round_trip(key, ROUND_TRIP_US[is_far]);
        let Some(searching) = self.searching.get_mut(&request) else { return };
        if searching.round != round {
            return;
        }
        searching.unanswered -= 1;
        if searching.search.record_probe_response(key, &node.pool, now_us) {
            self.found(request, Found::Uncontended(key), now_us);
        } else if searching.unanswered == 0 {
            self.step(request, now_us);
        }
    }

    fn probe_lost(&mut self, node: usize, upstream: usize, now_us: u64) {
        let node = &mut self.nodes[node];
        let outcome = ProbeOutcome::NoAnswer { waited_us: PROBE_TIMEOUT_US, timeout_us: PROBE_TIMEOUT_US };
        node.pool.get_mut(node.keys[upstream]).unwrap().record_probe(outcome, now_us);
    }

    fn report(&self, upstream: usize) -> UpstreamLoad {
        let Upstream { running, waiting } = &self.upstreams[upstream];
        if data_centre_of(upstream) == 1 && self.play.two == Two::ReportsFree {
            return UpstreamLoad { running: 0, waiting: 0, slots: SLOTS, slowdown_percent: 100 };
        }
        let waiting = waiting.len() as u32;
        UpstreamLoad { running: *running, waiting, slots: SLOTS, slowdown_percent: 100 }
    }

    /// Sends the request if a slot is free as far as its node knows, else refuses it.
    fn found(&mut self, request: usize, found: Found, now_us: u64) {
        self.searching.remove(&request);
        let node = &mut self.nodes[self.requests[request].node];
        let key = match found {
            Found::Uncontended(key) => key,
            Found::Contended(key) if node.pool.has_capacity(key, now_us) => key,
            Found::Contended(_) | Found::NoUpstream(_) => return,
        };
        let upstream = node.upstreams[&key];
        self.requests[request].upstream = Some(upstream);
        if data_centre_of(upstream) == 1 && self.play.two == Two::Unreachable {
            return;
        }
        node.pool.get_mut(key).unwrap().request_started();
        self.upstreams[upstream].waiting.push_back(request);
        self.start_work(upstream, now_us);
    }

    fn start_work(&mut self, upstream: usize, now_us: u64) {
        let state = &mut self.upstreams[upstream];
        if state.running < SLOTS
            && let Some(request) = state.waiting.pop_front()
        {
            state.running += 1;
            self.schedule(now_us + WORK_US, Event::WorkDone { request });
        }
    }

    fn work_done(&mut self, request: usize, now_us: u64) {
        let Request { node, upstream: Some(upstream), .. } = self.requests[request] else { return };
        self.requests[request].ended_us = Some(now_us);
        let node = &mut self.nodes[node];
        let key = node.keys[upstream];
        node.pool.get_mut(key).unwrap().request_finished();
        self.upstreams[upstream].running -= 1;
        self.start_work(upstream, now_us);
    }
}

/// Share of the requests of a data centre that arrived in a span of seconds, for which a predicate holds.
fn share(
    requests: &[Request],
    data_centre: usize,
    from_s: f64,
    to_s: f64,
    holds: fn(&Request) -> bool,
) -> f64 {
    let span = (from_s * S as f64) as u64..(to_s * S as f64) as u64;
    let in_span =
        requests.iter().filter(|one| one.data_centre == data_centre && span.contains(&one.arrived_us));
    let (all, held) =
        in_span.fold((0_usize, 0_usize), |(all, held), one| (all + 1, held + usize::from(holds(one))));
    held as f64 / all.max(1) as f64
}

fn step_up_and_down(now_us: u64) -> [f64; 2] {
    let is_crest = (3 * S..6 * S).contains(&now_us);
    [if is_crest { 1.3 } else { 0.4 }, 0.4]
}

fn step_play(nodes_per_data_centre: usize, two: Two) -> Vec<Request> {
    play(Play { nodes_per_data_centre, demand: step_up_and_down, two, until_us: 9 * S })
}

/// Seconds before, in and after the crest of [`step_up_and_down`].
const SPANS_S: [(f64, f64); 3] = [(1.0, 3.0), (3.0, 6.0), (6.0, 9.0)];
/// Nodes per data centre: each sends many requests a second, or one every few seconds.
const FLEETS: [usize; 2] = [9, 900];

#[gtest]
fn demand_beyond_the_room_of_a_data_centre_is_served_in_another() {
    for nodes in FLEETS {
        let requests = step_play(nodes, Two::Healthy);
        for data_centre in 0..2 {
            for (from_s, to_s) in SPANS_S {
                let in_time = share(&requests, data_centre, from_s, to_s, Request::is_in_time);
                expect_that!(in_time, ge(0.97), "{nodes} nodes, data centre {data_centre}, from {from_s} s");
            }
            for (from_s, to_s) in [(1.0, 3.0), (6.5, 9.0)] {
                let far = share(&requests, data_centre, from_s, to_s, Request::is_far);
                expect_that!(far, le(0.1), "{nodes} nodes, data centre {data_centre}, from {from_s} s");
            }
        }
    }
}

#[gtest]
fn a_step_of_demand_causes_no_oscillation_between_data_centres() {
    for nodes in FLEETS {
        let requests = step_play(nodes, Two::Healthy);
        let far = |from_s| share(&requests, 0, from_s, from_s + 0.5, Request::is_far);
        for from_s in [3.5, 4.0, 4.5, 5.0, 5.5] {
            expect_that!(far(from_s), all!(ge(0.2), le(0.45)), "{nodes} nodes, in the crest, {from_s} s");
        }
        for from_s in [7.0, 7.5, 8.0, 8.5] {
            expect_that!(far(from_s), le(0.15), "{nodes} nodes, after the crest, {from_s} s");
        }
    }
}

#[gtest]
fn a_data_centre_that_fails_costs_few_requests_compared_with_one_that_is_absent() {
    for nodes in FLEETS {
        let in_time =
            |requests: &[Request], (from_s, to_s)| share(requests, 0, from_s, to_s, Request::is_in_time);
        let absent = step_play(nodes, Two::Absent);
        for two in [Two::ReportsFree, Two::Unreachable] {
            let requests = step_play(nodes, two);
            for span_s in SPANS_S {
                let bound = in_time(&absent, span_s) - 0.06;
                expect_that!(in_time(&requests, span_s), ge(bound), "{two:?}, {nodes} nodes, {span_s:?}");
            }
        }
    }
}

#[gtest]
fn an_uncontended_upstream_far_away_is_chosen_for_long_work_only() {
    let Node { mut pool, keys, .. } = node(0, Two::Healthy, 1);
    let (near, far) = (keys[0], keys[UPSTREAMS_PER_DATA_CENTRE]);
    pool.record_probe_round_trip(near, 2 * MS);
    pool.record_probe_round_trip(far, 20 * MS);
    let idle = UpstreamLoad { running: 0, waiting: 0, slots: SLOTS, slowdown_percent: 100 };
    pool.record_load(far, idle, S);
    let is_chosen = |baseline_ms| {
        let mut search = Search::new(OPTIONS, search_request(S)).with_baseline_ms(baseline_ms);
        search.record_probe_response(far, &pool, S)
    };
    expect_that!(is_chosen(500.0), eq(true));
    expect_that!(is_chosen(20.0), eq(false));
}

/// Share of the probes of a search's first pass that go to another data centre, after some reports of
/// contended upstreams near the node.
fn far_share_of_first_pass(contended_reports: usize, body_bytes: usize) -> f64 {
    let Node { mut pool, keys, upstreams } = node(0, Two::Healthy, 1);
    let full = UpstreamLoad { running: SLOTS, waiting: 1, slots: SLOTS, slowdown_percent: 100 };
    keys[..contended_reports].iter().for_each(|key| pool.record_load(*key, full, S));
    let mut probed = Vec::new();
    for _ in 0..500 {
        let mut search = Search::new(OPTIONS, SearchRequest { body_bytes, ..search_request(S) });
        while let SearchStep::Probe { upstreams, .. } = search.next(&mut pool, S) {
            probed.extend(upstreams);
        }
    }
    let far = probed.iter().filter(|key| data_centre_of(upstreams[key]) == 1).count();
    far as f64 / probed.len() as f64
}

#[gtest]
fn the_first_pass_goes_to_another_data_centre_only_after_several_contended_reports() {
    expect_that!(far_share_of_first_pass(0, 0), eq(0.0));
    expect_that!(far_share_of_first_pass(1, 0), eq(0.0));
    expect_that!(far_share_of_first_pass(10, 0), ge(0.3));
}

#[gtest]
fn fewer_requests_with_large_bodies_go_to_another_data_centre() {
    expect_that!(far_share_of_first_pass(10, 60_000), le(far_share_of_first_pass(10, 0) - 0.02));
}
