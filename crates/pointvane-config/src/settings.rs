//! Settings of the three programs on one VM, which all read the same file (`settings_file.rs`).

use {
    pointvane_core::Name,
    std::net::{IpAddr, SocketAddr},
};

/// The settings of one VM.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Identity of the VM.
    pub vm: VmSettings,
    /// The users' platform, from which configurations and the list of VMs are read.
    pub platform: PlatformSettings,
    /// Membership protocol.
    pub mesh: MeshSettings,
    /// The entry program.
    pub entry: EntrySettings,
    /// The control program.
    pub control: ControlSettings,
    /// The locate program.
    pub locate: LocateSettings,
    /// Operator ports.
    pub operator: OperatorSettings,
    /// Logging.
    pub log: LogSettings,
}

/// Identity of a VM.
#[derive(Clone, Debug)]
pub struct VmSettings {
    /// Name of the VM, unique in the fleet.
    pub name: Name,
    /// Data centre of the VM.
    pub data_centre: Name,
    /// IP address of the VM; all ports are bound to it.
    pub address: IpAddr,
}

/// The users' platform, from which configurations and the list of VMs are read.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Key of the packed configuration.
    pub configuration_key: Name,
    /// Key of the list of live and leaving VMs.
    pub vm_list_key: Name,
    /// Number of entry VMs that read the platform at once; the others fetch values from them.
    pub readers: u8,
}

/// Membership protocol.
#[derive(Clone, Debug)]
pub struct MeshSettings {
    /// Control addresses contacted after a start to join the fleet.
    pub seeds: Vec<SocketAddr>,
    /// Time between two pings of members, in milliseconds.
    pub probe_interval_ms: u64,
    /// Time after which a suspected member is declared dead, in milliseconds.
    pub suspect_ms: u64,
}

/// The entry program, which forwards requests.
#[derive(Clone, Debug)]
pub struct EntrySettings {
    /// TCP port for callers and UDP port for load reports from other entry VMs.
    pub port: u16,
    /// Maximum number of concurrent caller connections.
    pub connections_max: usize,
    /// Maximum size of a request head, in bytes.
    pub head_limit_bytes: usize,
    /// Timeout for receiving a complete request head, and idle timeout of persistent connections, in
    /// milliseconds.
    pub head_timeout_ms: u64,
    /// Maximum wait for requests in flight during a graceful shutdown, in milliseconds.
    pub stop_wait_ms: u64,
    /// Number of threads that serve requests.
    pub worker_threads: usize,
}

/// The control program, which handles membership and configuration.
#[derive(Clone, Debug)]
pub struct ControlSettings {
    /// UDP and TCP port for the control processes of other VMs; TCP also serves this VM's entry and locate.
    pub port: u16,
}

/// The locate program, which tells callers which entry VMs to use.
#[derive(Clone, Debug)]
pub struct LocateSettings {
    /// TCP port for callers.
    pub port: u16,
    /// Maximum number of entry VMs in one answer.
    pub addresses_max: u8,
}

/// TCP ports that serve status, events and metrics to operators.
#[derive(Clone, Debug)]
pub struct OperatorSettings {
    /// Port of the entry program.
    pub entry_port: u16,
    /// Port of the control program.
    pub control_port: u16,
    /// Port of the locate program.
    pub locate_port: u16,
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

/// Logging.
#[derive(Clone, Debug)]
pub struct LogSettings {
    /// Minimum level that is written.
    pub level: LogLevel,
    /// Format of the lines.
    pub format: LogFormat,
}

/// Name of a `slog` log level, such as `info`.
pub type LogLevel = &'static str;
