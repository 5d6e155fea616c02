//! Reads a file set: `fleet.toml` and `services/*.toml` in one directory.

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

/// Minimum share of a service's probe rate that one entry VM may get: one probe per 1000 s. A lower
/// rate is too rare to be useful.
const PROBE_SHARE_MIN_PER_S: f64 = 0.001;

/// Reads and validates a file set; other files in the directory are ignored.
///
/// # Errors
/// All faults of all files.
pub fn read_directory(directory: &Path) -> Result<Configuration, Faults> {
    read_file_set(directory, Faults::default())
}

/// Reads and validates a file set; files and directories that are not part of it are faults.
///
/// # Errors
/// All faults of all files, including one per stray file.
pub fn check_directory(directory: &Path) -> Result<Configuration, Faults> {
    read_file_set(directory, stray_files(directory))
}

fn read_file_set(directory: &Path, mut faults: Faults) -> Result<Configuration, Faults> {
    let FleetFile { revision, limits, evacuated } = read_fleet(directory, &mut faults);
    let mut services = Vec::new();
    let mut used = UsedNames::default();
    for path in service_paths(directory, &mut faults) {
        services.extend(read_service_file(directory, &path, &limits, &mut used, &mut faults));
    }
    services.sort_by(|a, b| a.name.cmp(&b.name));
    mark_evacuated(&evacuated, &mut services, &mut faults);
    faults.into_result(Configuration { revision, limits, services })
}

/// Contents of `fleet.toml`.
#[derive(Default)]
struct FleetFile {
    revision: u64,
    limits: FleetLimits,
    /// Data centres whose upstreams get no new requests.
    evacuated: Vec<Name>,
}

