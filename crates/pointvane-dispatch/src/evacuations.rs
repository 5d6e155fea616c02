//! Evacuations: which data centres may get new work.
//!
//! Operators ask that the upstreams of a data centre get nothing new, until they take that back. Inputs: what the platform
//! publishes, as it comes from the platform itself or from other nodes, in any order. Each entry has the revision at which it was
//! published, and the newest one holds; an entry that is missing from everything that was read ended by that read. An outage of the
//! platform ends none. Work under way finishes where it is. Asked in `eligibility.rs`. Tests: `tests/evacuations.rs`.

use {
    pointvane_core::{Evacuation, Name},
    std::collections::HashMap,
};

/// Evacuations that were taken back and are remembered, so that an older entry that comes late does not bring one back.
///
/// Bounds memory; not measured.
const ENDED_MAX: usize = 256;

/// The evacuations that are published, and the last ones that were taken back.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    by_data_centre: HashMap<Name, Evacuation>,
    active: usize,
}

impl Evacuations {
    /// Takes an entry; true if it changes whether the data centre may get work.
    pub fn apply(&mut self, evacuation: Evacuation) -> bool {
        let known = self.by_data_centre.get(&evacuation.data_centre);
        if known.is_some_and(|known| known.revision >= evacuation.revision) {
            return false;
        }
        let changes = known.is_some_and(|known| known.active) != evacuation.active;
        self.by_data_centre.insert(evacuation.data_centre.clone(), evacuation);
        self.active = self.active().count();
        self.forget_ended();
        changes
    }

    /// Whether the upstreams of a data centre get no new work.
    pub fn is_evacuated(&self, data_centre: &Name) -> bool {
        self.active > 0 && self.by_data_centre.get(data_centre).is_some_and(|known| known.active)
    }

    /// The evacuations that hold.
    pub fn active(&self) -> impl Iterator<Item = &Evacuation> {
        self.by_data_centre.values().filter(|known| known.active)
    }

    /// Forgets the one that ended first when there are too many.
    fn forget_ended(&mut self) {
        if self.by_data_centre.len() - self.active <= ENDED_MAX {
            return;
        }
        let ended = self.by_data_centre.values().filter(|known| !known.active);
        let first = ended.min_by_key(|known| known.revision).map(|known| known.data_centre.clone());
        first.map(|data_centre| self.by_data_centre.remove(&data_centre));
    }
}
