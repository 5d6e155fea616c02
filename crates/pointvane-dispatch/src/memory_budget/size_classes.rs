//! Incomplete bodies, ordered by size and by the time of their last progress.

use {super::HolderId, std::collections::BTreeSet};

/// Number of size classes. Class `n` holds sizes of `n` binary digits; the last one all larger sizes too.
const CLASSES: usize = 32;
/// Most holders whose outdated position is corrected in one search, so that its time is bounded; the next
/// search continues.
const CORRECTIONS_MAX: usize = 64;

/// Holders by size class, and by last progress within a class.
///
/// A position may be older than the last progress: it is corrected only when a search finds it, so that
/// progress costs nothing here.
#[derive(Debug, Default)]
pub struct SizeClasses {
    classes: [BTreeSet<(u64, HolderId)>; CLASSES],
    /// The time by which each holder is ordered, by index.
    ordered_by_us: Vec<u64>,
}

impl SizeClasses {
    /// Adds a holder.
    pub fn insert(&mut self, id: HolderId, bytes: u64, progress_us: u64) {
        if self.ordered_by_us.len() <= id.index() {
            self.ordered_by_us.resize(id.index() + 1, 0);
        }
        self.ordered_by_us[id.index()] = progress_us;
        self.classes[class(bytes)].insert((progress_us, id));
    }

    /// Removes a holder; `bytes` must be its size when it was added.
    pub fn remove(&mut self, id: HolderId, bytes: u64) {
        self.classes[class(bytes)].remove(&(self.ordered_by_us[id.index()], id));
    }

    /// A holder of the largest size class that has one whose last progress was at `until_us` or before; the
    /// one with the oldest progress of its class.
    pub fn largest_without_progress(
        &mut self,
        until_us: u64,
        progress_us: impl Fn(HolderId) -> u64,
    ) -> Option<HolderId> {
        let mut corrections = 0;
        for class in self.classes.iter_mut().rev() {
            while let Some((ordered_by_us, id)) = class.first().copied()
                && ordered_by_us <= until_us
            {
                let progress_us = progress_us(id);
                if progress_us <= until_us {
                    return Some(id);
                }
                if corrections == CORRECTIONS_MAX {
                    return None;
                }
                corrections += 1;
                class.pop_first();
                class.insert((progress_us, id));
                self.ordered_by_us[id.index()] = progress_us;
            }
        }
        None
    }
}

fn class(bytes: u64) -> usize {
    ((u64::BITS - bytes.leading_zeros()) as usize).min(CLASSES - 1)
}
