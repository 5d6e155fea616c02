//! Options of a node: how it chooses, admits, repeats and writes lines. All have defaults; no file is needed.

use {
    crate::{fault::Faults, file::read_file, section::Section},
    std::{net::IpAddr, path::Path},
};

/// Every key of the options file; docs/OPERATIONS.md is checked against this list.
pub const NODE_OPTION_KEYS: [&str; 15] = [
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
    "callers.pipeline_requests",
    "callers.pipeline_bytes",
    "callers.start_wait_ms",
    "quarantine.after_crashes",
    "quarantine.hold_ms",
];

/// Options of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct NodeOptions {
    /// How an upstream is chosen.
    pub choice: ChoiceOptions,
    /// When work is told to come back.
    pub admission: NodeAdmissionOptions,
    /// Second attempts.
    pub repeats: RepeatOptions,
    /// Log lines on requests.
    pub lines: LineOptions,
    /// How other nodes reach this one.
    pub fleet: FleetOptions,
    /// How callers' connections are read.
    pub callers: CallerOptions,
    /// When requests under which upstreams crash are refused.
    pub quarantine: NodeQuarantineOptions,
}

/// By what an upstream is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoicePolicy {
    /// The most promising are asked for their load right before the send.
    Ask,
    /// The fewest of this node's own requests.
    OwnLeast,
    /// Any.
    Random,
}

impl ChoicePolicy {
    /// The names used in files.
    pub const NAMES: [(&'static str, Self); 3] =
        [("ask", Self::Ask), ("own-least", Self::OwnLeast), ("random", Self::Random)];
}

/// How an upstream is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChoiceOptions {
    /// By what.
    pub policy: ChoicePolicy,
    /// Upstreams asked together at first.
    pub ask_first: usize,
    /// Upstreams asked besides when none of these is good.
    pub ask_more: usize,
}

impl Default for ChoiceOptions {
    fn default() -> Self {
        Self { policy: ChoicePolicy::Ask, ask_first: 2, ask_more: 4 }
    }
}

/// When work that would be late is told to come back.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeAdmissionOptions {
    /// Part of its target time that work of rank 0 may be expected to take.
    pub target_share: f64,
    /// What each rank takes off that part.
    pub rank_step: f64,
}

impl Default for NodeAdmissionOptions {
    fn default() -> Self {
        Self { target_share: 1.8, rank_step: 0.25 }
    }
}

/// Second attempts of safe work that is slow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RepeatOptions {
    /// Whether they are made.
    pub hedge: bool,
}

impl Default for RepeatOptions {
    fn default() -> Self {
        Self { hedge: true }
    }
}

/// Log lines on requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineOptions {
    /// One of so many lines on what went well is written.
    pub well_every: u64,
    /// Lines on what went wrong that are written each second.
    pub wrong_per_s: u64,
    /// Lines on beliefs about upstreams and other nodes that are written each second.
    pub beliefs_per_s: u64,
}

impl Default for LineOptions {
    fn default() -> Self {
        Self { well_every: 64, wrong_per_s: 40, beliefs_per_s: 60 }
    }
}

/// How other nodes reach this one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetOptions {
    /// The address on which other nodes' datagrams and queries are accepted; none for the advertised one.
    pub bind_ip: Option<IpAddr>,
}

/// Default of [`CallerOptions::start_wait_ms`].
///
/// After all of 472 nodes had lost power, they knew everything 0.57 s after their start (median; the last after 0.82 s).
const START_WAIT_MS: u64 = 800;

/// How callers' connections are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerOptions {
    /// Requests of one connection that are under way at once.
    pub pipeline_requests: usize,
    /// Bytes that are read of requests which wait for those ahead of them.
    pub pipeline_bytes: usize,
    /// Time after the node's start until which requests are held that it does not know yet what to do with, in milliseconds.
    pub start_wait_ms: u64,
}

/// Not measured at other values: what browsers and client libraries send at once on one connection, in heads of up to 2 KB.
impl Default for CallerOptions {
    fn default() -> Self {
        Self { pipeline_requests: 8, pipeline_bytes: 16 << 10, start_wait_ms: START_WAIT_MS }
    }
}

