//! Relays: the platform's latest changes as watchers broadcast them to all other nodes, and the log that
//! relays are built from.

use {
    crate::replica::{fan_out::Segment, read_mark::ReadMark},
    pointvane_core::{Change, EntryKey, Evacuation, Name, UpstreamRecord},
    serde::{Deserialize, Serialize},
    std::{
        collections::{HashSet, VecDeque},
        mem,
        net::SocketAddr,
    },
};

/// Maximum number of changes in one relay, so that it fits into a datagram. A relay that still does not fit
/// is sent without changes.
const RELAY_CHANGES_MAX: usize = 20;
/// Time for which a change is relayed, in microseconds: about ten periodic relays of each watcher. A node that
/// misses all of them queries a peer for what it lacks.
const RELAYED_FOR_US: u64 = 3_000_000;
/// Maximum number of changes, and of batches, in a log; limits its memory to about 200 KB. A node that lacks
/// more than these queries for the full state.
const LOGGED_CHANGES_MAX: usize = 1_024;

/// A watcher's broadcast: up to where it has read the platform, how long ago the platform answered, and the
/// latest changes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Relay {
    /// The revision after which the changes begin; a node at this revision or a later one can apply them.
    pub since: u64,
    /// The watcher's read mark. A node with an older configuration has to query for the newer one.
    pub mark: ReadMark,
    /// Age of the platform's last answer to the watcher, in milliseconds.
    pub age_ms: u64,
    /// Changes to entries, oldest first.
    pub changes: Vec<Change>,
}

impl Relay {
    /// Strips the changes: a node that lacks them has to query for them.
    pub fn without_changes(self) -> Self {
        Self { since: self.mark.revision, changes: Vec::new(), ..self }
    }
}

/// The wire format of a relay.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireRelay {
    since: u64,
    mark: ReadMark,
    age_ms: u64,
    changes: Vec<WireChange>,
}

impl WireRelay {
    /// The watcher's read mark.
    pub fn mark(&self) -> ReadMark {
        self.mark
    }
}

/// The datagram that carries a relay from node to node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RelayDatagram {
    /// The address on which the watcher answers queries.
    pub origin: SocketAddr,
    /// Sequence number of the relay, increasing for each origin.
    pub round: u64,
    /// The range of nodes to which the receiver forwards the datagram.
    pub segment: Segment,
    /// The relay.
    pub relay: WireRelay,
}

/// The wire format of a change to an entry.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum WireChange {
    /// An upstream was added or updated.
    Upstream(UpstreamRecord),
    /// An upstream's entry was removed.
    Gone(Name),
    /// The evacuation of a data centre began or ended.
    Evacuation(Evacuation),
}

impl WireChange {
    /// Converts a change; none for configurations, which nodes query for.
    pub fn new(change: Change) -> Option<Self> {
        match change {
            Change::Upstream(record) => Some(Self::Upstream(record)),
            Change::UpstreamGone(id) => Some(Self::Gone(id)),
            Change::Evacuation(evacuation) => Some(Self::Evacuation(evacuation)),
            Change::Configuration(_) | Change::ConfigurationDeltas(_) => None,
        }
    }
}

impl From<WireChange> for Change {
    fn from(change: WireChange) -> Self {
        match change {
            WireChange::Upstream(record) => Self::Upstream(record),
            WireChange::Gone(id) => Self::UpstreamGone(id),
            WireChange::Evacuation(evacuation) => Self::Evacuation(evacuation),
        }
    }
}

impl From<Relay> for WireRelay {
    fn from(relay: Relay) -> Self {
        let Relay { since, mark, age_ms, changes } = relay;
        Self { since, mark, age_ms, changes: changes.into_iter().filter_map(WireChange::new).collect() }
    }
}

impl From<WireRelay> for Relay {
    fn from(wire: WireRelay) -> Self {
        let WireRelay { since, mark, age_ms, changes } = wire;
        Self { since, mark, age_ms, changes: changes.into_iter().map(Change::from).collect() }
    }
}

/// Which revisions a batch of changes can be applied to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeCoverage {
    /// All changes since the batch's first revision: it applies to that revision and to later ones.
    All,
    /// The difference between two states: it applies to the first state's revision alone. An entry that was
    /// added and removed between the two is in neither, so a node that learned of it at a revision in between
    /// would never remove it.
    Difference,
}

