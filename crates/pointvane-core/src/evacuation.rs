//! Evacuation of a data centre: operators withhold new requests from all of its upstreams.

use {
    crate::Name,
    serde::{Deserialize, Serialize},
};

/// Evacuation state of a data centre, as last published by the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuation {
    /// The data centre.
    pub data_centre: Name,
    /// Whether its upstreams get no new requests; false once the evacuation has been cancelled.
    pub active: bool,
    /// Revision of the platform at which the evacuation was published or found to be removed; larger is
    /// newer.
    pub revision: u64,
}
