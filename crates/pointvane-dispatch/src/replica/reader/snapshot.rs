//! Paged reads of the complete platform state.

use {
    super::CallReason,
    pointvane_core::{Change, ChangePage, EntryKey},
    std::collections::{HashMap, HashSet},
};

/// A snapshot read in progress.
#[derive(Clone, Debug)]
pub struct SnapshotRead {
    /// Reason for the read.
    reason: CallReason,
    next_page: Option<String>,
    /// The lowest revision of any page. Other pages may be newer, so the watch continues from this one.
    revision: Option<u64>,
    /// The entries listed so far.
    listed: HashSet<EntryKey>,
    size_bytes: usize,
    /// Differences from the previous state so far.
    changes: Vec<Change>,
}

/// Result of processing one page.
#[derive(Debug)]
pub struct PageRead {
    /// The changes to apply.
    pub changes: Vec<Change>,
    /// The complete snapshot, after the last page.
    pub complete: Option<CompletedSnapshot>,
}

/// A complete snapshot.
#[derive(Debug)]
pub struct CompletedSnapshot {
    /// The revision up to which the state is complete.
    pub revision: u64,
    /// Total size of its pages, in bytes.
    pub size_bytes: usize,
    /// Differences from the previous state.
    pub changes: Vec<Change>,
}

impl SnapshotRead {
    /// Creates a read that has received no page.
    pub fn new(reason: CallReason) -> Self {
        Self {
            reason,
            next_page: None,
            revision: None,
            listed: HashSet::new(),
            size_bytes: 0,
            changes: Vec::new(),
        }
    }

    /// Reason for the read.
    pub fn reason(&self) -> CallReason {
        self.reason
    }

    /// Whether the local state stays correct up to its revision while the read is in progress.
    pub fn keeps_state_valid(&self) -> bool {
        !matches!(self.reason, CallReason::Start | CallReason::WentBack)
    }

    /// Start of the next page; `None` for the first.
    pub fn next_page(&self) -> Option<String> {
        self.next_page.clone()
    }

    /// Whether no page has been received yet.
    pub fn has_no_pages(&self) -> bool {
        self.revision.is_none()
    }

    /// Whether another node's state must be discarded because this read is in progress. After a start such a
    /// state replaces the pages read so far.
    pub fn excludes_peer_states(&self) -> bool {
        !self.has_no_pages() && self.reason != CallReason::Start
    }

    /// Processes a page of `size_bytes`; `known` are the entries held before. After the last page, entries
    /// that no page listed are removed.
    ///
    /// Unchanged entries are left out of the result: peers that follow this node need only the differences.
    pub fn add_page(
        &mut self,
        page: ChangePage,
        size_bytes: usize,
        known: impl Iterator<Item = Change>,
    ) -> PageRead {
        let revision = self.revision.map_or(page.revision, |lowest| lowest.min(page.revision));
        self.revision = Some(revision);
        self.size_bytes += size_bytes;
        self.listed.extend(page.changes.iter().filter_map(Change::entry));
        self.next_page = page.next_page;
        let is_last = self.next_page.is_none();
        let on_page: HashMap<EntryKey, &Change> =
            page.changes.iter().filter_map(|change| Some((change.entry()?, change))).collect();
        let (mut unchanged, mut gone) = (HashSet::new(), Vec::new());
        for (entry, known) in known.filter_map(|known| Some((known.entry()?, known))) {
            if on_page.get(&entry).is_some_and(|change| **change == known) {
                unchanged.insert(entry);
            } else if is_last && !self.listed.contains(&entry) {
                gone.extend(known.removal(revision));
            }
        }
        let is_new = |change: &Change| change.entry().is_none_or(|entry| !unchanged.contains(&entry));
        let mut changes: Vec<Change> = page.changes.iter().filter(|change| is_new(change)).cloned().collect();
        changes.extend(gone);
        self.changes.extend(changes.iter().cloned());
        let complete = self.next_page.is_none().then(|| CompletedSnapshot {
            revision,
            size_bytes: self.size_bytes,
            changes: std::mem::take(&mut self.changes),
        });
        PageRead { changes, complete }
    }
}
