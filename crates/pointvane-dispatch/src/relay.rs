//! What sentinels tell the other nodes of the platform.

use {
    pointvane_core::{Change, Name, UpstreamRecord},
    serde::{Deserialize, Serialize},
    std::{
        collections::{HashSet, VecDeque},
        mem,
    },
};

/// Changes that one relay holds at most, so that it fits a datagram.
const CHANGES_MAX: usize = 20;

/// What a sentinel tells all others: how far the platform is read, how long ago it answered, and what changed last.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Relay {
    /// The revision that the changes follow on; a node that knows this one or a later one can take them.
    pub since: u64,
    /// The revision up to which the sentinel knows everything.
    pub revision: u64,
    /// Age of the platform's last answer to the sentinel, in milliseconds.
    pub age_ms: u64,
    /// The changes, oldest first.
    pub changes: Vec<Change>,
}

impl Relay {
    /// The same without the changes: a node that lacks them has to ask the platform.
    pub fn without_changes(self) -> Self {
        Self { since: self.revision, changes: Vec::new(), ..self }
    }
}

/// A relay as it goes over the wire.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WireRelay {
    since: u64,
    revision: u64,
    age_ms: u64,
    changes: Vec<WireChange>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
enum WireChange {
    Upstream(UpstreamRecord),
    Gone(Name),
}

impl From<Relay> for WireRelay {
    fn from(relay: Relay) -> Self {
        let Relay { since, revision, age_ms, changes } = relay;
        Self { since, revision, age_ms, changes: changes.into_iter().filter_map(wire_change).collect() }
    }
}

/// Configurations are too large and never relayed; [`RelayLog::add`] sees to that.
fn wire_change(change: Change) -> Option<WireChange> {
    match change {
        Change::Upstream(record) => Some(WireChange::Upstream(record)),
        Change::UpstreamGone(id) => Some(WireChange::Gone(id)),
        Change::Configuration(_) => None,
    }
}

impl From<WireRelay> for Relay {
    fn from(wire: WireRelay) -> Self {
        let WireRelay { since, revision, age_ms, changes } = wire;
        let change = |change| match change {
            WireChange::Upstream(record) => Change::Upstream(record),
            WireChange::Gone(id) => Change::UpstreamGone(id),
        };
        Self { since, revision, age_ms, changes: changes.into_iter().map(change).collect() }
    }
}

/// One answer of the platform.
#[derive(Clone, Debug)]
struct Batch {
    since: u64,
    changes: Vec<Change>,
}

/// The last changes that a node has read, for those that missed them: of each upstream the last word only.
///
/// A node may take them though it holds some of them already, since none of them undoes another.
#[derive(Clone, Debug, Default)]
pub struct RelayLog {
    batches: VecDeque<Batch>,
    /// The revision that the oldest batch follows on, or the newest if there is none.
    since: u64,
}

impl RelayLog {
    /// Forgets everything before a revision.
    pub fn restart(&mut self, revision: u64) {
        self.batches.clear();
        self.since = revision;
    }

    /// Adds the changes from one revision to another.
    pub fn add(&mut self, since: u64, revision: u64, changes: &[Change]) {
        let too_large =
            changes.len() > CHANGES_MAX || changes.iter().any(|c| matches!(c, Change::Configuration(_)));
        if too_large || (self.batches.is_empty() && self.since != since) {
            return self.restart(revision);
        }
        if changes.is_empty() {
            if self.batches.is_empty() {
                self.since = revision;
            }
            return;
        }
        self.batches.push_back(Batch { since, changes: changes.to_vec() });
        self.keep_last_words();
        while self.batches.iter().map(|batch| batch.changes.len()).sum::<usize>() > CHANGES_MAX {
            self.batches.pop_front();
        }
        self.since = self.batches.front().map_or(revision, |batch| batch.since);
    }

    /// Leaves out what a later change of the same upstream has overtaken.
    fn keep_last_words(&mut self) {
        let mut seen: HashSet<Name> = HashSet::new();
        for batch in self.batches.iter_mut().rev() {
            let kept = mem::take(&mut batch.changes).into_iter().rev();
            let mut kept: Vec<Change> =
                kept.filter(|change| change.upstream().is_none_or(|id| seen.insert(id.clone()))).collect();
            kept.reverse();
            batch.changes = kept;
        }
    }

    /// What is told at a revision.
    pub fn relay(&self, revision: u64, age_ms: u64) -> Relay {
        let changes = self.batches.iter().flat_map(|batch| batch.changes.iter().cloned()).collect();
        Relay { since: self.since, revision, age_ms, changes }
    }
}
