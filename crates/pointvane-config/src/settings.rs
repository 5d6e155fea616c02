//! Settings of the three programs on one VM; all of a VM read the same file (`settings_file.rs`).

use {
    pointvane_core::Name,
    std::net::{IpAddr, SocketAddr},
};

/// The settings of one VM.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The VM itself.
    pub vm: VmSettings,
    /// The users' platform.
    pub platform: PlatformSettings,
    /// Membership.
    pub mesh: MeshSettings,
    /// The data path program.
    pub entry: EntrySettings,
    /// The control program.
    pub control: ControlSettings,
    /// The locate program.
    pub locate: LocateSettings,
    /// The operator ports.
    pub operator: OperatorSettings,
    /// Logs.
    pub log: LogSettings,
}

/// The VM itself.
#[derive(Clone, Debug)]
pub struct VmSettings {
    /// Unique in the fleet.
    pub name: Name,
    /// The data centre that the VM is in.
    pub data_centre: Name,
    /// The VM's IP number, on which everything listens.
    pub address: IpAddr,
}

/// The users' platform.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Where it answers.
    pub address: SocketAddr,
    /// Key of the packed configuration.
    pub configuration_key: Name,
    /// Key of the list of live and leaving VMs.
    pub vm_list_key: Name,
    /// Entry VMs that read the platform at once; the others fetch from them.
    pub readers: u8,
}

/// Membership.
#[derive(Clone, Debug)]
pub struct MeshSettings {
    /// Control addresses that are contacted first after a start.
    pub seeds: Vec<SocketAddr>,
    /// Time between two pings of members, in milliseconds.
    pub probe_interval_ms: u64,
    /// Time from suspicion to death, in milliseconds.
    pub suspect_ms: u64,
}

/// The data path program.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// TCP port for callers, and UDP port for load from other entry VMs.
    pub port: u16,
    /// Most connections of callers at once.
    pub connections_max: usize,
    /// Largest head of a request, in bytes.
    pub head_limit_bytes: usize,
    /// Longest time for a whole head, and longest rest of a kept connection, in milliseconds.
    pub head_timeout_ms: u64,
    /// Longest wait for work in flight at a planned stop, in milliseconds.
    pub stop_wait_ms: u64,
    /// Threads that serve requests.
    pub worker_threads: usize,
}

/// The control program.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// UDP and TCP port for other VMs' control, and TCP for this VM's entry and locate.
    pub port: u16,
}

/// The locate program.
#[derive(Clone, Debug)]
pub struct LocateSettings {
    /// TCP port for callers.
    pub port: u16,
    /// Most entry VMs named in one answer.
    pub addresses_max: u8,
}

/// The operator ports.
#[derive(Clone, Debug)]
pub struct OperatorSettings {
    /// The entry program's.
    pub entry_port: u16,
    /// The control program's.
    pub control_port: u16,
    /// The locate program's.
    pub locate_port: u16,
}

/// Form of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    Text,
    /// For programs.
    Json,
}

/// Logs.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// Least level that is written.
    pub level: LogLevel,
    /// Form of the lines.
    pub format: LogFormat,
}

/// Level of a log line, as `slog` names them.
pub type LogLevel = &'static str;
