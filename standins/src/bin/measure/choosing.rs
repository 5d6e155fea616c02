//! Ways of choosing, under load and faults: real processes, the ways in turn, several runs.

use {
    crate::{
        usage::{Usage, spread, usage},
        ways::{Trial, Way},
    },
    clap::ValueEnum,
    eyre::Result,
    pointvane_standins::{
        deployment::{Deployment, FleetPlan, Plan, Program, ServicePlan},
        load::{self, CallKind, LoadPlan, LoadReport, Rate, Target},
        table::Table,
        upstream::{Behaviour, Done},
    },
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Ways of choosing, under load and faults.
#[derive(clap::Args)]
pub struct Args {
    /// Whose sizes.
    #[arg(long, value_enum, default_value_t = User::Skiphub)]
    user: User,
    /// What befalls the upstreams or the callers.
    #[arg(long, value_enum, default_value_t = Scenario::Calm)]
    scenario: Scenario,
    /// Share of the slots that the calls need.
    #[arg(long, default_value_t = 0.85)]
    load: f64,
    /// Share of the calls that are urgent.
    #[arg(long, default_value_t = 0.2)]
    urgent: f64,
    /// Seconds of each run.
    #[arg(long, default_value_t = 8)]
    seconds: u64,
    /// Runs of each way.
    #[arg(long, default_value_t = 3)]
    runs: u64,
    /// Mean time of service, in milliseconds; longer ones need fewer calls for the same load.
    #[arg(long, default_value_t = 15.0)]
    service_ms: f64,
    /// Entry VMs.
    #[arg(long, default_value_t = 17)]
    entries: usize,
    /// The ways, in the order in which they take turns.
    #[arg(long, value_enum, value_delimiter = ',')]
    ways: Vec<Way>,
    #[command(flatten)]
    trial: Trial,
}

/// Whose sizes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum User {
    /// 30 upstreams with 6 slots; a probe takes 6 ms.
    Skiphub,
    /// 28 upstreams with 3 slots.
    Heatline,
}

/// What befalls the upstreams or the callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Scenario {
    /// Nothing.
    Calm,
    /// Each upstream four times slower for 200 ms every 2 to 6 s.
    Noisy,
    /// One upstream in ten ten times slower.
    Slow,
    /// One upstream fails at once.
    Failing,
    /// Reports 100 ms old.
    Stale,
    /// Reports that always say 0.
    Lying,
    /// Calls three times what the slots can do, throughout.
    Overload,
}

const SIGMA: f64 = 0.8;
const WARM_UP: Duration = Duration::from_secs(2);
const DEADLINE_MS: u64 = 2_000;
const OVERLOAD: f64 = 3.0;
const LOAD_THREADS: usize = 4;

/// What one run gave.
struct Run {
    report: LoadReport,
    time_s: f64,
    probes: f64,
    probe_slot_share: f64,
    control_bytes_per_s: f64,
    cpu_share: f64,
    memory_mb: f64,
}

/// Measures and prints a table.
///
/// # Errors
/// When a deployment does not come up.
pub fn measure(args: &Args) -> Result<()> {
    let ways = if args.ways.is_empty() { Way::value_variants().to_vec() } else { args.ways.clone() };
    let mut shared =
        ways.iter().any(|way| *way != Way::Central).then(|| deploy(args, args.entries)).transpose()?;
    let mut central = ways.contains(&Way::Central).then(|| deploy(args, 1)).transpose()?;
    let mut runs: Vec<(Way, Vec<Run>)> = ways.iter().map(|&way| (way, Vec::new())).collect();
    for seed in 1..=args.runs {
        for (way, done) in &mut runs {
            let deployment = if *way == Way::Central { &mut central } else { &mut shared };
            if let Some(deployment) = deployment {
                done.push(run(args, deployment, *way, seed)?);
            }
        }
    }
    print(args, &runs);
    Ok(())
}

fn deploy(args: &Args, entries: usize) -> Result<Deployment> {
    let (instances, slots, probe_ms) = match args.user {
        User::Skiphub => (30, 6, 6.0),
        User::Heatline => (28, 3, 1.0),
    };
    let service = ServicePlan {
        instances,
        slots,
        service_ms: args.service_ms,
        sigma: SIGMA,
        probe_ms,
        ..ServicePlan::default()
    };
    let threads = if entries == 1 { 4 } else { 2 };
    Deployment::start(Plan {
        data_centres: 3.min(entries),
        entries,
        services: vec![service],
        fleet: FleetPlan::default(),
        settings: format!("[entry]\nworker_threads = {threads}\n\n[log]\nlevel = \"error\"\n"),
    })
}

fn run(args: &Args, deployment: &mut Deployment, way: Way, seed: u64) -> Result<Run> {
    deployment.plan.services[0].rules = way.rules(&args.trial);
    deployment.publish()?;
    deployment.wait_ready()?;
    set_scenario(args, deployment)?;
    let before = Sample::take(deployment);
    let began = Instant::now();
    let report = put_load_on(args, deployment, seed)?;
    let time_s = began.elapsed().as_secs_f64();
    let after = Sample::take(deployment);
    thread::sleep(Duration::from_millis(300));
    Ok(after.since(&before, report, time_s, deployment))
}

fn set_scenario(args: &Args, deployment: &Deployment) -> Result<()> {
    let service = &deployment.plan.services[0];
    for number in 0..service.instances {
        let behaviour = match args.scenario {
            Scenario::Calm | Scenario::Overload => Behaviour::default(),
            Scenario::Noisy => Behaviour { noisy: true, ..Behaviour::default() },
            Scenario::Slow if number % 10 == 0 => Behaviour { slow: 10.0, ..Behaviour::default() },
            Scenario::Failing if number == 0 => Behaviour { failing: true, ..Behaviour::default() },
            Scenario::Slow | Scenario::Failing => Behaviour::default(),
            Scenario::Stale => Behaviour { report_lag_ms: 100, ..Behaviour::default() },
            Scenario::Lying => Behaviour { report_lies: true, ..Behaviour::default() },
        };
        deployment.admin.set_behaviour(deployment.steering(), &service.upstream_name(number), &behaviour)?;
    }
    Ok(())
}

