//! Calls and queries that the reader requests from its caller, and the ways in which a call can fail.

use {crate::replica::state_query::StateRequest, pointvane_core::ReadFreshness};

/// The next action of the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReaderCall {
    /// Query another node for its state.
    QueryPeer(PeerQuery),
    /// Read one page of a snapshot from the platform.
    Snapshot {
        /// Reason for the call.
        reason: CallReason,
        /// Start of the page; `None` for the first.
        next_page: Option<String>,
        /// Required freshness of the page.
        freshness: ReadFreshness,
        /// Timeout for the first byte of the response, in milliseconds.
        timeout_ms: u64,
    },
    /// Wait for changes at the platform.
    Watch {
        /// Reason for the call.
        reason: CallReason,
        /// The revision read so far.
        after: u64,
        /// Longest wait for a change, in milliseconds.
        wait_ms: u64,
        /// Timeout for the first byte of the response, in milliseconds; includes the wait.
        timeout_ms: u64,
        /// Largest response body that is read, in bytes.
        answer_bytes_max: usize,
    },
    /// Do nothing for now.
    Wait {
        /// When to ask for the next call, in microseconds of the monotonic clock.
        until_us: u64,
    },
}

/// The next query of a peer, made concurrently with calls to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReaderQuery {
    /// Query a peer.
    Peer(PeerQuery),
    /// Send no query for now.
    Wait {
        /// When to ask for the next query, in microseconds of the monotonic clock.
        until_us: u64,
    },
}

/// A query of another node for its state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerQuery {
    /// The node to query.
    pub target: QueryTarget,
    /// The state this node already has.
    pub request: StateRequest,
    /// Timeout for the connection, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Timeout for the first byte of the response, in milliseconds.
    pub timeout_ms: u64,
}

/// Selects the node to query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryTarget {
    /// Any known node.
    Any,
    /// A node that queries before this one, see [`crate::earlier_peer`].
    Earlier {
        /// The revision whose query order applies.
        revision: u64,
    },
    /// The node with the highest revision among those whose relays arrive.
    Broadcaster,
}

/// Reason for a call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallReason {
    /// Nothing has been read yet.
    Start,
    /// This node watches for the fleet.
    Watching,
    /// No relay renewed the lease in time.
    LeaseOver,
    /// Peers did not supply what this node lacks.
    CatchUp,
    /// The previous call failed.
    Retry,
    /// The platform no longer holds the changes this node lacks.
    HistoryGone,
    /// The platform returned an older revision than before.
    WentBack,
    /// A response was truncated, too long or malformed.
    BadAnswer,
    /// A configuration delta could not be applied.
    ConfigurationMissing,
}

impl CallReason {
    /// Required freshness of a snapshot read for this reason.
    ///
    /// A node that has just started may begin with data that is a few seconds old: the changes since follow
    /// with its first watch or from other nodes within two seconds, before the node counts as connected
    /// again. Platforms serve stale reads at a fraction of the cost, and after a power loss of the whole
    /// fleet most of their calls are of this kind.
    pub const fn freshness(self) -> ReadFreshness {
        match self {
            Self::Start => ReadFreshness::MayBeStale,
            _ => ReadFreshness::Newest,
        }
    }

    /// Value of the label `reason` in metrics and events.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Start => "start",
            Self::Watching => "watching",
            Self::LeaseOver => "lease-over",
            Self::CatchUp => "catch-up",
            Self::Retry => "retry",
            Self::HistoryGone => "history-gone",
            Self::WentBack => "went-back",
            Self::BadAnswer => "bad-answer",
            Self::ConfigurationMissing => "configuration-missing",
        }
    }
}

/// Why a call to the platform failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// Connection failed, response timed out, or the call was refused.
    Unavailable,
    /// The response was truncated or did not arrive completely in time, because it exceeded the capacity of
    /// the link.
    Truncated,
    /// The response is longer than a snapshot would be, since it contains several versions of the same items.
    ExceedsSnapshotSize,
    /// The platform no longer holds the changes since the requested revision.
    HistoryGone,
    /// The response is malformed.
    Malformed,
}

/// Role of a node in reading the platform for the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderRole {
    /// Watches the platform and relays its responses.
    Watcher,
    /// Reads the platform and relays when no relays from a watcher arrive.
    Standby,
    /// Reads for itself only when relays arrive from neither watchers nor standbys.
    Follower,
}
