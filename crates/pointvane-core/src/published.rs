//! Data that a platform publishes (upstream entries and pages of changes) and that upstreams report (load).

use {
    crate::{Evacuation, Name, RoutingConfiguration, RoutingDelta},
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// An upstream's entry, as published by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// Identity of the upstream, which is kept across restarts.
    pub id: Name,
    /// Start time of this incarnation, in milliseconds since the Unix epoch; `None` if the entry has none.
    pub born_ms: Option<u64>,
    /// The service it belongs to.
    pub service: Name,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// The data centre it is in.
    pub data_centre: Name,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it is draining and gets no new requests.
    pub draining: bool,
    /// Remaining warm-up time, in milliseconds.
    pub warm_up_left_ms: u64,
    /// Sequence number of the update within this incarnation; larger is newer.
    pub sequence: u64,
}

/// Orders the entries of one upstream from oldest to newest: by start time, then by sequence number. An entry
/// without a start time is older than every entry with one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct EntryVersion {
    born_ms: Option<u64>,
    sequence: u64,
}

impl UpstreamRecord {
    /// Position of this entry in the order of all entries of its upstream.
    pub fn entry_version(&self) -> EntryVersion {
        EntryVersion { born_ms: self.born_ms, sequence: self.sequence }
    }
}

/// A change of the data that a platform publishes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A configuration was published.
    Configuration(Box<RoutingConfiguration>),
    /// Configurations were published; a peer sent them as consecutive deltas.
    ConfigurationDeltas(Vec<RoutingDelta>),
    /// An upstream appeared or changed.
    Upstream(UpstreamRecord),
    /// An upstream's entry was removed or has expired.
    UpstreamGone(Name),
    /// An evacuation of a data centre began or was cancelled.
    Evacuation(Evacuation),
}

/// Identifies the entry that a change applies to: a later change of an entry replaces an earlier one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum EntryKey {
    /// The entry of an upstream, by its identity.
    Upstream(Name),
    /// The evacuation of a data centre.
    Evacuation(Name),
}

impl Change {
    /// The entry that this change applies to; `None` for configurations, which are identified by their
    /// versions.
    pub fn entry(&self) -> Option<EntryKey> {
        match self {
            Self::Upstream(record) => Some(EntryKey::Upstream(record.id.clone())),
            Self::UpstreamGone(id) => Some(EntryKey::Upstream(id.clone())),
            Self::Evacuation(evacuation) => Some(EntryKey::Evacuation(evacuation.data_centre.clone())),
            Self::Configuration(_) | Self::ConfigurationDeltas(_) => None,
        }
    }

    /// The change that removes this change's entry as of a revision; `None` if this change adds or updates
    /// none.
    pub fn removal(&self, revision: u64) -> Option<Self> {
        match self {
            Self::Upstream(record) => Some(Self::UpstreamGone(record.id.clone())),
            Self::Evacuation(evacuation) if evacuation.active => {
                let data_centre = evacuation.data_centre.clone();
                Some(Self::Evacuation(Evacuation { data_centre, active: false, revision }))
            }
            _ => None,
        }
    }
}

/// One page of a snapshot or of a list of changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChangePage {
    /// The changes, oldest first.
    pub changes: Vec<Change>,
    /// Revision up to which the page is complete.
    pub revision: u64,
    /// Position of the next page; `None` on the last page.
    pub next_page: Option<String>,
    /// Items that were skipped because they could not be decoded.
    pub refused: Vec<RefusedItem>,
    /// Parts of a configuration that could not be decoded. Each is replaced by a safe default; the rest of
    /// the configuration applies.
    pub refused_parts: Vec<RefusedItem>,
}

/// An item that could not be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedItem {
    /// Key of the item.
    pub key: String,
    /// The invalid part, for counters.
    pub fault: ItemFault,
    /// Description of the problem.
    pub problem: String,
}

/// The invalid part of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemFault {
    /// The encoding of its value.
    Encoding,
    /// The structure of its value: a field is missing or has the wrong type.
    Form,
    /// A configuration's version.
    Version,
    /// A route.
    Route,
    /// An upstream's state.
    State,
    /// An upstream's address.
    Address,
}

impl ItemFault {
    /// Label value in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Encoding => "encoding",
            Self::Form => "form",
            Self::Version => "version",
            Self::Route => "route",
            Self::State => "state",
            Self::Address => "address",
        }
    }
}

/// A response of the platform that cannot be decoded, with the reason.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MalformedReply(pub String);

/// Load report of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamLoad {
    /// Requests being executed.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Current latency, in percent of the latency without contention.
    pub slowdown_percent: u32,
}
