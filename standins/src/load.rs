//! Load generator: open-loop calls with Poisson arrivals. Latency counts from the scheduled arrival, unless a kind
//! of call is [timed from its sending](CallKind::timed_from_send); every response is checked.

use {
    hdrhistogram::Histogram,
    pointvane_core::Class,
    rand::{Rng, SeedableRng, rngs::StdRng},
    rand_distr::{Distribution, Exp},
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{
        task::JoinSet,
        time::{Instant as TokioInstant, sleep_until},
    },
};

mod call;
mod report;
mod route;

pub use {
    call::{Call, CallKind, CallOutcome},
    report::{KindReport, LoadReport},
    route::Callers,
};

/// The load to generate on one service.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Addresses of locate, which callers ask for entry VMs.
    pub locates: Vec<SocketAddr>,
    /// Name of the service, also its path prefix.
    pub service: String,
    /// Kinds of calls and their rates.
    pub rates: Vec<Rate>,
    /// Duration of the load.
    pub time: Duration,
    /// Deadline sent with each call, in milliseconds.
    pub deadline_ms: u64,
    /// Seed of the arrival times and call ids.
    pub seed: u64,
    /// Initial period whose calls are checked and counted, but left out of the latencies.
    pub warm_up: Duration,
}

/// The rate of one kind of call.
#[derive(Clone, Debug)]
pub struct Rate {
    /// Kind of call.
    pub kind: CallKind,
    /// Mean calls per second; no calls are made at 0 or below.
    pub per_s: f64,
}

/// How long calls in flight are awaited after the last arrival.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(20);

/// Generates the load, waits for the calls in flight and reports their outcomes.
pub async fn run(plan: &LoadPlan) -> LoadReport {
    let callers = Arc::new(Callers::new(plan.locates.clone(), plan.service.clone()));
    let report = Arc::new(Mutex::new(LoadReport::default()));
    let mut streams = JoinSet::new();
    for (number, rate) in plan.rates.iter().enumerate() {
        let stream = CallStream {
            callers: Arc::clone(&callers),
            report: Arc::clone(&report),
            plan: plan.clone(),
            rate: rate.clone(),
            seed: plan.seed.wrapping_mul(1_000) + number as u64,
        };
        streams.spawn(stream.run());
    }
    while streams.join_next().await.is_some() {}
    report.lock().unwrap_or_else(PoisonError::into_inner).clone()
}

/// Generates the calls of one kind.
struct CallStream {
    callers: Arc<Callers>,
    report: Arc<Mutex<LoadReport>>,
    plan: LoadPlan,
    rate: Rate,
    seed: u64,
}

impl CallStream {
    /// Runs one call and records its outcome in the report.
    fn call(&self, call: Call, due: Instant, timed: bool) -> impl Future<Output = ()> + use<> {
        let (callers, report) = (Arc::clone(&self.callers), Arc::clone(&self.report));
        async move {
            let mut latency_from_send = Duration::ZERO;
            let outcome = call.run(&callers, &mut latency_from_send).await;
            let latency = if call.kind.timed_from_send() { latency_from_send } else { due.elapsed() };
            let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
            report.record(&call.kind, &outcome, timed.then_some(latency));
        }
    }

    async fn run(self) {
        if self.rate.per_s <= 0.0 {
            return;
        }
        let mut rng = StdRng::seed_from_u64(self.seed);
        let intervals = Exp::new(self.rate.per_s).unwrap_or_else(|_| panic!("rate {}", self.rate.per_s));
        let start = Instant::now();
        let mut due = start;
        let mut calls = JoinSet::new();
        for number in 0_u64.. {
            due += Duration::from_secs_f64(intervals.sample(&mut rng));
            if due.duration_since(start) >= self.plan.time {
                break;
            }
            sleep_until(TokioInstant::from_std(due)).await;
            let call = Call {
                kind: self.rate.kind.clone(),
                id: format!("{:x}-{number:x}-{:x}", self.seed, rng.random::<u32>()),
                deadline_ms: self.plan.deadline_ms,
                caller: rng.random_range(0..self.callers.len()),
            };
            let timed = due.duration_since(start) >= self.plan.warm_up;
            calls.spawn(self.call(call, due, timed));
            while calls.try_join_next().is_some() {}
        }
        let remaining = async { while calls.join_next().await.is_some() {} };
        if tokio::time::timeout(DRAIN_TIMEOUT, remaining).await.is_err() {
            let mut report = self.report.lock().unwrap_or_else(PoisonError::into_inner);
            report.lost += calls.len() as u64;
        }
    }
}

/// Creates a histogram of latencies in microseconds, up to one minute with three significant digits.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).unwrap_or_else(|error| panic!("histogram bounds: {error}"))
}

/// The request class that a kind of call sends in its header.
fn class_of(kind: &CallKind) -> Class {
    match kind {
        CallKind::Urgent => Class::Urgent,
        _ => Class::Routine,
    }
}
