//! Options of a node: load balancing, admission, hedging and logging. Every option has a default, so the file
//! may be left out.

use {
    crate::{fault::Faults, file::read_file, section::Section},
    std::{net::IpAddr, path::Path},
};

/// Every key of the options file; a test compares docs/OPERATIONS.md with this list.
pub const NODE_OPTION_KEYS: [&str; 16] = [
    "choice.policy",
    "choice.ask_first",
    "choice.ask_more",
    "admission.target_share",
    "admission.rank_step",
    "repeats.hedge",
    "lines.well_every",
    "lines.wrong_per_s",
    "lines.beliefs_per_s",
    "fleet.bind_ip",
    "fleet.source_ip",
    "callers.pipeline_requests",
    "callers.pipeline_bytes",
    "callers.start_wait_ms",
    "quarantine.after_crashes",
    "quarantine.hold_ms",
];

/// Options of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeOptions {
    /// Load balancing.
    pub choice: ChoiceOptions,
    /// Admission control.
    pub admission: NodeAdmissionOptions,
    /// Hedged requests.
    pub repeats: HedgingOptions,
    /// Sampling and rate limits of log lines.
    pub lines: LogOptions,
    /// Local addresses of the node.
    pub fleet: FleetOptions,
    /// Limits on callers' connections.
    pub callers: CallerOptions,
    /// Quarantine of requests that crash upstreams.
    pub quarantine: NodeQuarantineOptions,
}

/// Load-balancing policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoicePolicy {
    /// Queries the best candidates for their load right before sending.
    ProbeLoad,
    /// The upstream with the fewest requests in flight from this node.
    LeastOwnRequests,
    /// A random upstream.
    Random,
}

impl ChoicePolicy {
    /// Policies by their names in options files.
    pub const NAMES: [(&'static str, Self); 3] =
        [("ask", Self::ProbeLoad), ("own-least", Self::LeastOwnRequests), ("random", Self::Random)];
}

/// Load-balancing options.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChoiceOptions {
    /// Load-balancing policy.
    pub policy: ChoicePolicy,
    /// Number of upstreams queried in the first round.
    pub ask_first: usize,
    /// Number of further upstreams queried when none of the first round is acceptable.
    pub ask_more: usize,
}

impl Default for ChoiceOptions {
    fn default() -> Self {
        Self { policy: ChoicePolicy::ProbeLoad, ask_first: 2, ask_more: 4 }
    }
}

/// Admission control: requests that are expected to finish late are refused with a retry time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeAdmissionOptions {
    /// Maximum expected duration of requests of rank 0, as a multiple of their target time.
    pub target_share: f64,
    /// Amount by which each rank lowers that multiple.
    pub rank_step: f64,
}

impl Default for NodeAdmissionOptions {
    fn default() -> Self {
        Self { target_share: 1.8, rank_step: 0.25 }
    }
}

/// Hedging: a second attempt of slow requests that are safe to repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgingOptions {
    /// Whether requests are hedged.
    pub hedge: bool,
}

impl Default for HedgingOptions {
    fn default() -> Self {
        Self { hedge: true }
    }
}

/// Sampling and rate limits of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogOptions {
    /// One in this many log lines about successful events is written.
    pub well_every: u64,
    /// Maximum rate of log lines about failures, per second.
    pub wrong_per_s: u64,
    /// Maximum rate of log lines about the assumed state of upstreams and other nodes, per second.
    pub beliefs_per_s: u64,
}

impl Default for LogOptions {
    fn default() -> Self {
        Self { well_every: 64, wrong_per_s: 40, beliefs_per_s: 60 }
    }
}

/// Local addresses of a node, where they are not the advertised one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetOptions {
    /// Local address on which datagrams and queries from other nodes are accepted; `None` for the advertised
    /// address.
    pub bind_ip: Option<IpAddr>,
    /// Source address of connections to upstreams and of requests forwarded to other nodes, which accept these
    /// only from advertised addresses; `None` lets the system choose.
    pub source_ip: Option<IpAddr>,
}

/// Default of [`CallerOptions::start_wait_ms`].
///
/// After a power loss of all 472 nodes of a fleet, nodes had the complete state 0.57 s after their start
/// (median; the last after 0.82 s).
const START_WAIT_MS_DEFAULT: u64 = 800;

/// Limits on callers' connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerOptions {
    /// Maximum number of requests of one connection that are in flight at once.
    pub pipeline_requests: usize,
    /// Maximum number of bytes buffered of pipelined requests that wait for earlier ones.
    pub pipeline_bytes: usize,
    /// Time after the node's start for which requests are held while the state needed to route them is
    /// incomplete, in milliseconds.
    pub start_wait_ms: u64,
}

