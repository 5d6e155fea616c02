//! Fault-injection soak test: real node processes run between stand-in upstreams and a stand-in store. Faults
//! drawn from a seed are injected while callers send requests. The guarantees are checked against what
//! callers and upstreams observed and what the store had acknowledged.
//!
//! CI runs a short selection. `POINTVANE_SOAK_SEEDS=100..150 cargo test -p pointvane-standins --test soak`
//! runs other seeds. Every tenth seed, or every seed if `POINTVANE_SOAK_LARGE=1` is set, runs at full size:
//! as many nodes as the machine can run, or the number in `POINTVANE_SOAK_NODES`. `POINTVANE_SOAK_CONTROL=1`
//! runs the same plans without faults. Nodes are processes; upstreams, the store and callers are threads of
//! the harness.

#[path = "soak/caller.rs"]
mod caller;
#[path = "soak/connection.rs"]
mod connection;
#[path = "soak/contention.rs"]
mod contention;
#[path = "soak/crashing_request.rs"]
mod crashing_request;
#[path = "soak/departures.rs"]
mod departures;
#[path = "soak/evacuations.rs"]
mod evacuations;
#[path = "soak/fault_history.rs"]
mod fault_history;
#[path = "soak/faults.rs"]
mod faults;
#[path = "soak/fleet.rs"]
mod fleet;
#[path = "soak/limits.rs"]
mod limits;
#[path = "soak/machine.rs"]
mod machine;
#[path = "soak/malformed.rs"]
mod malformed;
#[path = "soak/node.rs"]
mod node;
#[path = "soak/notices.rs"]
mod notices;
#[path = "soak/partitions.rs"]
mod partitions;
#[path = "soak/peer_proxy.rs"]
mod peer_proxy;
#[path = "soak/plan.rs"]
mod plan;
#[path = "soak/proxy.rs"]
mod proxy;
#[path = "soak/record.rs"]
mod record;
#[path = "soak/recovery.rs"]
mod recovery;
#[path = "soak/restarts.rs"]
mod restarts;
#[path = "soak/series.rs"]
mod series;
#[path = "soak/upstreams.rs"]
mod upstreams;
mod users_platform;
#[path = "soak/version_checks.rs"]
mod version_checks;
#[path = "soak/versions.rs"]
mod versions;

use {
    caller::Caller,
    fleet::Fleet,
    plan::Plan,
    rand::{SeedableRng, rngs::SmallRng},
    record::Record,
    std::{
        env,
        panic::{AssertUnwindSafe, catch_unwind},
        path::Path,
        sync::atomic::{AtomicBool, AtomicU64, Ordering},
        thread,
        time::{Duration, Instant},
    },
};

/// Seeds that CI runs. The fourth has a large configuration. In the following ones, in order: upstreams crash
/// while they run a certain request; upstreams request pauses; upstreams also restart under their identities;
/// upstreams also announce limits; nodes are cut off from all upstreams; all upstreams report that they are full;
/// and upstreams send malformed responses.
const CI_SEEDS: [u64; 11] = [1, 2, 3, 102, 6_001, 7_001, 8_001, 10_001, 11_001, 12_001, 13_002];
/// Seeds that have violated a guarantee before, which CI runs too; each states the cause. Such seeds with 40
/// or more nodes are left to manual runs: the store stand-in took up to 8.0 s to answer there, so that no
/// node received updates.
const REGRESSION_SEEDS: [u64; 2] = [
    // An upstream that was pushed to a node between two full reads stayed listed there after it had left
    // (`tests/relays.rs`).
    5_044,
    // The part of a body without a length that an upstream had sent before it crashed was passed on as whole.
    13_041,
];

/// Environment variable that disables faults: violations then come from the load of the machine alone.
const CONTROL_ENV: &str = "POINTVANE_SOAK_CONTROL";
/// Duration of a run without faults.
const CONTROL_DURATION: Duration = Duration::from_secs(20);

/// Stops the callers when dropped, also if the harness panics: a thread scope waits for all of its threads.
struct StopOnDrop<'a>(&'a AtomicBool);

impl Drop for StopOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// Runs `action` while callers send requests.
fn run_with_callers(
    fleet: &Fleet,
    plan: &Plan,
    seed: u64,
    record: &Record,
    ids: &AtomicU64,
    action: impl FnOnce(),
) {
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        let stop = &stop;
        let _stop = StopOnDrop(stop);
        scope.spawn(move || fleet.machine_stalls.record_stalls(stop));
        for caller in 0..plan.callers {
            let mut caller = Caller::new(fleet, record, ids, plan, seed * 1_000 + caller as u64);
            scope.spawn(move || caller.run(stop));
        }
        action();
    });
}

