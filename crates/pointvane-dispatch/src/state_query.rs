//! Queries between nodes for what a relay has no room for: the messages, and how an answer is applied.

use {
    crate::{read_mark::ReadMark, relay::WireChange},
    pointvane_core::{Change, Name, RoutingConfiguration, RoutingDelta, UpstreamRecord},
    serde::{Deserialize, Serialize},
    std::collections::HashSet,
};

/// What a node knows of the platform, beside the last changes.
pub trait KnownState {
    /// All upstreams but those in their grace period.
    fn upstreams(&self) -> Vec<UpstreamRecord>;
    /// The configuration in force.
    fn configuration(&self) -> RoutingConfiguration;
    /// What changed from a version to the configuration in force; none if that is not known.
    fn configuration_since(&self, version: u64) -> Option<Vec<RoutingDelta>>;
}

/// How an answer brings the configuration in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationUpdate {
    /// Whole.
    Whole(Box<RoutingConfiguration>),
    /// By what changed since the one that the querying node has.
    Deltas(Vec<RoutingDelta>),
}

impl ConfigurationUpdate {
    /// The update for a node that has a version: what changed, unless that is more than everything.
    pub fn new(known: u64, known_here: &impl KnownState) -> Self {
        let whole = known_here.configuration();
        let smaller = |deltas: &Vec<RoutingDelta>| routes_of(deltas) <= whole.routes.len();
        match known_here.configuration_since(known).filter(smaller) {
            Some(deltas) => Self::Deltas(deltas),
            None => Self::Whole(Box::new(whole)),
        }
    }

    /// The version that a node with version `known` has after it; none if it cannot be applied there.
    fn leads_to(&self, known: u64) -> Option<u64> {
        match self {
            Self::Whole(configuration) => Some(configuration.version),
            Self::Deltas(deltas) => deltas.iter().try_fold(known, |version, delta| {
                (delta.from_version == version).then_some(delta.to_version)
            }),
        }
    }

    fn into_change(self) -> Change {
        match self {
            Self::Whole(configuration) => Change::Configuration(configuration),
            Self::Deltas(deltas) => Change::ConfigurationDeltas(deltas),
        }
    }
}

/// About how many routes deltas take the room of: what a delta holds beside routes is as long as one.
fn routes_of(deltas: &[RoutingDelta]) -> usize {
    deltas.iter().map(|delta| delta.touched() + 1).sum()
}

/// Whole states that a node sends at once at most.
///
/// Worked out, not measured: eight of 1,080 upstreams are some 0.6 MB, 0.24 s of a link of 20 Mbit/s. Whoever is turned away queries another
/// node, which may have it by then.
const WHOLE_STATES_AT_ONCE: usize = 8;

/// The whole states that a node sends now, so that those who start do not fill the link of one node.
#[derive(Clone, Copy, Debug, Default)]
pub struct WholeStateLimit {
    under_way: usize,
}

impl WholeStateLimit {
    /// Counts another one, unless there are as many as may be.
    pub fn begin(&mut self) -> bool {
        let may = self.under_way < WHOLE_STATES_AT_ONCE;
        self.under_way += usize::from(may);
        may
    }

    /// Takes note that one was sent, or broke off.
    pub fn end(&mut self) {
        self.under_way -= 1;
    }
}

/// A query for what a node does not know yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateRequest {
    /// What the querying node knows.
    pub known: ReadMark,
}

/// The answer of a node that knows more, by a current answer of the platform.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StateReply {
    /// What is known after it is applied.
    pub mark: ReadMark,
    /// Age of the platform's answer behind it, in milliseconds.
    pub age_ms: u64,
    /// Whether the changes list all upstreams, and not only those that changed.
    pub whole: bool,
    changes: Vec<WireChange>,
    /// The configuration, if the querying node has an older one.
    pub configuration: Option<ConfigurationUpdate>,
}

impl StateReply {
    /// An answer that leads to `mark` by the given changes of upstreams.
    pub fn new(
        mark: ReadMark,
        age_ms: u64,
        whole: bool,
        changes: Vec<Change>,
        configuration: Option<ConfigurationUpdate>,
    ) -> Self {
        Self {
            mark,
            age_ms,
            whole,
            changes: changes.into_iter().filter_map(WireChange::new).collect(),
            configuration,
        }
    }

    /// Whether a node that knows `known` knows everything up to the reply's mark by it.
    pub fn leads_from(&self, known: ReadMark) -> bool {
        let brought = self.configuration.as_ref().and_then(|update| update.leads_to(known.version));
        let configured = known.version >= self.mark.version || brought == Some(self.mark.version);
        configured && self.mark.revision >= known.revision
    }

    /// What is to be applied; `known` are the upstreams that the querying node knows.
    pub fn into_changes<'n>(self, known: impl Iterator<Item = &'n Name>) -> Vec<Change> {
        let upstreams: Vec<Change> = self.changes.into_iter().map(Change::from).collect();
        let listed: HashSet<&Name> = upstreams.iter().filter_map(Change::upstream).collect();
        let gone: Vec<Change> = match self.whole {
            true => known.filter(|id| !listed.contains(id)).cloned().map(Change::UpstreamGone).collect(),
            false => Vec::new(),
        };
        let configuration = self.configuration.map(ConfigurationUpdate::into_change);
        configuration.into_iter().chain(upstreams).chain(gone).collect()
    }
}
