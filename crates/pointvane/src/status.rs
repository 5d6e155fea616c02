//! `pointvane status`: the state of all VMs.

use {
    crate::{
        Output,
        nodes::{ControlView, FleetArgs, OperatorClient},
        operator_address,
    },
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, process::ExitCode},
};

/// Exit code when some process could not be reached.
const EXIT_INCOMPLETE: u8 = 1;

/// The fields of an entry program's status that are shown.
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

/// Status of one VM.
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

/// Prints the status of all VMs. The exit code is 1 if a control or entry program could not be reached.
pub fn show(fleet: &FleetArgs, output: Output) -> ExitCode {
    let client = OperatorClient::default();
    let rows: Vec<_> =
        fleet.controls(&client).into_iter().map(|control| fetch_row(fleet, &client, control)).collect();
    match output {
        Output::Text => rows.iter().for_each(print_row),
        Output::Json => println!("{}", serde_json::json!(rows)),
    }
    let complete = rows.iter().all(|row| row.name.is_some() && row.entry.is_some());
    if complete { ExitCode::SUCCESS } else { ExitCode::from(EXIT_INCOMPLETE) }
}

fn fetch_row(fleet: &FleetArgs, client: &OperatorClient, control: SocketAddr) -> Row {
    let status = client.get_json::<ControlView>(control, "/status");
    let identity =
        status.as_ref().and_then(|status| status.members.first()).map(|member| member.identity.clone());
    Row {
        address: control,
        name: identity.as_ref().map(|identity| identity.name.clone()),
        data_centre: identity.map(|identity| identity.data_centre),
        revision: status.as_ref().map(|status| status.configuration.revision),
        reads_platform: status.as_ref().is_some_and(|status| status.reads_platform),
        members: status.map_or(0, |status| status.members.iter().filter(|m| m.state == "Live").count()),
        entry: client.get_json(operator_address(control, fleet.entry_port), "/status"),
    }
}

fn print_row(row: &Row) {
    let (Some(name), Some(revision)) = (&row.name, row.revision) else {
        return println!("{}: control not reached", row.address);
    };
    let reader = if row.reads_platform { ", reads the platform" } else { "" };
    let data_centre = row.data_centre.as_deref().unwrap_or_default();
    println!("{name} ({data_centre}): revision {revision}, {} live members{reader}", row.members);
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
    let age = upstream
        .evidence_age_ms
        .map_or("never heard from".into(), |age_ms| format!("last heard from {age_ms} ms ago"));
    println!("    {}: {state}, {} own, {:.1} in total, {age}", upstream.name, upstream.own, upstream.total);
}
