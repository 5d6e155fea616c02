//! `pointvane status`.

use {
    crate::{
        Output, beside,
        nodes::{Asker, ControlView, FleetArgs},
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, process::ExitCode},
};

/// Exit code when a VM could not be reached.
const INCOMPLETE: u8 = 1;

/// What an entry tells, as far as it is shown.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct EntryView {
    revision: u64,
    stopping: bool,
    keys: usize,
    services: Vec<ServiceView>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct ServiceView {
    name: String,
    in_flight: u32,
    waiting: usize,
    upstreams: Vec<UpstreamView>,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct UpstreamView {
    name: String,
    own: u16,
    total: f32,
    leaving: bool,
    ejected: bool,
    #[serde(default)]
    back_in_ms: Option<u64>,
    evidence_age_ms: Option<u64>,
}

/// What is shown of one VM.
#[derive(Serialize)]
struct Row {
    address: SocketAddr,
    name: Option<String>,
    data_centre: Option<String>,
    revision: Option<u64>,
    reads_platform: bool,
    members: usize,
    entry: Option<EntryView>,
}

/// Shows all VMs; the exit code is 1 if one could not be reached.
pub fn show(fleet: &FleetArgs, output: Output) -> ExitCode {
    let asker = Asker::default();
    let rows: Vec<_> =
        fleet.controls(&asker).into_iter().map(|control| row(fleet, &asker, control)).collect();
    match output {
        Output::Text => rows.iter().for_each(print),
        Output::Json => println!("{}", serde_json::json!(rows)),
    }
    let complete = rows.iter().all(|row| row.name.is_some() && row.entry.is_some());
    if complete { ExitCode::SUCCESS } else { ExitCode::from(INCOMPLETE) }
}

fn row(fleet: &FleetArgs, asker: &Asker, control: SocketAddr) -> Row {
    let status = asker.json::<ControlView>(control, "/status");
    let me = status.as_ref().and_then(|status| status.members.first()).map(|member| member.identity.clone());
    Row {
        address: control,
        name: me.as_ref().map(|me| me.name.clone()),
        data_centre: me.map(|me| me.data_centre),
        revision: status.as_ref().map(|status| status.configuration.revision),
        reads_platform: status.as_ref().is_some_and(|status| status.reads_platform),
        members: status.map_or(0, |status| status.members.iter().filter(|m| m.state == "Live").count()),
        entry: asker.json(beside(control, fleet.entry_port), "/status"),
    }
}

fn print(row: &Row) {
    let (Some(name), Some(revision)) = (&row.name, row.revision) else {
        return println!("{}: control not reached", row.address);
    };
    let reader = if row.reads_platform { ", reads the platform" } else { "" };
    let centre = row.data_centre.as_deref().unwrap_or_default();
    println!("{name} ({centre}): revision {revision}, {} live members{reader}", row.members);
    let Some(entry) = &row.entry else { return println!("  entry not reached") };
    let stopping = if entry.stopping { ", stopping" } else { "" };
    println!("  entry: revision {}, {} keys{stopping}", entry.revision, entry.keys);
    for service in &entry.services {
        println!("  {}: {} in flight, {} waiting", service.name, service.in_flight, service.waiting);
        service.upstreams.iter().for_each(print_upstream);
    }
}

fn print_upstream(upstream: &UpstreamView) {
    let state = match (upstream.leaving, upstream.back_in_ms, upstream.ejected) {
        (true, ..) => "leaving".into(),
        (false, Some(back_in_ms), _) => format!("backing off for {back_in_ms} ms"),
        (false, None, true) => "ejected".into(),
        (false, None, false) => String::from("in use"),
    };
    let age =
        upstream.evidence_age_ms.map_or("never heard".into(), |age_ms| format!("heard {age_ms} ms ago"));
    println!("    {}: {state}, {} own, {:.1} in all, {age}", upstream.name, upstream.own, upstream.total);
}
