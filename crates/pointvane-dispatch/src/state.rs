//! What one node asks another for, and what that tells of the platform: the state that a relay has no room for.

use {
    crate::relay::WireChange,
    pointvane_core::{Change, Name, RoutingConfiguration, UpstreamRecord},
    serde::{Deserialize, Serialize},
    std::collections::HashSet,
};

/// How far the platform is read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadMark {
    /// The revision up to which everything is known.
    pub revision: u64,
    /// The version of the configuration that is known.
    pub version: u64,
}

impl ReadMark {
    /// Whether nothing of the other is missing here.
    pub fn covers(self, other: Self) -> bool {
        self.revision >= other.revision && self.version >= other.version
    }
}

/// What a node can tell of the platform, beside the last changes.
pub trait HeldState {
    /// All upstreams whose entries stand.
    fn upstreams(&self) -> Vec<UpstreamRecord>;
    /// The configuration in force.
    fn configuration(&self) -> RoutingConfiguration;
}

/// A question for what the asker does not know yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateRequest {
    /// What it knows.
    pub known: ReadMark,
}

/// The answer of a node that knows more and has it from the platform's young word; others tell nothing.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StateReply {
    /// What the answer leads to.
    pub mark: ReadMark,
    /// Age of the platform's word, in milliseconds.
    pub age_ms: u64,
    /// Whether the changes are all upstreams there are, and not only what the asker lacks.
    pub whole: bool,
    changes: Vec<WireChange>,
    /// The configuration, if the asker has an older one.
    pub configuration: Option<RoutingConfiguration>,
}

impl StateReply {
    /// An answer that leads to `mark` by the given changes of upstreams.
    pub fn new(
        mark: ReadMark,
        age_ms: u64,
        whole: bool,
        changes: Vec<Change>,
        configuration: Option<RoutingConfiguration>,
    ) -> Self {
        Self {
            mark,
            age_ms,
            whole,
            changes: changes.into_iter().filter_map(WireChange::new).collect(),
            configuration,
        }
    }

    /// Whether it leads from what is known to its mark.
    pub fn leads_from(&self, known: ReadMark) -> bool {
        let told = self.configuration.as_ref().map(|configuration| configuration.version);
        let configured = known.version >= self.mark.version || told == Some(self.mark.version);
        configured && self.mark.revision >= known.revision
    }

    /// What is to be applied; `known` are the upstreams that the asker knows.
    pub fn into_changes<'n>(self, known: impl Iterator<Item = &'n Name>) -> Vec<Change> {
        let told: Vec<Change> = self.changes.into_iter().map(Change::from).collect();
        let listed: HashSet<&Name> = told.iter().filter_map(Change::upstream).collect();
        let gone: Vec<Change> = match self.whole {
            true => known.filter(|id| !listed.contains(id)).cloned().map(Change::UpstreamGone).collect(),
            false => Vec::new(),
        };
        let configuration =
            self.configuration.map(|configuration| Change::Configuration(Box::new(configuration)));
        configuration.into_iter().chain(told).chain(gone).collect()
    }
}
