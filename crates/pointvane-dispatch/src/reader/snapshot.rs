//! A read of everything, page by page.

use {
    pointvane_core::{Change, ChangePage, Name},
    std::collections::HashSet,
};

/// A read of everything that is under way.
#[derive(Clone, Debug, Default)]
pub struct SnapshotRead {
    next_page: Option<String>,
    /// Revision of the first page. Later pages may be newer, so the changes since the first are watched again.
    revision: Option<u64>,
    seen: HashSet<Name>,
}

/// What a page gives.
#[derive(Debug)]
pub struct PageRead {
    /// What is to be applied.
    pub changes: Vec<Change>,
    /// The revision up to which everything is known, once the last page has come.
    pub complete_at: Option<u64>,
}

impl SnapshotRead {
    /// Where the next page begins; none for the first.
    pub fn next_page(&self) -> Option<String> {
        self.next_page.clone()
    }

    /// Whether no page has come yet.
    pub fn is_unbegun(&self) -> bool {
        self.revision.is_none()
    }

    /// Takes a page; `known` are the upstreams that were known before. After the last page those not listed are gone.
    pub fn take<'n>(&mut self, page: ChangePage, known: impl Iterator<Item = &'n Name>) -> PageRead {
        let revision = *self.revision.get_or_insert(page.revision);
        let mut changes = page.changes;
        self.seen.extend(changes.iter().filter_map(Change::upstream).cloned());
        self.next_page = page.next_page;
        if self.next_page.is_some() {
            return PageRead { changes, complete_at: None };
        }
        let gone = known.filter(|id| !self.seen.contains(*id));
        changes.extend(gone.cloned().map(Change::UpstreamGone));
        PageRead { changes, complete_at: Some(revision) }
    }
}
