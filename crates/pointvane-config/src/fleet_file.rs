//! Reading of a whole file set: `fleet.toml` and `services/*.toml` of one directory.

use {
    crate::{
        configuration::{Configuration, FleetLimits, Service},
        document::Document,
        fault::{Fault, Faults},
        file_set::{FLEET_FILE, SERVICES_DIRECTORY, is_service_file},
        section::Section,
        service_file::read_service,
        stray_files::stray_files,
    },
    pointvane_core::Name,
    std::{
        collections::BTreeMap,
        fs,
        net::SocketAddr,
        path::{Path, PathBuf},
    },
};

/// The lowest share of the fleet's probe budget that is still a useful rate for one entry VM.
const PROBE_SHARE_MIN_PER_S: f64 = 0.001;

/// Reads and checks a file set; what stands beside its files is ignored.
///
/// # Errors
/// All the faults of all the files.
pub fn read_directory(directory: &Path) -> Result<Configuration, Faults> {
    read_set(directory, Faults::default())
}

/// Reads and checks a file set, in which nothing may stand that is not read.
///
/// # Errors
/// All the faults of all the files, stray ones included.
pub fn check_directory(directory: &Path) -> Result<Configuration, Faults> {
    read_set(directory, stray_files(directory))
}

fn read_set(directory: &Path, mut faults: Faults) -> Result<Configuration, Faults> {
    let FleetFile { revision, limits, evacuated } = read_fleet(directory, &mut faults);
    let mut services = Vec::new();
    let mut seen = Seen::default();
    for path in service_paths(directory, &mut faults) {
        services.extend(read_service_file(directory, &path, &limits, &mut seen, &mut faults));
    }
    services.sort_by(|a, b| a.name.cmp(&b.name));
    evacuate(&evacuated, &mut services, &mut faults);
    faults.or(Configuration { revision, limits, services })
}

/// What `fleet.toml` says.
#[derive(Default)]
struct FleetFile {
    revision: u64,
    limits: FleetLimits,
    /// Data centres whose upstreams get no new work.
    evacuated: Vec<Name>,
}

/// Marks the upstreams of evacuated data centres; one that no upstream is in is a fault, since nothing would be emptied.
fn evacuate(evacuated: &[Name], services: &mut [Service], faults: &mut Faults) {
    for data_centre in evacuated {
        let upstreams = services.iter_mut().flat_map(|service| &mut service.upstreams);
        let emptied = upstreams.filter(|upstream| upstream.data_centre == *data_centre);
        if emptied.map(|upstream| upstream.evacuated = true).count() == 0 {
            faults.0.push(Fault {
                file: FLEET_FILE.into(),
                line: 1,
                key: "evacuated".into(),
                problem: format!("no upstream is in data centre \"{data_centre}\""),
                remedy: "name it as the upstreams' data_centre does, or remove it".into(),
            });
        }
    }
}

fn read_fleet(directory: &Path, faults: &mut Faults) -> FleetFile {
    let text = read_text(directory, FLEET_FILE, faults).unwrap_or_default();
    let document = Document::new(FLEET_FILE, &text);
    let Some(table) = document.parse() else {
        faults.0.extend(document.into_faults().0);
        return FleetFile::default();
    };
    let top = Section::top(&document, &table);
    top.only(&[
        "control_bytes_per_s",
        "entry_vms_max",
        "evacuated",
        "key_life_ms",
        "locate_keep_ms",
        "revision",
    ]);
    let revision = top.integer("revision", 1..=u64::MAX >> 1, None);
    let limits = read_limits(&top);
    let evacuated = top.texts("evacuated").iter().map(|name| name.as_str().into()).collect();
    faults.0.extend(document.into_faults().0);
    FleetFile { revision, limits, evacuated }
}

fn read_limits(top: &Section<'_, '_>) -> FleetLimits {
    let default = FleetLimits::default();
    let limits = FleetLimits {
        entry_vms_max: top.integer("entry_vms_max", 1..=10_000, None),
        control_bytes_per_s: top.integer(
            "control_bytes_per_s",
            1_000..=10_000_000,
            Some(default.control_bytes_per_s),
        ),
        locate_keep_ms: top.integer("locate_keep_ms", 100..=600_000, Some(default.locate_keep_ms)),
        key_life_ms: top.integer("key_life_ms", 1_000..=3_600_000, Some(default.key_life_ms)),
    };
    if limits.key_life_ms < limits.locate_keep_ms {
        let remedy = format!("give at least locate_keep_ms = {}", limits.locate_keep_ms);
        top.fault("key_life_ms", "keys would end before the answer that carries them", remedy);
    }
    limits
}