fn put_load_on(args: &Args, deployment: &Deployment, seed: u64) -> Result<LoadReport> {
    let service = &deployment.plan.services[0];
    let slots = service.instances as f64 * f64::from(service.slots);
    let load = if args.scenario == Scenario::Overload { OVERLOAD } else { args.load };
    let per_s = load * slots * 1_000.0 / args.service_ms;
    let plan = LoadPlan {
        target: Target::Uneven(deployment.entries()),
        service: service.name.clone(),
        rates: vec![
            Rate { kind: CallKind::Urgent, per_s: per_s * args.urgent },
            Rate { kind: CallKind::Lookup, per_s: per_s * (1.0 - args.urgent) },
        ],
        time: WARM_UP + Duration::from_secs(args.seconds),
        deadline_ms: DEADLINE_MS,
        seed,
        warm_up: WARM_UP,
    };
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(LOAD_THREADS).enable_all().build()?;
    Ok(runtime.block_on(load::run(&plan)))
}

/// Counters at one moment.
struct Sample {
    asks: f64,
    load_bytes: f64,
    gossip_bytes: f64,
    probe_slot_us: u64,
    usage: Usage,
}

impl Sample {
    fn take(deployment: &Deployment) -> Self {
        let service = &deployment.plan.services[0];
        let done = (0..service.instances).map(|number| {
            let name = service.upstream_name(number);
            deployment.admin.done(deployment.steering(), &name).unwrap_or_else(|_| Done::default())
        });
        let processes = deployment.vms.iter().filter_map(|vm| vm.process(Program::Entry)).map(usage);
        let usage = processes.fold(Usage::default(), |sum, one| Usage {
            cpu_s: sum.cpu_s + one.cpu_s,
            memory_mb: sum.memory_mb.max(one.memory_mb),
        });
        Self {
            asks: deployment.counter(Program::Entry, "pointvane_probes"),
            load_bytes: deployment.counter(Program::Entry, "pointvane_load_sent_bytes"),
            gossip_bytes: deployment.counter(Program::Control, "pointvane_gossip_sent_bytes"),
            probe_slot_us: done.map(|done| done.probe_slot_us).sum(),
            usage,
        }
    }

    fn since(&self, before: &Self, report: LoadReport, time_s: f64, deployment: &Deployment) -> Run {
        let service = &deployment.plan.services[0];
        let (vms, slots) = (deployment.vms.len() as f64, service.instances as f64 * f64::from(service.slots));
        let probe_s = (self.probe_slot_us - before.probe_slot_us) as f64 / 1e6;
        let bytes = self.load_bytes - before.load_bytes + self.gossip_bytes - before.gossip_bytes;
        Run {
            report,
            time_s,
            probes: self.asks - before.asks,
            probe_slot_share: probe_s / (time_s * slots),
            control_bytes_per_s: bytes / time_s / vms,
            cpu_share: (self.usage.cpu_s - before.usage.cpu_s) / time_s / vms,
            memory_mb: self.usage.memory_mb,
        }
    }
}

fn print(args: &Args, runs: &[(Way, Vec<Run>)]) {
    println!(
        "{:?}, {:?}, load {}, {} entry VMs, {} runs of {} s",
        args.user, args.scenario, args.load, args.entries, args.runs, args.seconds
    );
    let mut table = Table::new(&[
        "way",
        "urgent p99 ms",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "whole %",
        "routine whole/s",
        "errors",
        "probes",
        "probe slots %",
        "control B/s/VM",
        "CPU %/VM",
        "MB",
    ]);
    for (way, runs) in runs {
        table.row(row(*way, runs));
    }
    println!("{}", table.markdown());
    for (way, runs) in runs {
        for (reason, count) in
            runs.iter().flat_map(|run| run.report.kinds.values()).flat_map(|kind| &kind.reasons)
        {
            println!("{}: {reason} {count}", way.name());
        }
    }
}

fn row(way: Way, runs: &[Run]) -> Vec<String> {
    let percentile = |run: &Run, kind, p| run.report.kind(kind).percentile_ms(p);
    let whole = |run: &Run| {
        let (whole, calls) = (run.report.sum(|kind| kind.whole), run.report.sum(|kind| kind.calls));
        100.0 * whole as f64 / calls as f64
    };
    let errors = |run: &Run| run.report.sum(|k| k.cut + k.wrong + k.unknown + k.error_answers) as f64;
    vec![
        way.name().into(),
        over(runs, 1, |run| percentile(run, "urgent", 99.0)),
        over(runs, 1, |run| percentile(run, "lookup", 50.0)),
        over(runs, 1, |run| percentile(run, "lookup", 99.0)),
        over(runs, 1, |run| percentile(run, "lookup", 99.9)),
        over(runs, 2, whole),
        over(runs, 0, |run| run.report.kind("lookup").whole as f64 / run.time_s),
        over(runs, 0, errors),
        over(runs, 0, |run| run.probes),
        over(runs, 4, |run| 100.0 * run.probe_slot_share),
        over(runs, 0, |run| run.control_bytes_per_s),
        over(runs, 1, |run| 100.0 * run.cpu_share),
        over(runs, 0, |run| run.memory_mb),
    ]
}

fn over(runs: &[Run], digits: usize, value: impl Fn(&Run) -> f64) -> String {
    spread(runs.iter().map(value).collect(), digits)
}