/// Marks the upstreams of evacuated data centres. An evacuated data centre without upstreams is a fault,
/// since evacuating it would have no effect.
fn mark_evacuated(evacuated: &[Name], services: &mut [Service], faults: &mut Faults) {
    for data_centre in evacuated {
        let upstreams = services.iter_mut().flat_map(|service| &mut service.upstreams);
        let matching = upstreams.filter(|upstream| upstream.data_centre == *data_centre);
        if matching.map(|upstream| upstream.evacuated = true).count() == 0 {
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
    let root = Section::root(&document, &table);
    root.reject_unknown_keys(&[
        "control_bytes_per_s",
        "entry_vms_max",
        "evacuated",
        "key_life_ms",
        "locate_keep_ms",
        "revision",
    ]);
    let revision = root.integer("revision", 1..=u64::MAX >> 1, None);
    let limits = read_limits(&root);
    let evacuated = root.strings("evacuated").iter().map(|name| name.as_str().into()).collect();
    faults.0.extend(document.into_faults().0);
    FleetFile { revision, limits, evacuated }
}

fn read_limits(root: &Section<'_, '_>) -> FleetLimits {
    let default = FleetLimits::default();
    let limits = FleetLimits {
        entry_vms_max: root.integer("entry_vms_max", 1..=10_000, None),
        control_bytes_per_s: root.integer(
            "control_bytes_per_s",
            1_000..=10_000_000,
            Some(default.control_bytes_per_s),
        ),
        locate_keep_ms: root.integer("locate_keep_ms", 100..=600_000, Some(default.locate_keep_ms)),
        key_life_ms: root.integer("key_life_ms", 1_000..=3_600_000, Some(default.key_life_ms)),
    };
    if limits.key_life_ms < limits.locate_keep_ms {
        let remedy = format!("give at least locate_keep_ms = {}", limits.locate_keep_ms);
        root.fault(
            "key_life_ms",
            "is below locate_keep_ms: keys would expire before the answers that carry them",
            remedy,
        );
    }
    limits
}

/// Names, routes and addresses already in use, with the file that uses each.
#[derive(Default)]
struct UsedNames {
    services: BTreeMap<Name, String>,
    routes: BTreeMap<(Name, Name), String>,
    addresses: BTreeMap<SocketAddr, String>,
}

fn read_service_file(
    directory: &Path,
    path: &Path,
    limits: &FleetLimits,
    used: &mut UsedNames,
    faults: &mut Faults,
) -> Option<Service> {
    let file = path.to_string_lossy().into_owned();
    let text = read_text(directory, &file, faults)?;
    let document = Document::new(&file, &text);
    let Some(table) = document.parse() else {
        faults.0.extend(document.into_faults().0);
        return None;
    };
    let root = Section::root(&document, &table);
    let service = read_service(&root);
    check_name_and_routes(&root, &service, &file, used);
    check_upstreams(&root, &service, &file, used);
    check_constraints(&root, &service, limits);
    faults.0.extend(document.into_faults().0);
    Some(service)
}

fn check_name_and_routes(root: &Section<'_, '_>, service: &Service, file: &str, used: &mut UsedNames) {
    if let Some(other) = used.services.insert(service.name.clone(), file.into()) {
        root.fault(
            "name",
            format!("\"{}\" is also in {other}", service.name),
            "give each service a unique name",
        );
    }
    let any = [Name::from("*")];
    let hosts = if service.route.hosts.is_empty() { &any[..] } else { &service.route.hosts };
    for host in hosts {
        let route = (host.clone(), service.route.path_prefix.clone());
        if let Some(other) = used.routes.insert(route, file.into()) {
            root.fault(
                "path_prefix",
                format!("the same host and path prefix are in {other}"),
                "use a different host or path prefix",
            );
        }
    }
}

fn check_upstreams(root: &Section<'_, '_>, service: &Service, file: &str, used: &mut UsedNames) {
    let mut names = BTreeMap::new();
    for section in root.sections("upstream") {
        let name = section.string("name", "dispatch-1");
        if names.insert(name.clone(), ()).is_some() && !name.is_empty() {
            section.fault("name", format!("\"{name}\" is used twice"), "give each upstream a unique name");
        }
        let address = service.upstreams.iter().find(|u| u.name.as_str() == name).map(|u| u.address);
        let used_by = address.and_then(|address| used.addresses.insert(address, format!("{file} as {name}")));
        if let Some(other) = used_by.filter(|other| *other != format!("{file} as {name}")) {
            section.fault("address", format!("is also in {other}"), "give each upstream a unique address");
        }
    }
}

fn check_constraints(root: &Section<'_, '_>, service: &Service, limits: &FleetLimits) {
    let share = service.load.probes_per_s / f64::from(limits.entry_vms_max);
    if service.load.probes_per_s > 0.0 && share < PROBE_SHARE_MIN_PER_S {
        let least = PROBE_SHARE_MIN_PER_S * f64::from(limits.entry_vms_max);
        root.section("load").fault(
            "probes_per_s",
            "divided by entry_vms_max leaves less than one probe in 1000 s",
            format!("give 0 to switch probes off, or at least {least}"),
        );
    }
    if service.admission.wait_max_ms >= service.deadline_ms {
        root.section("admission").fault(
            "wait_max_ms",
            "is not below the service's deadline_ms",
            format!("give less than {}", service.deadline_ms),
        );
    }
}

fn service_paths(directory: &Path, faults: &mut Faults) -> Vec<PathBuf> {
    let Ok(entries) = fs::read_dir(directory.join(SERVICES_DIRECTORY)) else {
        faults.0.push(unreadable_file(SERVICES_DIRECTORY, "put one file per service into this directory"));
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
        faults.0.push(unreadable_file(file, "make the file readable and encode it as UTF-8"));
    }
    text.ok()
}

fn unreadable_file(file: &str, remedy: &str) -> Fault {
    Fault {
        file: file.into(),
        line: 1,
        key: "(file)".into(),
        problem: "cannot be read".into(),
        remedy: remedy.into(),
    }
}
