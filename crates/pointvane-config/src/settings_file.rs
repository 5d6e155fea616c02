//! Reads the settings file of the three programs; defines its keys, bounds and defaults.
//!
//! docs/OPERATIONS.md gives the reasons for some of the defaults and bounds.

use {
    crate::{
        fault::Faults,
        file::read_file,
        section::Section,
        settings::{
            ControlSettings, EntrySettings, LocateSettings, LogFormat, LogLevel, LogSettings, MeshSettings,
            OperatorSettings, PlatformSettings, Settings, VmSettings,
        },
    },
    std::{
        net::{IpAddr, Ipv4Addr, SocketAddr},
        path::Path,
    },
};

/// Every key of the settings file; a test compares docs/OPERATIONS.md with this list.
pub const SETTING_KEYS: [&str; 24] = [
    "vm.name",
    "vm.data_centre",
    "vm.address",
    "platform.address",
    "platform.configuration_key",
    "platform.vm_list_key",
    "platform.readers",
    "mesh.seeds",
    "mesh.probe_interval_ms",
    "mesh.suspect_ms",
    "entry.port",
    "entry.connections_max",
    "entry.head_limit_bytes",
    "entry.head_timeout_ms",
    "entry.stop_wait_ms",
    "entry.worker_threads",
    "control.port",
    "locate.port",
    "locate.addresses_max",
    "operator.entry_port",
    "operator.control_port",
    "operator.locate_port",
    "log.level",
    "log.format",
];

/// Accepted log levels; the first is the default.
const LOG_LEVELS: [(&str, LogLevel); 4] =
    [("info", "info"), ("debug", "debug"), ("warning", "warning"), ("error", "error")];
/// Accepted log formats; the first is the default.
const LOG_FORMATS: [(&str, LogFormat); 2] = [("text", LogFormat::Text), ("json", LogFormat::Json)];
/// Placeholder for an invalid address; never used, since the file's faults are returned instead of its
/// settings.
const PLACEHOLDER_IP: IpAddr = IpAddr::V4(Ipv4Addr::UNSPECIFIED);

/// Reads and validates a settings file.
///
/// # Errors
/// All faults of the file.
pub fn read_settings(path: &Path) -> Result<Settings, Faults> {
    read_file(path, read)
}

fn read(root: &Section<'_, '_>) -> Settings {
    root.reject_unknown_keys(&["control", "entry", "locate", "log", "mesh", "operator", "platform", "vm"]);
    Settings {
        vm: read_vm(&root.section("vm")),
        platform: read_platform(&root.section("platform")),
        mesh: read_mesh(&root.section("mesh")),
        entry: read_entry(&root.section("entry")),
        control: read_control(&root.section("control")),
        locate: read_locate(&root.section("locate")),
        operator: read_operator(&root.section("operator")),
        log: read_log(&root.section("log")),
    }
}

fn read_vm(section: &Section<'_, '_>) -> VmSettings {
    section.reject_unknown_keys(&["address", "data_centre", "name"]);
    let name = section.string("name", "entry-1");
    let is_valid_name = name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-');
    if !is_valid_name {
        section.fault(
            "name",
            "contains characters other than letters, digits and -",
            "write it like \"entry-1\"",
        );
    }
    VmSettings {
        name: name.as_str().into(),
        data_centre: section.string("data_centre", "ub-1").as_str().into(),
        address: section.parsed("address", "10.0.0.1").unwrap_or(PLACEHOLDER_IP),
    }
}

fn read_platform(section: &Section<'_, '_>) -> PlatformSettings {
    section.reject_unknown_keys(&["address", "configuration_key", "readers", "vm_list_key"]);
    let address = section.parsed("address", "10.0.0.100:8500");
    PlatformSettings {
        address: address.unwrap_or(SocketAddr::new(PLACEHOLDER_IP, 0)),
        configuration_key: section.string("configuration_key", "pointvane/configuration").as_str().into(),
        vm_list_key: section.string("vm_list_key", "pointvane/vms").as_str().into(),
        readers: section.integer("readers", 1..=32, Some(3)),
    }
}

fn read_mesh(section: &Section<'_, '_>) -> MeshSettings {
    section.reject_unknown_keys(&["probe_interval_ms", "seeds", "suspect_ms"]);
    let mut seeds = Vec::new();
    for text in section.strings("seeds") {
        match text.parse() {
            Ok(seed) => seeds.push(seed),
            Err(_) => {
                section.fault("seeds", format!("\"{text}\" is not an address"), "write \"10.0.0.2:7001\"")
            }
        }
    }
    MeshSettings {
        seeds,
        probe_interval_ms: section.integer("probe_interval_ms", 10..=60_000, Some(500)),
        suspect_ms: section.integer("suspect_ms", 100..=60_000, Some(2_000)),
    }
}

fn read_entry(section: &Section<'_, '_>) -> EntrySettings {
    section.reject_unknown_keys(&[
        "connections_max",
        "head_limit_bytes",
        "head_timeout_ms",
        "port",
        "stop_wait_ms",
        "worker_threads",
    ]);
    EntrySettings {
        port: section.integer("port", 1..=65_535, Some(7_000)),
        connections_max: section.integer("connections_max", 1..=1_000_000, Some(4_096)),
        head_limit_bytes: section.integer("head_limit_bytes", 8_192..=1_048_576, Some(16_384)),
        head_timeout_ms: section.integer("head_timeout_ms", 10..=600_000, Some(60_000)),
        stop_wait_ms: section.integer("stop_wait_ms", 0..=86_400_000, Some(600_000)),
        worker_threads: section.integer("worker_threads", 1..=256, Some(2)),
    }
}

fn read_control(section: &Section<'_, '_>) -> ControlSettings {
    section.reject_unknown_keys(&["port"]);
    ControlSettings { port: section.integer("port", 1..=65_535, Some(7_001)) }
}

fn read_locate(section: &Section<'_, '_>) -> LocateSettings {
    section.reject_unknown_keys(&["addresses_max", "port"]);
    LocateSettings {
        port: section.integer("port", 1..=65_535, Some(7_002)),
        addresses_max: section.integer("addresses_max", 1..=16, Some(3)),
    }
}

fn read_operator(section: &Section<'_, '_>) -> OperatorSettings {
    section.reject_unknown_keys(&["control_port", "entry_port", "locate_port"]);
    OperatorSettings {
        entry_port: section.integer("entry_port", 1..=65_535, Some(7_010)),
        control_port: section.integer("control_port", 1..=65_535, Some(7_011)),
        locate_port: section.integer("locate_port", 1..=65_535, Some(7_012)),
    }
}

fn read_log(section: &Section<'_, '_>) -> LogSettings {
    section.reject_unknown_keys(&["format", "level"]);
    LogSettings {
        level: section.choice("level", &LOG_LEVELS, "info"),
        format: section.choice("format", &LOG_FORMATS, LogFormat::Text),
    }
}