/// The pipelining limits cover what browsers and client libraries send at once on one connection, with heads
/// of up to 2 KB.
impl Default for CallerOptions {
    fn default() -> Self {
        Self { pipeline_requests: 8, pipeline_bytes: 16 << 10, start_wait_ms: START_WAIT_MS_DEFAULT }
    }
}

/// Quarantine of requests that crash upstreams; `pointvane-dispatch/src/quarantine.rs` gives reasons for the
/// defaults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeQuarantineOptions {
    /// Number of consecutive upstream crashes after which a request is refused; 0 disables quarantine.
    pub after_crashes: usize,
    /// Duration of the first quarantine, in milliseconds.
    pub hold_ms: u64,
}

impl Default for NodeQuarantineOptions {
    fn default() -> Self {
        Self { after_crashes: 2, hold_ms: 2_000 }
    }
}

/// Reads and validates an options file.
///
/// # Errors
/// All faults of the file.
pub fn read_node_options(path: &Path) -> Result<NodeOptions, Faults> {
    read_file(path, read)
}

fn read(root: &Section<'_, '_>) -> NodeOptions {
    root.reject_unknown_keys(&["admission", "callers", "choice", "fleet", "lines", "quarantine", "repeats"]);
    NodeOptions {
        choice: read_choice(&root.section("choice")),
        admission: read_admission(&root.section("admission")),
        repeats: read_hedging(&root.section("repeats")),
        lines: read_log(&root.section("lines")),
        fleet: read_fleet(&root.section("fleet")),
        callers: read_callers(&root.section("callers")),
        quarantine: read_quarantine(&root.section("quarantine")),
    }
}

fn read_choice(section: &Section<'_, '_>) -> ChoiceOptions {
    section.reject_unknown_keys(&["ask_first", "ask_more", "policy"]);
    let defaults = ChoiceOptions::default();
    ChoiceOptions {
        policy: section.choice("policy", &ChoicePolicy::NAMES, defaults.policy),
        ask_first: section.integer("ask_first", 1..=16, Some(defaults.ask_first)),
        ask_more: section.integer("ask_more", 0..=16, Some(defaults.ask_more)),
    }
}

fn read_admission(section: &Section<'_, '_>) -> NodeAdmissionOptions {
    section.reject_unknown_keys(&["rank_step", "target_share"]);
    let defaults = NodeAdmissionOptions::default();
    NodeAdmissionOptions {
        target_share: section.number("target_share", 0.1..=1_000.0, defaults.target_share),
        rank_step: section.number("rank_step", 0.0..=100.0, defaults.rank_step),
    }
}

fn read_hedging(section: &Section<'_, '_>) -> HedgingOptions {
    section.reject_unknown_keys(&["hedge"]);
    HedgingOptions { hedge: section.boolean("hedge", HedgingOptions::default().hedge) }
}

fn read_log(section: &Section<'_, '_>) -> LogOptions {
    section.reject_unknown_keys(&["beliefs_per_s", "well_every", "wrong_per_s"]);
    let defaults = LogOptions::default();
    LogOptions {
        well_every: section.integer("well_every", 1..=1_000_000, Some(defaults.well_every)),
        wrong_per_s: section.integer("wrong_per_s", 0..=100_000, Some(defaults.wrong_per_s)),
        beliefs_per_s: section.integer("beliefs_per_s", 0..=100_000, Some(defaults.beliefs_per_s)),
    }
}

fn read_fleet(section: &Section<'_, '_>) -> FleetOptions {
    section.reject_unknown_keys(&["bind_ip", "source_ip"]);
    FleetOptions {
        bind_ip: section.parsed_optional("bind_ip", "10.0.0.7"),
        source_ip: section.parsed_optional("source_ip", "10.0.0.7"),
    }
}

fn read_callers(section: &Section<'_, '_>) -> CallerOptions {
    section.reject_unknown_keys(&["pipeline_bytes", "pipeline_requests", "start_wait_ms"]);
    let defaults = CallerOptions::default();
    let (requests, bytes) = (defaults.pipeline_requests, defaults.pipeline_bytes);
    CallerOptions {
        pipeline_requests: section.integer("pipeline_requests", 1..=256, Some(requests)),
        pipeline_bytes: section.integer("pipeline_bytes", 1_024..=1_048_576, Some(bytes)),
        start_wait_ms: section.integer("start_wait_ms", 0..=60_000, Some(defaults.start_wait_ms)),
    }
}

fn read_quarantine(section: &Section<'_, '_>) -> NodeQuarantineOptions {
    section.reject_unknown_keys(&["after_crashes", "hold_ms"]);
    let defaults = NodeQuarantineOptions::default();
    NodeQuarantineOptions {
        after_crashes: section.integer("after_crashes", 0..=8, Some(defaults.after_crashes)),
        hold_ms: section.integer("hold_ms", 100..=3_600_000, Some(defaults.hold_ms)),
    }
}
