//! The key under which a pool stores the state of one incarnation of an upstream.

/// Identifies one incarnation of an upstream in a pool. Keys are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamKey(pub(crate) u64);
