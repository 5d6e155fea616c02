//! Error kinds and the table that maps each one to its HTTP response.

use std::fmt;

/// What a response tells the caller about the execution of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// The response is the upstream's.
    Answered,
    /// The request has not run and will not run: no byte of it has reached an upstream or will reach one.
    NotRun,
    /// The request may or may not have run.
    Unknown,
}

impl Outcome {
    /// The value of the `pointvane-outcome` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Reasons for which pointvane itself responds in place of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ErrorKind {
    /// The request's head is malformed.
    BadRequest,
    /// No service is configured for this host and path.
    NoSuchService,
    /// A request that must not be repeated has no idempotency key.
    KeyMissing,
    /// The idempotency key is malformed.
    KeyInvalid,
    /// The key has expired, or its lifetime exceeds the maximum; whether its request ran is not known.
    KeyExpired,
    /// The only incarnation that may run this key is gone or unreachable.
    KeyOwnerGone,
    /// The key table is full, so a late duplicate of this request could not be detected.
    KeysFull,
    /// The key's request ran, but its response was too large or too old to be stored.
    AnswerNotKept,
    /// The queue is full, or the wait in it would exceed the deadline.
    Overloaded,
    /// The deadline passed before the request was sent to an upstream.
    DeadlinePassed,
    /// No upstream of the service is eligible for requests.
    NoUpstream,
    /// No connection to the selected upstreams could be established.
    UpstreamUnreachable,
    /// The upstream received the request and sent no complete response head.
    UpstreamBroken,
    /// The upstream received the request and did not respond before the deadline.
    UpstreamTimeout,
    /// The entry VM is shutting down gracefully.
    Stopping,
    /// The entry VM has no configuration yet.
    NotReady,
    /// All upstreams that could run the request are in data centres under evacuation.
    Evacuated,
    /// The request is quarantined because it crashes upstreams. The response has no `Retry-After`, because a
    /// retry would crash more of them.
    RequestQuarantined,
    /// All upstreams that could run the request are backing off, or are unusable for other reasons.
    UpstreamsBackingOff,
    /// The route requires an API key of a client account, and the request has none or an unknown one.
    Unauthorized,
    /// The client account has used up its quota.
    QuotaExceeded,
    /// The node's list of keys is out of date, so keys may have been revoked, and the deployment is
    /// configured to fail closed.
    AccountsUnconfirmed,
    /// All upstreams that could run the request are at their request limits, or are unusable for other
    /// reasons.
    UpstreamsLimited,
    /// The node has no memory for the request's body.
    MemoryExhausted,
    /// The request's body is in a transfer coding other than chunks.
    UnsupportedCoding,
}

/// HTTP response to one [`ErrorKind`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerRow {
    /// The error kind.
    pub kind: ErrorKind,
    /// Value of the `pointvane-error` header.
    pub name: &'static str,
    /// HTTP status code.
    pub status: u16,
    /// Value of the `pointvane-outcome` header.
    pub outcome: Outcome,
    /// Whether the response has a `Retry-After` header.
    pub retry_after: bool,
}

const fn row(
    kind: ErrorKind,
    name: &'static str,
    status: u16,
    outcome: Outcome,
    retry_after: bool,
) -> AnswerRow {
    AnswerRow { kind, name, status, outcome, retry_after }
}

const TABLE: [AnswerRow; 25] = [
    row(ErrorKind::BadRequest, "bad-request", 400, Outcome::NotRun, false),
    row(ErrorKind::NoSuchService, "no-such-service", 404, Outcome::NotRun, false),
    row(ErrorKind::KeyMissing, "key-missing", 428, Outcome::NotRun, false),
    row(ErrorKind::KeyInvalid, "key-invalid", 400, Outcome::NotRun, false),
    row(ErrorKind::KeyExpired, "key-expired", 410, Outcome::Unknown, false),
    row(ErrorKind::KeyOwnerGone, "key-owner-gone", 409, Outcome::Unknown, false),
    row(ErrorKind::KeysFull, "keys-full", 503, Outcome::Unknown, true),
    row(ErrorKind::AnswerNotKept, "answer-not-kept", 409, Outcome::Unknown, false),
    row(ErrorKind::Overloaded, "overloaded", 503, Outcome::NotRun, true),
    row(ErrorKind::DeadlinePassed, "deadline-passed", 504, Outcome::NotRun, false),
    row(ErrorKind::NoUpstream, "no-upstream", 503, Outcome::NotRun, true),
    row(ErrorKind::UpstreamUnreachable, "upstream-unreachable", 503, Outcome::NotRun, true),
    row(ErrorKind::UpstreamBroken, "upstream-broken", 502, Outcome::Unknown, false),
    row(ErrorKind::UpstreamTimeout, "upstream-timeout", 504, Outcome::Unknown, false),
    row(ErrorKind::Stopping, "stopping", 503, Outcome::NotRun, true),
    row(ErrorKind::NotReady, "not-ready", 503, Outcome::NotRun, true),
    row(ErrorKind::Evacuated, "evacuated", 503, Outcome::NotRun, true),
    row(ErrorKind::RequestQuarantined, "request-quarantined", 503, Outcome::NotRun, false),
    row(ErrorKind::UpstreamsBackingOff, "upstreams-backing-off", 503, Outcome::NotRun, true),
    row(ErrorKind::Unauthorized, "unauthorized", 401, Outcome::NotRun, false),
    row(ErrorKind::QuotaExceeded, "quota-exceeded", 429, Outcome::NotRun, true),
    row(ErrorKind::AccountsUnconfirmed, "accounts-unconfirmed", 503, Outcome::NotRun, true),
    row(ErrorKind::UpstreamsLimited, "upstreams-limited", 503, Outcome::NotRun, true),
    row(ErrorKind::MemoryExhausted, "memory-exhausted", 503, Outcome::NotRun, true),
    row(ErrorKind::UnsupportedCoding, "unsupported-coding", 501, Outcome::NotRun, false),
];

impl ErrorKind {
    /// All rows, in the order of the variants of [`ErrorKind`].
    pub const fn table() -> &'static [AnswerRow] {
        &TABLE
    }

    /// The response to this kind.
    pub const fn answer(self) -> &'static AnswerRow {
        &TABLE[self as usize]
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.answer().name)
    }
}

impl std::error::Error for ErrorKind {}
