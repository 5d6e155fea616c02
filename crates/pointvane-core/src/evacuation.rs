//! Evacuation of a data centre: operators ask that its upstreams get no new work, for as long as the request stands.

use {
    crate::Name,
    serde::{Deserialize, Serialize},
};

/// Whether a data centre is to be empty, as the platform published it last.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// The data centre.
    pub data_centre: Name,
    /// Whether its upstreams get no new work; false once that was taken back.
    pub active: bool,
    /// The platform's revision at which this was published, or found to be gone; a smaller one is older.
    pub revision: u64,
}
