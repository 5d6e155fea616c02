//! What a feed asks for, and how that can fail.

use crate::state::StateRequest;

/// The next thing to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedCall {
    /// Ask another node for what it knows.
    AskPeer {
        /// Whom.
        whom: Whom,
        /// What is known already.
        request: StateRequest,
        /// Time without an answer after which the call counts as failed.
        patience_ms: u64,
    },
    /// Read everything from the platform, from this place on.
    Snapshot {
        /// Where the page begins; none for the first.
        next_page: Option<String>,
        /// Time without an answer after which the call counts as failed.
        patience_ms: u64,
    },
    /// Wait for changes at the platform.
    Watch {
        /// The revision that is known.
        after: u64,
        /// The longest wait.
        wait_ms: u64,
        /// Time without an answer after which the call counts as failed.
        patience_ms: u64,
    },
    /// Do nothing until then.
    Rest {
        /// When to ask again what to do.
        until_us: u64,
    },
}

/// Which node is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Whom {
    /// Any that is known.
    Anyone,
    /// One that asks before this one, see [`crate::earlier_peer`].
    Earlier,
    /// The one that relayed last.
    Teller,
}

/// Why a call gave nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFailure {
    /// No connection, no answer in time, or a refusal.
    Unavailable,
    /// The platform no longer knows what changed since.
    HistoryGone,
    /// The answer cannot be understood.
    Malformed,
}

/// What a node does for the others' reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReaderRole {
    /// Watches the platform and relays what it tells.
    Sentinel,
    /// Looks at the platform and relays once no sentinel is heard.
    Deputy,
    /// Looks itself only when neither is heard.
    Follower,
}