/// Changes that were received together.
#[derive(Clone, Debug)]
struct Batch {
    since: u64,
    added_at_us: u64,
    coverage: ChangeCoverage,
    changes: Vec<Change>,
}

impl Batch {
    /// Whether a node at a revision can apply the batch.
    fn applies_to(&self, revision: u64) -> bool {
        match self.coverage {
            ChangeCoverage::All => self.since <= revision,
            ChangeCoverage::Difference => self.since == revision,
        }
    }
}

/// The latest changes that a node has received, for nodes that missed them. Only the last change of each
/// entry is kept.
///
/// Because of that, a node may safely apply changes again that it has already applied: none of them reverts
/// another.
#[derive(Clone, Debug, Default)]
pub struct RelayLog {
    batches: VecDeque<Batch>,
    /// The revision up to which changes are logged.
    revision: u64,
}

impl RelayLog {
    /// Clears the log and continues it at a revision.
    pub fn restart(&mut self, revision: u64) {
        self.batches.clear();
        self.revision = revision;
    }

    /// Appends the changes from the last logged revision to `revision`.
    pub fn add(&mut self, revision: u64, changes: &[Change], coverage: ChangeCoverage, now_us: u64) {
        let since = mem::replace(&mut self.revision, revision);
        let entries = changes.iter().filter(|change| change.entry().is_some());
        self.batches.push_back(Batch {
            since,
            added_at_us: now_us,
            coverage,
            changes: entries.cloned().collect(),
        });
        self.drop_superseded();
        let mut kept: usize = self.batches.iter().map(|batch| batch.changes.len()).sum();
        while kept > LOGGED_CHANGES_MAX || self.batches.len() > LOGGED_CHANGES_MAX {
            kept -= self.batches.pop_front().map_or(0, |batch| batch.changes.len());
        }
    }

    /// Drops changes that are superseded by a later change of the same entry.
    fn drop_superseded(&mut self) {
        let mut seen: HashSet<EntryKey> = HashSet::new();
        for batch in self.batches.iter_mut().rev() {
            let kept = mem::take(&mut batch.changes).into_iter().rev();
            let mut kept: Vec<Change> =
                kept.filter(|change| change.entry().is_none_or(|entry| seen.insert(entry))).collect();
            kept.reverse();
            batch.changes = kept;
        }
    }

    /// Whether the log contains all changes after a revision.
    pub fn has_changes_since(&self, revision: u64) -> bool {
        revision == self.revision || self.first_batch_after(revision).is_some()
    }

    /// The index of the first batch that a node at a revision has to apply.
    fn first_batch_after(&self, revision: u64) -> Option<usize> {
        let first = self.batches.iter().rposition(|batch| batch.since <= revision)?;
        self.batches[first].applies_to(revision).then_some(first)
    }

    /// The changes after a revision, oldest first; none if the log does not reach back to it, or if it lies
    /// between two states of which only the difference is known.
    pub fn changes_since(&self, revision: u64) -> Option<Vec<Change>> {
        if revision == self.revision {
            return Some(Vec::new());
        }
        let first = self.first_batch_after(revision)?;
        Some(self.batches.iter().skip(first).flat_map(|batch| batch.changes.iter().cloned()).collect())
    }

    /// Builds a relay with as many changes of the last [`RELAYED_FOR_US`] as it may contain. Receivers may be
    /// at any revision from `since` on, so differences between two states are left out. `age_ms` is the age of the platform's
    /// last answer, in milliseconds.
    pub fn relay(&self, mark: ReadMark, age_ms: u64, now_us: u64) -> Relay {
        let mut remaining = RELAY_CHANGES_MAX;
        let fits = |batch: &&Batch| {
            let fits = batch.coverage == ChangeCoverage::All && batch.changes.len() <= remaining;
            remaining = remaining.saturating_sub(batch.changes.len());
            fits
        };
        let is_recent = |batch: &&Batch| now_us.saturating_sub(batch.added_at_us) < RELAYED_FOR_US;
        let relayed: Vec<&Batch> = self.batches.iter().rev().take_while(is_recent).take_while(fits).collect();
        let since = relayed.last().map_or(mark.revision, |batch| batch.since);
        let changes = relayed.iter().rev().flat_map(|batch| batch.changes.iter().cloned()).collect();
        Relay { since, mark, age_ms, changes }
    }
}
