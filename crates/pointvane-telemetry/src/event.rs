//! The time line: a closed list of typed events, kept in a bounded ring.

use {
    crate::clock::wall_ms,
    pointvane_core::{Name, VmState},
    serde::{Deserialize, Serialize},
    std::{
        collections::VecDeque,
        fmt,
        sync::{Mutex, PoisonError},
    },
};

/// Events that a ring holds.
const RING_LIMIT: usize = 4_096;

/// A program of pointvane.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Program {
    /// The data path.
    Entry,
    /// Membership and configuration.
    Control,
    /// Tells callers which entry VM to use.
    Locate,
}

impl Program {
    /// The program's name in logs and time lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Control => "control",
            Self::Locate => "locate",
        }
    }
}

/// Every change of state that the time line tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
#[allow(missing_docs)]
pub enum EventKind {
    /// The process runs.
    Started,
    /// The process was asked to stop and takes nothing new.
    Stopping { in_flight: u64 },
    /// Nothing is in flight any more, or the wait is over.
    Stopped { cut: u64 },
    /// A configuration is in force here.
    ConfigurationAccepted { revision: u64, index: u64 },
    /// A published configuration was not taken.
    ConfigurationRefused { revision: u64, index: u64, reason: String },
    /// Belief about a VM changed.
    MemberChanged { member: Name, state: VmState },
    /// This VM began to read the platform for the others.
    ReaderBegan,
    /// This VM no longer reads the platform.
    ReaderEnded,
    /// The platform does not answer.
    PlatformLost,
    /// The platform answers again.
    PlatformBack,
    /// The platform's write count went backwards.
    PlatformWentBack { from: u64, to: u64 },
    /// An upstream is leaving: no new work for it.
    UpstreamLeaving { service: Name, upstream: Name },
    /// An upstream that was leaving is not any more.
    UpstreamStaying { service: Name, upstream: Name },
    /// A failing upstream was set aside.
    UpstreamEjected { service: Name, upstream: Name },
    /// An upstream is tried again after ejection.
    UpstreamReturned { service: Name, upstream: Name },
    /// A service began to refuse work for overload.
    OverloadBegan { service: Name },
    /// A service refuses no more work.
    OverloadEnded { service: Name },
    /// The feed from this VM's control broke off.
    FeedLost,
    /// The feed from this VM's control came (back).
    FeedBack,
}

impl EventKind {
    /// The kind's name, as in JSON.
    pub fn name(&self) -> String {
        let value = serde_json::to_value(self).unwrap_or_default();
        value["kind"].as_str().unwrap_or_default().into()
    }
}

/// One event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Count of the process's events.
    pub sequence: u64,
    /// Wall clock of the VM, in milliseconds since 1970.
    pub at_ms: u64,
    /// The VM.
    pub vm: Name,
    /// The program.
    pub program: Program,
    /// What changed.
    #[serde(flatten)]
    pub kind: EventKind,
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let value = serde_json::to_value(&self.kind).unwrap_or_default();
        write!(f, "{:<10} {:<8} {}", self.vm, self.program.as_str(), self.kind.name())?;
        let fields = value.as_object().into_iter().flatten().filter(|(name, _)| *name != "kind");
        for (name, value) in fields {
            match value.as_str() {
                Some(text) => write!(f, " {name}={text}")?,
                None => write!(f, " {name}={value}")?,
            }
        }
        Ok(())
    }
}

/// What an operator port answers when asked for events.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EventPage {
    /// The VM's wall clock at the answer, in milliseconds since 1970.
    pub clock_ms: u64,
    /// Events that fell out of the ring.
    pub dropped: u64,
    /// The events, oldest first.
    pub events: Vec<Event>,
}

#[derive(Debug, Default)]
struct Ring {
    events: VecDeque<Event>,
    sequence: u64,
    dropped: u64,
}

/// The events of one process.
#[derive(Debug)]
pub struct EventLog {
    vm: Name,
    program: Program,
    log: slog::Logger,
    ring: Mutex<Ring>,
}

impl EventLog {
    /// An empty ring; each event is also a log line.
    pub fn new(vm: Name, program: Program, log: slog::Logger) -> Self {
        Self { vm, program, log, ring: Mutex::default() }
    }

    /// Notes an event.
    pub fn note(&self, kind: EventKind) {
        let mut ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        ring.sequence += 1;
        let event = Event {
            sequence: ring.sequence,
            at_ms: wall_ms(),
            vm: self.vm.clone(),
            program: self.program,
            kind,
        };
        slog::info!(self.log, "{}", event);
        if ring.events.len() == RING_LIMIT {
            ring.events.pop_front();
            ring.dropped += 1;
        }
        ring.events.push_back(event);
    }

    /// The events after a sequence number.
    pub fn page(&self, after: u64) -> EventPage {
        let ring = self.ring.lock().unwrap_or_else(PoisonError::into_inner);
        let events = ring.events.iter().filter(|event| event.sequence > after).cloned().collect();
        EventPage { clock_ms: wall_ms(), dropped: ring.dropped, events }
    }
}
