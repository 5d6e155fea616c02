//! The load tool: open-loop calls, each counted from when it was due; every answer is checked.

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
    call::{Call, CallKind, Ending},
    report::{KindReport, LoadReport},
    route::Callers,
};

/// A load to put on.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Where callers ask for entry VMs.
    pub locates: Vec<SocketAddr>,
    /// The service's name and the prefix of its paths.
    pub service: String,
    /// Kinds of calls, each with its rate per second.
    pub rates: Vec<Rate>,
    /// How long.
    pub time: Duration,
    /// Deadline named in each call, in milliseconds.
    pub deadline_ms: u64,
    /// Seed of the arrivals.
    pub seed: u64,
    /// Time at the start whose calls are checked and counted, but not timed.
    pub warm_up: Duration,
}

/// A kind of call and how often it comes.
#[derive(Clone, Debug)]
pub struct Rate {
    /// The kind.
    pub kind: CallKind,
    /// Calls a second.
    pub per_s: f64,
}

/// Longest time that calls in flight are waited for at the end.
const TAIL: Duration = Duration::from_secs(20);

/// Puts the load on and reports.
pub async fn run(plan: &LoadPlan) -> LoadReport {
    let callers = Arc::new(Callers::new(plan.locates.clone(), plan.service.clone()));
    let report = Arc::new(Mutex::new(LoadReport::default()));
    let mut streams = JoinSet::new();
    for (number, rate) in plan.rates.iter().enumerate() {
        let stream = Stream {
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

/// The calls of one kind.
struct Stream {
    callers: Arc<Callers>,
    report: Arc<Mutex<LoadReport>>,
    plan: LoadPlan,
    rate: Rate,
    seed: u64,
}

impl Stream {
    /// One call, to its end, noted in the report.
    fn call(&self, call: Call, due: Instant, timed: bool) -> impl Future<Output = ()> + use<> {
        let (callers, report) = (Arc::clone(&self.callers), Arc::clone(&self.report));
        async move {
            let mut took = Duration::ZERO;
            let ending = call.run(&callers, &mut took).await;
            let time = if call.kind.counts_from_sending() { took } else { due.elapsed() };
            let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
            report.note(&call.kind, &ending, timed.then_some(time));
        }
    }

    async fn run(self) {
        if self.rate.per_s <= 0.0 {
            return;
        }
        let mut rng = StdRng::seed_from_u64(self.seed);
        let gaps = Exp::new(self.rate.per_s).unwrap_or_else(|_| panic!("rate {}", self.rate.per_s));
        let began = Instant::now();
        let mut due = began;
        let mut calls = JoinSet::new();
        for number in 0_u64.. {
            due += Duration::from_secs_f64(gaps.sample(&mut rng));
            if due.duration_since(began) >= self.plan.time {
                break;
            }
            sleep_until(TokioInstant::from_std(due)).await;
            let call = Call {
                kind: self.rate.kind.clone(),
                id: format!("{:x}-{number:x}-{:x}", self.seed, rng.random::<u32>()),
                deadline_ms: self.plan.deadline_ms,
                caller: rng.random_range(0..self.callers.len()),
            };
            let timed = due.duration_since(began) >= self.plan.warm_up;
            calls.spawn(self.call(call, due, timed));
            while calls.try_join_next().is_some() {}
        }
        let rest = async { while calls.join_next().await.is_some() {} };
        if tokio::time::timeout(TAIL, rest).await.is_err() {
            let mut report = self.report.lock().unwrap_or_else(PoisonError::into_inner);
            report.lost += calls.len() as u64;
        }
    }
}

/// A histogram of microseconds up to a minute, with three digits.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000, 3).unwrap_or_else(|error| panic!("histogram bounds: {error}"))
}

/// The class that a kind of call names in its header.
fn class_of(kind: &CallKind) -> Class {
    match kind {
        CallKind::Urgent => Class::Urgent,
        _ => Class::Routine,
    }
}
