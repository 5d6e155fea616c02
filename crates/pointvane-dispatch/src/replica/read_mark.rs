//! The revision and configuration version up to which a node has read the platform, as nodes exchange them.

use serde::{Deserialize, Serialize};

/// The revision and configuration version up to which a node has read the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadMark {
    /// The revision up to which all entries are known.
    pub revision: u64,
    /// The version of the known configuration; 0 if there is none.
    pub version: u64,
}

impl ReadMark {
    /// Whether this mark is at or past `other` in both revision and version.
    pub fn covers(self, other: Self) -> bool {
        self.revision >= other.revision && self.version >= other.version
    }
}
