//! Simulation of a service in a burst: nodes with a pool each, which they know by probes alone, upstreams that
//! noisy neighbours slow down, and callers that come back once after a refusal.
#![allow(dead_code)]

use {
    super::common::{record, route},
    pointvane_core::{ErrorKind, RouteKind, RouteRule, UpstreamLoad, UpstreamRecord},
    pointvane_dispatch::{
        AdmissionPolicy, AllowedRegions, CallerProgress, CandidateCriteria, ContendedRequest, FinishEstimate,
        LoadWhenSent, Pool, RankingOptions, RefusedBy, RequestsByPriority, ReturnInputs, RouteLatencies,
        UpstreamKey, admission_pressure, retry_after_ms,
    },
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::collections::VecDeque,
};

const STEP_MS: u64 = 5;
const SLOTS: usize = 6;
pub const TARGET_MS: u64 = 600;
const DEADLINE_MS: u64 = 3_000;
const SERVICE_MS: f64 = 200.0;
/// Share of the time in which neighbours slow an upstream down, and by how much.
const NOISE_SHARE: f64 = 0.1;
const NOISE_SLOWDOWN: f64 = 3.0;
/// Mean time until the noise of an upstream is drawn anew.
const NOISE_MS: f64 = 300.0;
/// Requests per second that one upstream bears, with its noise.
const UPSTREAM_RATE_PER_S: f64 =
    SLOTS as f64 * 1_000.0 / (SERVICE_MS * (1.0 + NOISE_SHARE * (NOISE_SLOWDOWN - 1.0)));
/// Way of a refusal, a new connection, and the way of the request.
const ROUND_TRIP_MS: u64 = 32;
/// Time until a request is sent, for the probes.
const PROBE_MS: u64 = 10;
const CANDIDATES: usize = 6;
pub const BURST_AT_MS: u64 = 4_000;
pub const BURST_MS: u64 = 4_000;
/// Time between two restarts of nodes, in milliseconds.
const RESTART_EVERY_MS: u64 = 200;
const END_MS: u64 = 14_000;
pub const KINDS_MAX: usize = 4;
const MS: u64 = 1_000;

/// How requests are admitted and when callers come back.
#[derive(Clone, Copy, Debug)]
pub enum Design {
    /// A bound as a multiple of the target, and a random return time.
    FixedBound(f64),
    /// By contention, caller and what can be in time.
    Contended,
}

/// A load and the service that it meets.
#[derive(Clone, Copy, Debug)]
pub struct Play {
    pub nodes: usize,
    pub upstreams: usize,
    /// Demand in the burst, as a multiple of what the upstreams bear; 0.5 before and after.
    pub burst: f64,
    /// Demand of each kind of request as a multiple of what the upstreams bear, most urgent first, in the
    /// burst. Empty for a single kind with all of the demand.
    pub kinds: &'static [f64],
    /// Whether half of the nodes restart in the burst, one after the other.
    pub restarts: bool,
    pub seed: u64,
}

/// What became of the requests of the burst, and of those after it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub first_tries: usize,
    pub in_time: usize,
    pub late: usize,
    /// Refusals of first tries, and of second ones.
    pub refused_once: usize,
    pub refused_again: usize,
    /// Work of upstreams on all requests, and on those in time, in milliseconds.
    pub work_ms: f64,
    pub work_in_time_ms: f64,
    /// Requests first sent from 1 s after the burst on, and how many of them are in time.
    pub after: usize,
    pub after_in_time: usize,
    /// First tries and requests in time of each kind.
    pub kinds: [(usize, usize); KINDS_MAX],
}

impl Outcome {
    pub fn work_share(&self) -> f64 {
        self.work_in_time_ms / self.work_ms.max(1.0)
    }

    pub fn refused_again_share(&self) -> f64 {
        self.refused_again as f64 / self.refused_once.max(1) as f64
    }

    pub fn recovered_share(&self) -> f64 {
        self.after_in_time as f64 / self.after.max(1) as f64
    }

    /// Share of a kind that is in time.
    pub fn kind_share(&self, kind: usize) -> f64 {
        let (first_tries, in_time) = self.kinds[kind];
        in_time as f64 / first_tries.max(1) as f64
    }

