//! Names of things and identities of VMs.

use {
    serde::{Deserialize, Serialize},
    std::{borrow::Borrow, fmt, net::IpAddr, sync::Arc},
};

/// A shared immutable name: of a service, an upstream, a VM or a data centre.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Name(Arc<str>);

impl Name {
    /// The name's text.
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

/// One life of a process: larger for each later start under the same name.
///
/// Source: the wall clock in milliseconds at the start, so that no stored state is needed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// A VM in one of its lives.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VmIdentity {
    /// The VM's name, unique in the fleet.
    pub name: Name,
    /// The data centre the VM is in.
    pub data_centre: Name,
    /// The VM's IP number.
    pub address: IpAddr,
    /// Which life of the VM this is.
    pub incarnation: Incarnation,
}

/// What is believed of a VM or upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum VmState {
    /// It answers.
    Live,
    /// It missed a check and may be paused, cut off or dead.
    Suspect,
    /// It is stopping as planned: nothing new goes to it.
    Leaving,
    /// It is gone.
    Dead,
}