/// Runs the fault threads and the rolling series concurrently.
fn inject_faults(fleet: &Fleet, plan: &Plan, seed: u64) {
    let rng = |number: usize| SmallRng::seed_from_u64(seed * 1_000 + 500 + number as u64);
    thread::scope(|scope| {
        for thread_index in 0..plan.fault_threads {
            scope.spawn(move || faults::run(fleet, &mut rng(thread_index), plan.faults_per_thread));
        }
        scope.spawn(move || series::run(fleet, plan, &mut rng(plan.fault_threads)));
        if plan.evacuations {
            scope.spawn(move || evacuations::run(fleet, &mut rng(plan.fault_threads + 1)));
        }
        if plan.notices {
            scope.spawn(move || notices::run(fleet, &mut rng(plan.fault_threads + 3)));
        }
        if plan.restarts {
            scope.spawn(move || restarts::run(fleet, &mut rng(plan.fault_threads + 4)));
        }
        if plan.limits {
            scope.spawn(move || limits::run(fleet, &mut rng(plan.fault_threads + 5)));
        }
        if plan.partitions {
            scope.spawn(move || partitions::run(fleet, &mut rng(plan.fault_threads + 6)));
        }
        if plan.contention {
            scope.spawn(move || contention::run(fleet, &mut rng(plan.fault_threads + 7)));
        }
        if plan.malformed {
            scope.spawn(move || malformed::run(fleet, &mut rng(plan.fault_threads + 8)));
        }
        if plan.crashes {
            scope.spawn(move || crashing_request::run(fleet, &mut rng(plan.fault_threads + 2)));
        }
    });
}

/// Runs one seed and returns the guarantees that were violated.
fn run_seed(seed: u64) -> Vec<String> {
    let (plan, started_at) = (Plan::of(seed), Instant::now());
    let fleet = Fleet::start(&plan);
    let (record, ids) = (Record::default(), AtomicU64::new(0));
    run_with_callers(&fleet, &plan, seed, &record, &ids, || {
        match env::var_os(CONTROL_ENV) {
            Some(_) => thread::sleep(CONTROL_DURATION),
            None => inject_faults(&fleet, &plan, seed),
        }
        thread::sleep(recovery::RECOVERY_TIME);
    });
    recovery::check(&fleet, &record, &ids);
    let departed = departures::check(&fleet, &record);
    evacuations::check(&fleet, &record);
    let crashed = crashing_request::check(&fleet, &record);
    let notices = notices::check(&fleet, &record);
    let restarted = restarts::check(&fleet, &record);
    let limit_windows = limits::check(&fleet, &record);
    let calm_nodes = if plan.contention { contention::check(&fleet, &record) } else { 0 };
    let upstreams: Vec<_> = fleet.upstreams().into_iter().map(|one| one.upstream).collect();
    let violations = record.violations(&upstreams);
    let report = summary(&fleet, &plan, &record, departed, crashed)
        + &format!(
            ", {notices:?} notices checked, {restarted} restarted, {limit_windows} limit windows checked, \
             {calm_nodes} nodes calm again"
        );
    println!("seed {seed}: {report}, {} s, {} violations", started_at.elapsed().as_secs(), violations.len());
    if !violations.is_empty() {
        println!("seed {seed}: node logs are kept in {}", fleet.keep_logs(seed).display());
    }
    violations
}

/// Summarizes a run in one line. `departed` counts upstreams that left, and arrivals there after they had
/// left.
fn summary(fleet: &Fleet, plan: &Plan, record: &Record, departed: (usize, usize), crashed: usize) -> String {
    let overdue: u32 = fleet.nodes.iter().map(|node| node.overdue.load(Ordering::SeqCst)).sum();
    format!(
        "{} nodes, {} of {} upstreams left, {} versions of {}+ routes, {:?}, answers {:?}, \
         {} version answers checked, \
         {} arrivals after departures, {crashed} crashes under one request, \
         {overdue} stops over the grace period, {} stalls, store's slowest answer {:?}",
        plan.nodes,
        departed.0,
        fleet.upstreams().len(),
        fleet.versions.newest(),
        plan.extra_routes,
        fleet.counts(),
        record.answers(),
        record.version_checks.checked(),
        departed.1,
        fleet.machine_stalls.count(),
        fleet.store.slowest_response(),
    )
}

/// Returns the seeds to run: those of the environment if set, otherwise those of CI.
fn seeds() -> Vec<u64> {
    let Ok(range) = env::var("POINTVANE_SOAK_SEEDS") else {
        return CI_SEEDS.into_iter().chain(REGRESSION_SEEDS).collect();
    };
    let (from, to) = range.split_once("..").expect("seeds have the form FROM..TO");
    (from.parse().expect("a number")..to.parse().expect("a number")).collect()
}

#[test]
fn guarantees_hold_during_faults_of_nodes_store_and_upstreams() {
    let violations: Vec<(u64, Vec<String>)> = seeds()
        .into_iter()
        .map(|seed| (seed, run_seed(seed)))
        .filter(|(_, violations)| !violations.is_empty())
        .collect();
    assert!(violations.is_empty(), "{violations:#?}");
}

#[test]
fn nodes_end_when_a_harness_thread_panics() {
    let plan = Plan::of(1);
    let mut processes = Vec::new();
    let panicked = catch_unwind(AssertUnwindSafe(|| {
        let fleet = Fleet::start(&plan);
        processes = fleet.nodes.iter().filter_map(node::Node::process_id).collect();
        let (record, ids) = (Record::default(), AtomicU64::new(0));
        run_with_callers(&fleet, &plan, 1, &record, &ids, || {
            thread::scope(|scope| _ = scope.spawn(|| panic!("injected panic, as if addresses had run out")));
        });
    }));
    assert!(panicked.is_err());
    assert_eq!(processes.len(), plan.nodes);
    let running = processes.iter().filter(|id| Path::new(&format!("/proc/{id}")).exists());
    assert_eq!(running.count(), 0, "nodes still run after the harness panicked");
}