    /// Adds the outcome of another play.
    pub fn add(&mut self, other: &Self) {
        self.first_tries += other.first_tries;
        self.in_time += other.in_time;
        self.late += other.late;
        self.refused_once += other.refused_once;
        self.refused_again += other.refused_again;
        self.work_ms += other.work_ms;
        self.work_in_time_ms += other.work_in_time_ms;
        self.after += other.after;
        self.after_in_time += other.after_in_time;
        for (kind, other) in self.kinds.iter_mut().zip(other.kinds) {
            *kind = (kind.0 + other.0, kind.1 + other.1);
        }
    }
}

#[derive(Clone, Copy)]
struct Request {
    first_sent_ms: u64,
    arrives_ms: u64,
    has_returned: bool,
    kind: usize,
}

/// A request at an upstream.
#[derive(Clone, Copy)]
struct Work {
    request: Request,
    node: usize,
    key: UpstreamKey,
    sent: LoadWhenSent,
    sent_at_ms: u64,
    service_ms: f64,
    left_ms: f64,
}

#[derive(Clone, Default)]
struct Upstream {
    running: Vec<Work>,
    waiting: VecDeque<Work>,
    is_noisy: bool,
}

impl Upstream {
    fn load(&self) -> UpstreamLoad {
        let slowdown = if self.is_noisy { NOISE_SLOWDOWN } else { 1.0 };
        UpstreamLoad {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            slots: SLOTS as u32,
            slowdown_percent: (slowdown * 100.0) as u32,
        }
    }

    fn step(&mut self, rng: &mut SmallRng) -> Vec<Work> {
        if rng.random_bool(STEP_MS as f64 / NOISE_MS) {
            self.is_noisy = rng.random_bool(NOISE_SHARE);
        }
        while self.running.len() < SLOTS {
            let Some(work) = self.waiting.pop_front() else { break };
            self.running.push(work);
        }
        let slowdown = if self.is_noisy { NOISE_SLOWDOWN } else { 1.0 };
        self.running.iter_mut().for_each(|work| work.left_ms -= STEP_MS as f64 / slowdown);
        let done = self.running.iter().filter(|work| work.left_ms <= 0.0).copied().collect();
        self.running.retain(|work| work.left_ms > 0.0);
        done
    }
}

struct Node {
    pool: Pool,
    latencies: Vec<RouteLatencies>,
    progress: Vec<CallerProgress>,
    priorities: RequestsByPriority,
}

impl Node {
    fn new(upstreams: usize, route: &RouteRule, seed: u64) -> Self {
        let mut pool = Pool::new(RankingOptions::default(), "one".into(), seed);
        for index in 0..upstreams {
            pool.upsert(UpstreamRecord { slots: SLOTS as u32, ..record(&index.to_string(), 1) }, 0);
        }
        Self {
            pool,
            latencies: vec![RouteLatencies::new(route); KINDS_MAX],
            progress: vec![CallerProgress::default(); KINDS_MAX],
            priorities: RequestsByPriority::default(),
        }
    }

    /// Probes candidates and returns the best of them.
    fn probe(&mut self, upstreams: &[Upstream], now_us: u64) -> (usize, UpstreamKey) {
        let criteria = CandidateCriteria {
            tried: &[],
            body_bytes: 0,
            count: CANDIDATES,
            regions: &AllowedRegions::ANY,
            priority: 0,
        };
        let keys = self.pool.candidates(&"dispatch".into(), &criteria, now_us);
        for key in &keys {
            let index = self.index(*key);
            self.pool.record_load(*key, upstreams[index].load(), now_us);
        }
        let cost = |key: &&UpstreamKey| self.pool.cost(**key, now_us);
        let best = *keys.iter().min_by(|a, b| cost(a).total_cmp(&cost(b))).unwrap();
        (self.index(best), best)
    }

    fn index(&self, key: UpstreamKey) -> usize {
        self.pool.get(key).unwrap().id().as_str().parse().unwrap()
    }

