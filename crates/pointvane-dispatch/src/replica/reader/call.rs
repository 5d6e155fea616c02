//! What the reader asks its caller to do, and how that can fail.

use {crate::replica::state_query::StateRequest, pointvane_core::ReadFreshness};

/// The next thing to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReaderCall {
    /// Query another node for what it knows.
    QueryPeer(PeerQuery),
    /// Read everything from the platform.
    Snapshot {
        /// Why.
        reason: CallReason,
        /// Where the page begins; none for the first.
        next_page: Option<String>,
        /// How new the page must be.
        freshness: ReadFreshness,
        /// Time to the answer's first byte after which the call has failed, in milliseconds.
        timeout_ms: u64,
    },
    /// Wait for changes at the platform.
    Watch {
        /// Why.
        reason: CallReason,
        /// The revision that is known.
        after: u64,
        /// Longest wait for a change, in milliseconds.
        wait_ms: u64,
        /// Time to the answer's first byte after which the call has failed, in milliseconds.
        timeout_ms: u64,
        /// Size of an answer's body beyond which it is not read, in bytes.
        answer_bytes_max: usize,
    },
    /// Do nothing until then.
    Wait {
        /// When to ask again what to do, in microseconds of the steady clock.
        until_us: u64,
    },
}

/// What to query peers for, beside calls to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReaderQuery {
    /// Query a peer.
    Peer(PeerQuery),
    /// Nothing until then.
    Wait {
        /// When to ask again, in microseconds of the steady clock.
        until_us: u64,
    },
}

/// A query of another node for what it knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerQuery {
    /// Which node.
    pub target: QueryTarget,
    /// What is known already.
    pub request: StateRequest,
    /// Time for a connection after which the query has failed, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Time to the answer's first byte after which the query has failed, in milliseconds.
    pub timeout_ms: u64,
}

/// Which node is queried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryTarget {
    /// Any that is known.
    Any,
    /// One that queries before this one, see [`crate::earlier_peer`].
    Earlier {
        /// The revision in whose order they query.
        revision: u64,
    },
    /// The one that has read furthest of those whose relays are received.
    Broadcaster,
}

/// Why the platform is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallReason {
    /// Nothing was read yet.
    Start,
    /// This node watches for all.
    Watching,
    /// No other reader was heard in time.
    LeaseOver,
    /// Peers did not bring what this node lacks.
    CatchUp,
    /// The call before failed.
    Retry,
    /// The platform no longer holds the changes that are missing.
    HistoryGone,
    /// The platform answered with an older revision than before.
    WentBack,
    /// An answer broke off, was too long or could not be understood.
    BadAnswer,
    /// What changed of the configuration could not be applied.
    ConfigurationMissing,
}

impl CallReason {
    /// How new a read of everything for this reason must be.
    ///
    /// A node that has just started may begin with what was published seconds ago: what followed comes with its first watch or
    /// by the other nodes, within two seconds, before it counts as in touch. Platforms serve such reads at a fraction of the cost: after
    /// a loss of power of all nodes most of their calls are of this kind.
    pub const fn freshness(self) -> ReadFreshness {
        match self {
            Self::Start => ReadFreshness::MayBeStale,
            _ => ReadFreshness::Newest,
        }
    }

    /// The value of the label `reason` in metrics and events.
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

/// Why a call to the platform gave nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// No connection, no answer in time, or a refusal.
    Unavailable,
    /// An answer broke off, or did not come whole in time: it was too much for the link.
    BrokenOff,
    /// The answer is longer than a read of everything would be: it holds several versions of the same items.
    LongerThanState,
    /// The platform no longer holds the changes since the revision that is known.
    HistoryGone,
    /// The answer cannot be understood.
    Malformed,
}

/// What a node does for the others' reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderRole {
    /// Watches the platform and relays what it reads.
    Watcher,
    /// Reads the platform and relays once no watcher is heard.
    Standby,
    /// Reads for itself only when neither is heard.
    Follower,
}
