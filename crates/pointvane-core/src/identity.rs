//! Names, and identities and states of VMs.

use {
    serde::{Deserialize, Serialize},
    std::{borrow::Borrow, fmt, net::IpAddr, sync::Arc},
};

/// Name of a service, upstream, VM, data centre, route, account or region; cheap to clone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Name(Arc<str>);

impl Name {
    /// The name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for Name {
    fn from(text: &str) -> Self {
        Self(Arc::from(text))
    }
}

impl From<&Name> for Arc<str> {
    fn from(name: &Name) -> Self {
        Arc::clone(&name.0)
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Incarnation number of a process, which grows with each start under the same name.
///
/// It is the wall-clock time of the start in milliseconds, so that no state has to be stored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// One incarnation of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VmIdentity {
    /// The VM's name, unique in the fleet.
    pub name: Name,
    /// The VM's data centre.
    pub data_centre: Name,
    /// The VM's IP address.
    pub address: IpAddr,
    /// The VM's incarnation.
    pub incarnation: Incarnation,
}

/// Membership state of a VM or upstream, as known to the local process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum VmState {
    /// Responds to health checks.
    Live,
    /// Missed a check: may be paused, partitioned or dead.
    Suspect,
    /// Is shutting down gracefully and gets no new requests.
    Leaving,
    /// Has failed or left.
    Dead,
}
