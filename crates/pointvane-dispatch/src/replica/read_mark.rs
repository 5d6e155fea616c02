//! How far the platform is read, as nodes tell each other.

use serde::{Deserialize, Serialize};

/// How far the platform is read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadMark {
    /// The revision up to which everything is known.
    pub revision: u64,
    /// The version of the configuration that is known.
    pub version: u64,
}

impl ReadMark {
    /// Whether everything up to the other mark is known.
    pub fn covers(self, other: Self) -> bool {
        self.revision >= other.revision && self.version >= other.version
    }
}
