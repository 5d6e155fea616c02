//! What callers get in a burst, with and without a queue at upstreams: a simulated service whose upstreams are disturbed by neighbours,
//! and callers who come back when they are refused.

mod common;

use {
    common::route,
    googletest::prelude::*,
    pointvane_core::{ErrorKind, RouteKind, RouteRule},
    pointvane_dispatch::{AdmissionPolicy, FinishEstimate, RefusedBy, retry_after_ms},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::collections::VecDeque,
};

const STEP_MS: f64 = 5.0;
const UPSTREAMS: usize = 30;
const SLOTS: usize = 4;
const TARGET_MS: u64 = 1_000;
/// Share of the time for which neighbours slow an upstream down, how much, and how long they last.
const NOISE_SHARE: f64 = 0.3;
const NOISE_SLOWDOWN: f64 = 7.0;
const NOISE_MS: f64 = 500.0;
/// Times that a caller comes back.
const RETURNS_MAX: u32 = 2;
const CALM_MS: f64 = 2_000.0;
const BURST_MS: f64 = 5_000.0;
const END_MS: f64 = 15_000.0;

/// A caller's request.
#[derive(Clone, Copy)]
struct Request {
    first_sent_ms: f64,
    arrives_ms: f64,
    returns: u32,
}

/// An upstream with work that runs (what is left of it, in milliseconds) and work that waits.
#[derive(Clone, Default)]
struct Upstream {
    running: Vec<(f64, Request)>,
    waiting: VecDeque<Request>,
    noisy: bool,
}

/// A service: how long work takes, and how much longer at a full upstream.
#[derive(Clone, Copy)]
struct Service {
    work_ms: f64,
    full_slowdown: f64,
}

impl Upstream {
    fn slowdown(&self) -> f64 {
        if self.noisy { NOISE_SLOWDOWN } else { 1.0 }
    }

    fn occupancy(&self) -> f64 {
        (self.running.len() + self.waiting.len() + 1) as f64 / SLOTS as f64
    }

    /// Expected latency of one more request, as a node computes it.
    fn expected_ms(&self, service: Service) -> f64 {
        let full = if self.occupancy() >= 1.0 { service.full_slowdown } else { 1.0 };
        service.work_ms * self.slowdown() * self.occupancy().max(1.0) * full
    }

    /// Works for a step; gives the requests that are done.
    fn step(&mut self, service: Service, rng: &mut SmallRng) -> Vec<Request> {
        if rng.random_bool(STEP_MS / NOISE_MS) {
            self.noisy = rng.random_bool(NOISE_SHARE);
        }
        while self.running.len() < SLOTS {
            let Some(request) = self.waiting.pop_front() else { break };
            let work_ms = service.work_ms * rng.random_range(0.6..1.4);
            self.running.push((work_ms * self.slowdown(), request));
        }
        let full = if self.running.len() == SLOTS { service.full_slowdown } else { 1.0 };
        self.running.iter_mut().for_each(|(left_ms, _)| *left_ms -= STEP_MS / full);
        let done = self.running.iter().filter(|(left_ms, _)| *left_ms <= 0.0).map(|(_, request)| *request);
        let done = done.collect();
        self.running.retain(|(left_ms, _)| *left_ms > 0.0);
        done
    }
}

