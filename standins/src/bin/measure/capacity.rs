//! Slopes for docs/CAPACITY.md: gossip, spread and size of the configuration against the size of the fleet.

use {
    crate::usage::{spread, usage},
    eyre::Result,
    pointvane_config::{Configuration, FleetLimits, pack},
    pointvane_standins::{
        deployment::{Deployment, FleetPlan, Plan, Program, ServicePlan, wait},
        mesh_run::{MeshRun, TICK_US},
        table::Table,
    },
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Slopes against the size of the fleet.
#[derive(clap::Args)]
pub struct Args {
    /// Sizes of the fleet whose state machines are run with time given.
    #[arg(long, value_delimiter = ',', default_value = "17,170,600,1800")]
    machines: Vec<usize>,
    /// Numbers of entry VMs run as real processes.
    #[arg(long, value_delimiter = ',', default_value = "3,9,17,34")]
    processes: Vec<usize>,
    /// Numbers of upstreams, six a service, in a configuration.
    #[arg(long, value_delimiter = ',', default_value = "36,360,1800")]
    upstreams: Vec<usize>,
    /// Changes of configuration measured on real processes.
    #[arg(long, default_value_t = 7)]
    changes: usize,
}

const REST_S: usize = 20;
const TICKS_PER_S: usize = (1_000_000 / TICK_US) as usize;

/// Measures and prints tables.
///
/// # Errors
/// When a deployment does not come up.
pub fn measure(args: &Args) -> Result<()> {
    println!("membership machines with time given, at rest and while a revision spreads\n");
    println!("{}", machines(args).markdown());
    println!("size of the packed configuration\n");
    println!("{}", sizes(args)?.markdown());
    println!("real processes at rest, and while revisions spread\n");
    println!("{}", processes(args)?.markdown());
    Ok(())
}

fn machines(args: &Args) -> Table {
    let mut table = Table::new(&[
        "VMs",
        "datagrams/s/VM",
        "bytes/s/VM",
        "CPU us/s/VM",
        "spread s",
        "spread datagrams/VM",
    ]);
    for &count in &args.machines {
        let mut run = MeshRun::new(count, 0.01, 1);
        run.run_ticks(10 * TICKS_PER_S);
        let (datagrams, bytes, cpu_s) = (run.datagrams, run.bytes, usage(std::process::id()).cpu_s);
        run.run_ticks(REST_S * TICKS_PER_S);
        let per = (count * REST_S) as f64;
        let at_rest = [
            (run.datagrams - datagrams) as f64 / per,
            (run.bytes - bytes) as f64 / per,
            (usage(std::process::id()).cpu_s - cpu_s) * 1e6 / per,
        ];
        let before = run.datagrams;
        run.set_revision(0, 5);
        let mut ticks = 0;
        while run.fetch_heard(5) < count {
            run.run_ticks(1);
            ticks += 1;
        }
        let seconds = ticks as f64 * TICK_US as f64 / 1e6;
        let spent = (run.datagrams - before) as f64 / count as f64;
        let [datagrams, bytes, cpu] = at_rest;
        table.row(vec![
            count.to_string(),
            format!("{datagrams:.1}"),
            format!("{bytes:.0}"),
            format!("{cpu:.0}"),
            format!("{seconds:.2}"),
            format!("{spent:.1}"),
        ]);
    }
    table
}

fn sizes(args: &Args) -> Result<Table> {
    let mut table = Table::new(&["upstreams", "services", "bytes", "pack and unpack ms"]);
    for &upstreams in &args.upstreams {
        let configuration = configuration(upstreams);
        let began = Instant::now();
        let value = pack(&configuration)?;
        pointvane_config::unpack(&value)?;
        let time_ms = began.elapsed().as_secs_f64() * 1_000.0;
        let services = configuration.services.len();
        let cells =
            [upstreams.to_string(), services.to_string(), value.len().to_string(), format!("{time_ms:.1}")];
        table.row(cells.into());
    }
    Ok(table)
}

/// Six upstreams a service, as the plan has them.
fn configuration(upstreams: usize) -> Configuration {
    let service = |number: usize| pointvane_config::Service {
        name: format!("service-{number}").as_str().into(),
        route: pointvane_config::Route {
            hosts: Vec::new(),
            path_prefix: format!("/service-{number}").as_str().into(),
        },
        policy: pointvane_config::Policy::Shared,
        deadline_ms: 10_000,
        home_vms: 8,
        upstreams: (0..6).map(|upstream| configured(number, upstream)).collect(),
        load: Default::default(),
        admission: Default::default(),
        retry: Default::default(),
        hedge: Default::default(),
        ejection: Default::default(),
    };
    let services = (0..upstreams.div_ceil(6)).map(service).collect();
    Configuration { revision: 1, limits: FleetLimits::default(), services }
}

fn configured(service: usize, number: usize) -> pointvane_config::Upstream {
    let [_, _, high, low] = ((service * 6 + number) as u32).to_be_bytes();
    pointvane_config::Upstream {
        name: format!("service-{service}-{number}").as_str().into(),
        data_centre: format!("dc-{number}").as_str().into(),
        address: ([10, 1, high, low], 8_080).into(),
        slots: 6,
    }
}

fn processes(args: &Args) -> Result<Table> {
    let mut table = Table::new(&[
        "VMs",
        "control MB",
        "control CPU %",
        "gossip bytes/s/VM",
        "entry MB",
        "locate MB",
        "in force s",
        "platform reads a change",
    ]);
    for &entries in &args.processes {
        table.row(deployed(args, entries)?);
    }
    Ok(table)
}

fn deployed(args: &Args, entries: usize) -> Result<Vec<String>> {
    let mut deployment = Deployment::start(Plan {
        data_centres: 9.min(entries),
        entries,
        services: vec![ServicePlan::default()],
        fleet: FleetPlan::default(),
        settings: "[log]\nlevel = \"error\"\n".into(),
    })?;
    let used = |deployment: &Deployment, program| {
        let processes = deployment.vms.iter().filter_map(|vm| vm.process(program)).map(usage);
        processes.fold((0.0, 0.0), |(cpu, memory), one| (cpu + one.cpu_s, memory + one.memory_mb))
    };
    let count = entries as f64;
    let gossip = deployment.counter(Program::Control, "pointvane_gossip_sent_bytes");
    let (cpu_before, _) = used(&deployment, Program::Control);
    thread::sleep(Duration::from_secs(REST_S as u64));
    let (cpu_after, memory) = used(&deployment, Program::Control);
    let gossip = deployment.counter(Program::Control, "pointvane_gossip_sent_bytes") - gossip;
    let reads = deployment.counter(Program::Control, "pointvane_platform_reads");
    let times = (0..args.changes).map(|_| change(&mut deployment)).collect::<Result<Vec<_>>>()?;
    let reads = deployment.counter(Program::Control, "pointvane_platform_reads") - reads;
    Ok(vec![
        entries.to_string(),
        format!("{:.1}", memory / count),
        format!("{:.2}", 100.0 * (cpu_after - cpu_before) / REST_S as f64 / count),
        format!("{:.0}", gossip / REST_S as f64 / count),
        format!("{:.1}", used(&deployment, Program::Entry).1 / count),
        format!("{:.1}", used(&deployment, Program::Locate).1 / count),
        spread(times, 2),
        format!("{:.1}", reads / args.changes as f64),
    ])
}

/// Publishes a revision; gives the time until all entries have it in force, the asking included.
fn change(deployment: &mut Deployment) -> Result<f64> {
    deployment.publish()?;
    let (began, wanted) = (Instant::now(), deployment.revision());
    let in_force = |vm: &pointvane_standins::deployment::Vm| {
        let status = deployment.admin.json::<serde_json::Value>(vm.operator(Program::Entry), "/status");
        status.is_ok_and(|status| status["revision"].as_u64() == Some(wanted))
    };
    wait("the revision", || deployment.vms.iter().all(in_force))?;
    Ok(began.elapsed().as_secs_f64())
}