    fn record(&mut self, work: &Work, now_ms: u64) {
        let Some(state) = self.pool.get_mut(work.key) else { return };
        state.request_finished();
        let latency_ms = (now_ms - work.sent_at_ms) as f64;
        let expected_multiple = f64::from(work.sent.expected_latency);
        let latencies = &mut self.latencies[work.request.kind];
        if work.sent.occupancy > 1.0 {
            latencies.record_queued(latency_ms, expected_multiple * latencies.baseline_ms());
        }
        let slowdown = latencies.record_attempt(latency_ms, expected_multiple);
        self.pool.record_latency(work.key, slowdown, &work.sent, now_ms * MS);
    }

    /// Decides on a request by two random numbers between 0 and 1, and records the decision; `Err` is the time after which its caller comes back.
    fn decide(
        &mut self,
        design: Design,
        route: &RouteRule,
        request: &Request,
        key: UpstreamKey,
        now_ms: u64,
        [jitter, draw]: [f64; 2],
    ) -> Result<(), u64> {
        let now_us = now_ms * MS;
        let remaining_ms = (request.first_sent_ms + DEADLINE_MS).saturating_sub(now_ms);
        let contention = self.pool.service_contention(&"dispatch".into(), now_us);
        let pressure = admission_pressure(contention);
        let spent_ms = self.progress[request.kind].record(Some(remaining_ms), pressure > 0.0);
        if self.pool.is_uncontended(key, now_us) {
            self.priorities.record(route.priority, true, now_us);
            return Ok(());
        }
        let sent = self.pool.load_when_sent(key, now_us).unwrap();
        let estimate = FinishEstimate {
            elapsed_ms: PROBE_MS as f64,
            expected_latency_ms: f64::from(sent.expected_latency)
                * self.latencies[request.kind].baseline_ms(),
            occupancy: f64::from(sent.occupancy),
            full_slowdown: self.pool.full_slowdown(&"dispatch".into()).into(),
        };
        let has_capacity = self.pool.has_capacity(key, now_us);
        let random_return = || {
            let after_ms =
                retry_after_ms(route, ErrorKind::Overloaded, RefusedBy::Node, None, jitter).unwrap();
            u64::from(after_ms).min(remaining_ms / 3)
        };
        if let Design::FixedBound(target_share) = design {
            let policy = AdmissionPolicy { target_share, ..AdmissionPolicy::default() };
            return policy.admits(route, &estimate, has_capacity).then_some(()).ok_or_else(random_return);
        }
        let inputs = ReturnInputs {
            spent_ms: spent_ms + PROBE_MS as f64,
            expected_latency_ms: estimate
                .expected_latency_ms
                .min(2.0 * self.latencies[request.kind].baseline_ms()),
            remaining_ms: remaining_ms as f64,
        };
        let contended = ContendedRequest {
            pressure,
            mean_occupancy: contention.map_or(0.0, |contention| contention.occupancy.into()),
            spent_ms,
            can_return: spent_ms == 0.0 && inputs.latest_ms(route).is_some(),
            occupancy_max: self.priorities.occupancy_max(route.priority, contention, draw, now_us),
            finish_spread: self.latencies[request.kind].finish_spread(),
        };
        let decision = AdmissionPolicy::default().check(route, &estimate, has_capacity, &contended);
        self.priorities.record(route.priority, decision.is_ok(), now_us);
        decision.map_err(|_| match pressure > 0.0 {
            true => u64::from(inputs.return_after_ms(route, jitter)),
            false => random_return(),
        })
    }
}

pub fn burst_route() -> RouteRule {
    RouteRule { target_latency_ms: TARGET_MS, timeout_ms: 10_000, ..route(RouteKind::Safe) }
}

/// The kind of a request, by the demands of the kinds.
fn draw_kind(demands: &[f64], rng: &mut SmallRng) -> usize {
    let mut draw = rng.random_range(0.0..1.0) * demands.iter().sum::<f64>();
    let reaches = |demand: &f64| {
        draw -= demand;
        draw < 0.0
    };
    demands.iter().position(reaches).unwrap_or(0)
}

