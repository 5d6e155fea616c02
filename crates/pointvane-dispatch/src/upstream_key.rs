//! The key under which a pool keeps what it knows of one life of an upstream.

/// One life of an upstream in a pool, for as long as the pool lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamKey(pub(crate) u64);