/// When requests under which upstreams crash are refused; why these values: `pointvane-dispatch/src/quarantine.rs`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeQuarantineOptions {
    /// Upstreams that crash under a request, one after the other, before it is refused; 0 for never.
    pub after_crashes: usize,
    /// Time of the first quarantine, in milliseconds.
    pub hold_ms: u64,
}

impl Default for NodeQuarantineOptions {
    fn default() -> Self {
        Self { after_crashes: 2, hold_ms: 2_000 }
    }
}

/// Reads and checks an options file.
///
/// # Errors
/// All its faults.
pub fn read_node_options(path: &Path) -> Result<NodeOptions, Faults> {
    read_file(path, read)
}

fn read(top: &Section<'_, '_>) -> NodeOptions {
    top.only(&["admission", "callers", "choice", "fleet", "lines", "quarantine", "repeats"]);
    NodeOptions {
        choice: choice(&top.section("choice")),
        admission: admission(&top.section("admission")),
        repeats: repeats(&top.section("repeats")),
        lines: lines(&top.section("lines")),
        fleet: fleet(&top.section("fleet")),
        callers: callers(&top.section("callers")),
        quarantine: quarantine(&top.section("quarantine")),
    }
}

fn choice(section: &Section<'_, '_>) -> ChoiceOptions {
    section.only(&["ask_first", "ask_more", "policy"]);
    let defaults = ChoiceOptions::default();
    ChoiceOptions {
        policy: section.choice("policy", &ChoicePolicy::NAMES, defaults.policy),
        ask_first: section.integer("ask_first", 1..=16, Some(defaults.ask_first)),
        ask_more: section.integer("ask_more", 0..=16, Some(defaults.ask_more)),
    }
}

fn admission(section: &Section<'_, '_>) -> NodeAdmissionOptions {
    section.only(&["rank_step", "target_share"]);
    let defaults = NodeAdmissionOptions::default();
    NodeAdmissionOptions {
        target_share: section.number("target_share", 0.1..=1_000.0, defaults.target_share),
        rank_step: section.number("rank_step", 0.0..=100.0, defaults.rank_step),
    }
}

fn repeats(section: &Section<'_, '_>) -> RepeatOptions {
    section.only(&["hedge"]);
    RepeatOptions { hedge: section.flag("hedge", RepeatOptions::default().hedge) }
}

fn lines(section: &Section<'_, '_>) -> LineOptions {
    section.only(&["beliefs_per_s", "well_every", "wrong_per_s"]);
    let defaults = LineOptions::default();
    LineOptions {
        well_every: section.integer("well_every", 1..=1_000_000, Some(defaults.well_every)),
        wrong_per_s: section.integer("wrong_per_s", 0..=100_000, Some(defaults.wrong_per_s)),
        beliefs_per_s: section.integer("beliefs_per_s", 0..=100_000, Some(defaults.beliefs_per_s)),
    }
}

fn fleet(section: &Section<'_, '_>) -> FleetOptions {
    section.only(&["bind_ip"]);
    FleetOptions { bind_ip: section.parsed_if_given("bind_ip", "10.0.0.7") }
}

fn callers(section: &Section<'_, '_>) -> CallerOptions {
    section.only(&["pipeline_bytes", "pipeline_requests", "start_wait_ms"]);
    let defaults = CallerOptions::default();
    let (requests, bytes) = (defaults.pipeline_requests, defaults.pipeline_bytes);
    CallerOptions {
        pipeline_requests: section.integer("pipeline_requests", 1..=256, Some(requests)),
        pipeline_bytes: section.integer("pipeline_bytes", 1_024..=1_048_576, Some(bytes)),
        start_wait_ms: section.integer("start_wait_ms", 0..=60_000, Some(defaults.start_wait_ms)),
    }
}

fn quarantine(section: &Section<'_, '_>) -> NodeQuarantineOptions {
    section.only(&["after_crashes", "hold_ms"]);
    let defaults = NodeQuarantineOptions::default();
    NodeQuarantineOptions {
        after_crashes: section.integer("after_crashes", 0..=8, Some(defaults.after_crashes)),
        hold_ms: section.integer("hold_ms", 100..=3_600_000, Some(defaults.hold_ms)),
    }
}