/// Plays a burst and returns what became of its requests.
pub fn play(play: Play, design: Design) -> Outcome {
    let routes: Vec<RouteRule> =
        (0..KINDS_MAX).map(|kind| RouteRule { priority: kind as u32, ..burst_route() }).collect();
    let mut rng = SmallRng::seed_from_u64(play.seed);
    let mut upstreams = vec![Upstream::default(); play.upstreams];
    let mut nodes: Vec<Node> =
        (0..play.nodes).map(|node| Node::new(play.upstreams, &routes[0], play.seed + node as u64)).collect();
    let bears_per_step = UPSTREAM_RATE_PER_S * play.upstreams as f64 * STEP_MS as f64 / 1e3;
    let mut pending: Vec<Request> = Vec::new();
    let mut outcome = Outcome::default();
    let mut arrivals = 0.0;
    let in_burst = |ms: u64| (BURST_AT_MS..BURST_AT_MS + BURST_MS).contains(&ms);
    let after_burst = |ms: u64| (BURST_AT_MS + BURST_MS + 1_000..END_MS - 2_000).contains(&ms);
    for now_ms in (0..END_MS).step_by(STEP_MS as usize) {
        arrivals +=
            bears_per_step * if in_burst(now_ms) { play.burst } else { 0.5 } * rng.random_range(0.0..2.0);
        while arrivals >= 1.0 {
            arrivals -= 1.0;
            let kind = draw_kind(play.kinds, &mut rng);
            pending.push(Request { first_sent_ms: now_ms, arrives_ms: now_ms, has_returned: false, kind });
            outcome.first_tries += usize::from(in_burst(now_ms));
            outcome.kinds[kind].0 += usize::from(in_burst(now_ms));
            outcome.after += usize::from(after_burst(now_ms));
        }
        if play.restarts && in_burst(now_ms) && now_ms % RESTART_EVERY_MS == 0 {
            let node = rng.random_range(0..nodes.len());
            nodes[node] = Node::new(play.upstreams, &routes[0], play.seed + now_ms);
        }
        let (due, not_due): (Vec<_>, Vec<_>) =
            pending.into_iter().partition(|request| request.arrives_ms <= now_ms);
        pending = not_due;
        for request in due {
            let node = rng.random_range(0..nodes.len());
            let route = &routes[request.kind];
            let (index, key) = nodes[node].probe(&upstreams, now_ms * MS);
            let counted = in_burst(request.first_sent_ms);
            match nodes[node].decide(design, route, &request, key, now_ms, rng.random()) {
                Ok(()) => {
                    let sent = nodes[node].pool.load_when_sent(key, now_ms * MS).unwrap();
                    nodes[node].pool.get_mut(key).unwrap().request_started();
                    let service_ms = SERVICE_MS * rng.random_range(0.6..1.4);
                    upstreams[index].waiting.push_back(Work {
                        request,
                        node,
                        key,
                        sent,
                        sent_at_ms: now_ms,
                        service_ms,
                        left_ms: service_ms,
                    });
                }
                Err(_) if request.has_returned => outcome.refused_again += usize::from(counted),
                Err(after_ms) => {
                    outcome.refused_once += usize::from(counted);
                    let arrives_ms = now_ms + after_ms + ROUND_TRIP_MS;
                    pending.push(Request { arrives_ms, has_returned: true, ..request });
                }
            }
        }
        for upstream in &mut upstreams {
            for work in upstream.step(&mut rng) {
                nodes[work.node].record(&work, now_ms + STEP_MS);
                let in_time = now_ms + STEP_MS - work.request.first_sent_ms <= TARGET_MS;
                if in_burst(work.request.first_sent_ms) {
                    outcome.work_ms += work.service_ms;
                    outcome.work_in_time_ms += if in_time { work.service_ms } else { 0.0 };
                    outcome.in_time += usize::from(in_time);
                    outcome.kinds[work.request.kind].1 += usize::from(in_time);
                    outcome.late += usize::from(!in_time);
                }
                outcome.after_in_time += usize::from(in_time && after_burst(work.request.first_sent_ms));
            }
        }
    }
    outcome
}

/// The sum of the outcomes with several seeds.
pub fn play_seeds(first: Play, design: Design, seeds: u64) -> Outcome {
    let mut sum = Outcome::default();
    (0..seeds).for_each(|seed| sum.add(&play(Play { seed: first.seed + seed, ..first }, design)));
    sum
}
