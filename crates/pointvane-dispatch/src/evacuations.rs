//! Evacuations: data centres whose upstreams get no new requests.
//!
//! Operators begin and end the evacuation of a data centre. Inputs: the entries that the platform publishes,
//! received from the platform or from other nodes in any order. Each entry has the revision at which it was
//! published, and the one with the highest revision applies; an entry that is absent from a full read ended
//! by the revision of that read. A platform outage ends none. Requests in flight run to completion. Checked
//! in `eligibility.rs`. Tests: `tests/evacuations.rs`.

use {
    pointvane_core::{Evacuation, Name},
    std::collections::HashMap,
};

/// Maximum number of ended evacuations that are remembered, which limits memory. They are kept so that an
/// older entry that arrives late does not begin an evacuation again.
const ENDED_EVACUATIONS_MAX: usize = 256;

/// The active evacuations, and those that ended last.
#[derive(Clone, Debug, Default)]
pub struct Evacuations {
    by_data_centre: HashMap<Name, Evacuation>,
    active: usize,
}

impl Evacuations {
    /// Applies an entry; true if the data centre's evacuation begins or ends by it.
    pub fn apply(&mut self, evacuation: Evacuation) -> bool {
        let known = self.by_data_centre.get(&evacuation.data_centre);
        if known.is_some_and(|known| known.revision >= evacuation.revision) {
            return false;
        }
        let changes = known.is_some_and(|known| known.active) != evacuation.active;
        self.by_data_centre.insert(evacuation.data_centre.clone(), evacuation);
        self.active = self.active().count();
        self.evict_oldest_ended();
        changes
    }

    /// Whether a data centre is being evacuated, so that its upstreams get no new requests.
    pub fn is_evacuated(&self, data_centre: &Name) -> bool {
        self.active > 0 && self.by_data_centre.get(data_centre).is_some_and(|known| known.active)
    }

    /// The active evacuations.
    pub fn active(&self) -> impl Iterator<Item = &Evacuation> {
        self.by_data_centre.values().filter(|known| known.active)
    }

    /// Evicts the ended evacuation with the lowest revision if there are too many.
    fn evict_oldest_ended(&mut self) {
        if self.by_data_centre.len() - self.active <= ENDED_EVACUATIONS_MAX {
            return;
        }
        let ended = self.by_data_centre.values().filter(|known| !known.active);
        let oldest = ended.min_by_key(|known| known.revision).map(|known| known.data_centre.clone());
        oldest.map(|data_centre| self.by_data_centre.remove(&data_centre));
    }
}
