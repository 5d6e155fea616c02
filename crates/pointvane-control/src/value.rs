//! The published values: which there are, and when one is whole.

use {
    pointvane_config::unpack,
    pointvane_mesh::{Stored, VmList},
    std::net::SocketAddr,
};

/// Which published value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ValueKind {
    /// The packed configuration.
    Configuration,
    /// The list of live and leaving VMs.
    VmList,
}

impl ValueKind {
    /// The kind's name in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::VmList => "vm-list",
        }
    }
}

/// A value to fetch from a peer.
#[derive(Clone, Copy, Debug)]
pub struct FetchOrder {
    /// Which value.
    pub kind: ValueKind,
    /// The peer's control.
    pub from: SocketAddr,
}

/// Whether a value can be used as it is; a damaged one is never taken in part.
pub fn is_whole(kind: ValueKind, stored: &Stored) -> bool {
    match kind {
        ValueKind::Configuration => {
            unpack(&stored.value).is_ok_and(|packed| packed.configuration.revision == stored.stamp.revision)
        }
        ValueKind::VmList => serde_json::from_slice::<VmList>(&stored.value).is_ok(),
    }
}
