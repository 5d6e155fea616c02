//! Queries between nodes for state that does not fit into a relay: message types, and how a reply is applied.

use {
    crate::replica::{read_mark::ReadMark, relay::WireChange},
    pointvane_core::{Change, EntryKey, RoutingConfiguration, RoutingDelta},
    serde::{Deserialize, Serialize},
    std::collections::HashSet,
};

/// Access to the platform state that a node holds, beyond the latest changes.
pub trait KnownState {
    /// All entries except those in their grace period, as the changes that add them.
    fn entries(&self) -> Vec<Change>;
    /// The configuration in force.
    fn configuration(&self) -> RoutingConfiguration;
    /// The deltas from a version to the configuration in force; none if they are not known.
    fn configuration_since(&self, version: u64) -> Option<Vec<RoutingDelta>>;
}

/// The configuration in force as a reply carries it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfigurationUpdate {
    /// The whole configuration.
    Whole(Box<RoutingConfiguration>),
    /// Deltas from the version that the querying node has.
    Deltas(Vec<RoutingDelta>),
}

impl ConfigurationUpdate {
    /// The update for a node that has version `known`: deltas, unless they are larger than the whole
    /// configuration.
    pub fn new(known: u64, local_state: &impl KnownState) -> Self {
        let whole = local_state.configuration();
        let smaller = |deltas: &Vec<RoutingDelta>| size_in_routes(deltas) <= whole.routes.len();
        match local_state.configuration_since(known).filter(smaller) {
            Some(deltas) => Self::Deltas(deltas),
            None => Self::Whole(Box::new(whole)),
        }
    }

    /// The version of a node after it has applied the update to version `known`; none if the update does not
    /// apply to that version.
    fn resulting_version(&self, known: u64) -> Option<u64> {
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

/// The removals, at `revision`, of known entries that are not in `listed`.
fn removals_of_unlisted(
    known: impl Iterator<Item = Change>,
    listed: &[Change],
    revision: u64,
) -> Vec<Change> {
    let listed: HashSet<EntryKey> = listed.iter().filter_map(Change::entry).collect();
    let is_unlisted = |known: &Change| known.entry().is_some_and(|entry| !listed.contains(&entry));
    known.filter(is_unlisted).filter_map(|known| known.removal(revision)).collect()
}

/// Approximate size of deltas, as a number of routes: the rest of a delta is about as large as one route.
fn size_in_routes(deltas: &[RoutingDelta]) -> usize {
    deltas.iter().map(|delta| delta.change_count() + 1).sum()
}

/// Maximum size of an encoded reply, in bytes: what a 10 Mbit/s link transfers in 1.2 s. A node that needs
/// more reads the platform.
const ANSWER_BYTES_MAX: usize = 1_500_000;

/// Whether an encoded reply of `bytes` bytes is small enough to be sent.
pub fn fits_reply_limit(bytes: usize) -> bool {
    bytes <= ANSWER_BYTES_MAX
}

/// Maximum number of full states that a node sends concurrently: with 6,000 upstreams these occupy a 20
/// Mbit/s link for half a second. A node that is refused queries another one, which may have the state by
/// then.
const CONCURRENT_WHOLE_STATES_MAX: usize = 8;

/// Limits the full states that a node sends concurrently, so that starting nodes do not saturate one node's
/// link.
#[derive(Clone, Copy, Debug, Default)]
pub struct FullStateLimit {
    in_progress: usize,
}

impl FullStateLimit {
    /// Reserves a slot for one transfer; false if all slots are in use.
    pub fn begin(&mut self) -> bool {
        let allowed = self.in_progress < CONCURRENT_WHOLE_STATES_MAX;
        self.in_progress += usize::from(allowed);
        allowed
    }

    /// Releases the slot of a transfer that completed or failed.
    pub fn end(&mut self) {
        self.in_progress -= 1;
    }
}

/// A query for the state that a node lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateRequest {
    /// The querying node's read mark.
    pub known: ReadMark,
}

/// The first message of the answer to a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StateOffer {
    /// The queried node knows nothing newer, or has no capacity to answer.
    Nothing,
    /// The queried node has no state yet and is reading the platform.
    Reading,
    /// A [`StateReply`] follows.
    State {
        /// Age of the platform's answer that the state is based on, in milliseconds.
        age_ms: u64,
    },
}

/// The state that the querying node lacks, from a node whose last answer of the platform is current.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StateReply {
    /// The read mark after the reply is applied.
    pub mark: ReadMark,
    /// Age of the platform's answer that the reply is based on, in milliseconds.
    pub age_ms: u64,
    /// Whether the changes list all entries rather than only those that changed.
    pub is_full: bool,
    changes: Vec<WireChange>,
    /// The configuration, if the querying node has an older one.
    pub configuration: Option<ConfigurationUpdate>,
}

impl StateReply {
    /// A reply that brings the querying node to `mark` with the given changes to entries.
    pub fn new(
        mark: ReadMark,
        age_ms: u64,
        is_full: bool,
        changes: Vec<Change>,
        configuration: Option<ConfigurationUpdate>,
    ) -> Self {
        Self {
            mark,
            age_ms,
            is_full,
            changes: changes.into_iter().filter_map(WireChange::new).collect(),
            configuration,
        }
    }

    /// Replaces the age of the platform's answer, in milliseconds.
    pub fn with_age(self, age_ms: u64) -> Self {
        Self { age_ms, ..self }
    }

    /// Whether applying the reply brings a node at mark `known` to the reply's mark.
    pub fn applies_to(&self, known: ReadMark) -> bool {
        let updated_version =
            self.configuration.as_ref().and_then(|update| update.resulting_version(known.version));
        let configuration_complete =
            known.version >= self.mark.version || updated_version == Some(self.mark.version);
        configuration_complete && self.mark.revision >= known.revision
    }

    /// The changes to apply, including removals if the reply is full; `known` are the entries that the
    /// querying node holds.
    pub fn into_changes(self, known: impl Iterator<Item = Change>) -> Vec<Change> {
        let entries: Vec<Change> = self.changes.into_iter().map(Change::from).collect();
        let removals =
            if self.is_full { removals_of_unlisted(known, &entries, self.mark.revision) } else { Vec::new() };
        let configuration = self.configuration.map(ConfigurationUpdate::into_change);
        configuration.into_iter().chain(entries).chain(removals).collect()
    }
}
