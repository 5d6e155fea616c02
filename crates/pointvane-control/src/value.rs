//! The values published on the platform, and their validation.

use {
    pointvane_config::unpack,
    pointvane_mesh::{StampedValue, VmList},
    std::net::SocketAddr,
};

/// Kind of a published value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueKind {
    /// The packed configuration.
    Configuration,
    /// The list of live and leaving VMs.
    VmList,
}

impl ValueKind {
    /// Returns the value of the `key` attribute in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::VmList => "vm-list",
        }
    }
}

/// A value to fetch from a peer.
#[derive(Clone, Copy, Debug)]
pub struct FetchRequest {
    /// Kind of the value.
    pub kind: ValueKind,
    /// Control address of the peer.
    pub from: SocketAddr,
}

/// Whether a value can be parsed and, for a configuration, matches its digest and the revision of its stamp.
pub fn is_valid(kind: ValueKind, stamped: &StampedValue) -> bool {
    match kind {
        ValueKind::Configuration => {
            unpack(&stamped.value).is_ok_and(|packed| packed.configuration.revision == stamped.stamp.revision)
        }
        ValueKind::VmList => serde_json::from_slice::<VmList>(&stamped.value).is_ok(),
    }
}