/// Names and addresses already taken, with the file that took them.
#[derive(Default)]
struct Seen {
    services: BTreeMap<Name, String>,
    routes: BTreeMap<(Name, Name), String>,
    addresses: BTreeMap<SocketAddr, String>,
}

fn read_service_file(
    directory: &Path,
    path: &Path,
    limits: &FleetLimits,
    seen: &mut Seen,
    faults: &mut Faults,
) -> Option<Service> {
    let file = path.to_string_lossy().into_owned();
    let text = read_text(directory, &file, faults)?;
    let document = Document::new(&file, &text);
    let Some(table) = document.parse() else {
        faults.0.extend(document.into_faults().0);
        return None;
    };
    let top = Section::top(&document, &table);
    let service = read_service(&top);
    check_names(&top, &service, &file, seen);
    check_upstreams(&top, &service, &file, seen);
    check_sums(&top, &service, limits);
    faults.0.extend(document.into_faults().0);
    Some(service)
}

fn check_names(top: &Section<'_, '_>, service: &Service, file: &str, seen: &mut Seen) {
    if let Some(other) = seen.services.insert(service.name.clone(), file.into()) {
        top.fault(
            "name",
            format!("\"{}\" is also in {other}", service.name),
            "give each service its own name",
        );
    }
    let any = [Name::from("*")];
    let hosts = if service.route.hosts.is_empty() { &any[..] } else { &service.route.hosts };
    for host in hosts {
        let route = (host.clone(), service.route.path_prefix.clone());
        if let Some(other) = seen.routes.insert(route, file.into()) {
            top.fault("path_prefix", format!("the same host and path are in {other}"), "make them differ");
        }
    }
}

fn check_upstreams(top: &Section<'_, '_>, service: &Service, file: &str, seen: &mut Seen) {
    let mut names = BTreeMap::new();
    for section in top.sections("upstream") {
        let name = section.text("name", "dispatch-1");
        if names.insert(name.clone(), ()).is_some() && !name.is_empty() {
            section.fault("name", format!("\"{name}\" stands twice"), "give each upstream its own name");
        }
        let address = service.upstreams.iter().find(|u| u.name.as_str() == name).map(|u| u.address);
        let taken = address.and_then(|address| seen.addresses.insert(address, format!("{file} as {name}")));
        if let Some(other) = taken.filter(|other| *other != format!("{file} as {name}")) {
            section.fault("address", format!("is also in {other}"), "give each upstream its own address");
        }
    }
}

fn check_sums(top: &Section<'_, '_>, service: &Service, limits: &FleetLimits) {
    let share = service.load.probes_per_s / f64::from(limits.entry_vms_max);
    if service.load.probes_per_s > 0.0 && share < PROBE_SHARE_MIN_PER_S {
        let least = PROBE_SHARE_MIN_PER_S * f64::from(limits.entry_vms_max);
        top.section("load").fault(
            "probes_per_s",
            "divided by entry_vms_max leaves less than one probe in 1000 s",
            format!("give 0 to switch probes off, or at least {least}"),
        );
    }
    if service.admission.wait_max_ms >= service.deadline_ms {
        top.section("admission").fault(
            "wait_max_ms",
            "is not below the service's deadline_ms",
            format!("give less than {}", service.deadline_ms),
        );
    }
}

fn service_paths(directory: &Path, faults: &mut Faults) -> Vec<PathBuf> {
    let Ok(entries) = fs::read_dir(directory.join(SERVICES_DIRECTORY)) else {
        faults.0.push(missing(SERVICES_DIRECTORY, "put one file a service into this directory"));
        return Vec::new();
    };
    let names = entries.flatten().map(|entry| Path::new(SERVICES_DIRECTORY).join(entry.file_name()));
    let mut paths: Vec<_> = names.filter(|path| is_service_file(path)).collect();
    paths.sort();
    paths
}

fn read_text(directory: &Path, file: &str, faults: &mut Faults) -> Option<String> {
    let text = fs::read_to_string(directory.join(file));
    if text.is_err() {
        faults.0.push(missing(file, "make the file readable, as UTF-8 text"));
    }
    text.ok()
}

fn missing(file: &str, remedy: &str) -> Fault {
    Fault {
        file: file.into(),
        line: 1,
        key: "(file)".into(),
        problem: "cannot be read".into(),
        remedy: remedy.into(),
    }
}