/// The share of the requests that are answered within their target; `full_factor` is what nodes have learned of full upstreams.
fn in_time(service: Service, burst_per_s: f64, full_factor: f64, seed: u64) -> f64 {
    let route = RouteRule { target_latency_ms: TARGET_MS, ..route(RouteKind::Unsafe) };
    let policy = AdmissionPolicy::default();
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut upstreams = vec![Upstream::default(); UPSTREAMS];
    let mut callers: Vec<Request> = Vec::new();
    let (mut sent, mut good) = (0, 0);
    let mut now_ms = 0.0;
    while now_ms < END_MS {
        let bursts = (CALM_MS..CALM_MS + BURST_MS).contains(&now_ms);
        let rate_per_s = if bursts { burst_per_s } else { burst_per_s / 3.0 };
        for _ in 0..10 {
            if rng.random_bool(rate_per_s * STEP_MS / 1e3 / 10.0) {
                callers.push(Request { first_sent_ms: now_ms, arrives_ms: now_ms, returns: 0 });
                sent += 1;
            }
        }
        let (now, later): (Vec<_>, Vec<_>) = callers.into_iter().partition(|one| one.arrives_ms <= now_ms);
        callers = later;
        for request in now {
            let cost = |upstream: &&mut Upstream| upstream.expected_ms(service);
            let best = upstreams.iter_mut().min_by(|a, b| cost(a).total_cmp(&cost(b))).unwrap();
            let expected_ms = best.expected_ms(service);
            let occupancy = best.occupancy();
            let estimate = FinishEstimate { elapsed_ms: 0.0, expected_ms, occupancy, full_factor };
            if policy.admits(&route, &estimate, best.occupancy() <= 1.0) {
                best.waiting.push_back(request);
            } else if request.returns < RETURNS_MAX {
                let after_ms =
                    retry_after_ms(&route, ErrorKind::Overloaded, RefusedBy::Node, None, rng.random())
                        .unwrap();
                let (arrives_ms, returns) = (now_ms + f64::from(after_ms), request.returns + 1);
                callers.push(Request { arrives_ms, returns, ..request });
            }
        }
        for upstream in &mut upstreams {
            let done = upstream.step(service, &mut rng);
            let is_in_time = |request: &&Request| now_ms - request.first_sent_ms <= TARGET_MS as f64;
            good += done.iter().filter(is_in_time).count();
        }
        now_ms += STEP_MS;
    }
    good as f64 / sent as f64
}

fn mean_in_time(service: Service, burst_per_s: f64, full_factor: f64) -> f64 {
    (0..10).map(|seed| in_time(service, burst_per_s, full_factor, seed)).sum::<f64>() / 10.0
}

/// No queue, whatever is expected.
const NO_QUEUE: f64 = f64::INFINITY;

/// The upstreams bear some 255 requests a second. In time without a queue and with one: 0.929 and 0.959 at 240 a second, 0.883 and 0.924
/// at 260. For as long as more comes than they bear a queue only makes all late, so what it may hold is bounded: 0.833 and 0.781 at 280.
#[gtest]
fn in_a_burst_more_are_in_time_if_what_is_in_time_may_wait_at_an_upstream() {
    let service = Service { work_ms: 350.0, full_slowdown: 1.0 };
    for (burst_per_s, gain) in [(200.0, 0.0), (240.0, 0.02), (260.0, 0.02), (280.0, -0.07)] {
        let without = mean_in_time(service, burst_per_s, NO_QUEUE);
        let with = mean_in_time(service, burst_per_s, 1.0);
        println!("{burst_per_s} a second: {without:.3} without a queue, {with:.3} with one");
        expect_that!(with, gt(without + gain), "{burst_per_s} a second");
    }
}

/// In time without a queue, with one of whatever is in time by the margin, and with the one that is kept short by what was learned: 0.794, 0.728 and
/// 0.794 at 250 a second.
#[gtest]
fn where_full_upstreams_slow_down_the_queue_that_is_kept_short_does_no_harm() {
    let service = Service { work_ms: 280.0, full_slowdown: 1.7 };
    for burst_per_s in [200.0, 250.0, 300.0] {
        let without = mean_in_time(service, burst_per_s, NO_QUEUE);
        let any = mean_in_time(service, burst_per_s, 1.0);
        let short = mean_in_time(service, burst_per_s, 1.7);
        println!(
            "{burst_per_s} a second: {without:.3} without, {any:.3} with any, {short:.3} with a short one"
        );
        expect_that!(short, ge(without - 0.01), "{burst_per_s} a second");
        expect_that!(short, ge(any - 0.01), "{burst_per_s} a second");
    }
}
