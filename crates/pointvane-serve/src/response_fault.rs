//! What is wrong with a response, as named in logs and metrics.

use {
    crate::{checked_body::BodyError, checked_stream::EndedBeforeRequest},
    hyper::StatusCode,
    std::{
        error::Error,
        io::{self, ErrorKind},
    },
};

/// Why a response is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFault {
    /// A status that no final response may have: below 200 or above 599.
    InvalidStatus,
    /// A switch to another protocol, for which no request has asked.
    UnrequestedUpgrade,
    /// More interim responses than any upstream has reason to send.
    TooManyInterim,
    /// Two lengths that differ, or a length beside chunks.
    TwoLengths,
    /// A length that is not a decimal number.
    InvalidLength,
    /// A transfer coding other than chunks, or chunks that are coded again.
    UnknownCoding,
    /// The HTTP library reads the body in another way than its head states.
    ReadDifferently,
    /// The head is longer than the limit.
    HeadTooLong,
    /// The head is not a valid head of HTTP.
    InvalidHead,
    /// The response names another request.
    OtherRequest,
    /// The connection ended or failed before the body was complete.
    IncompleteBody,
    /// The connection ended before the request was sent whole.
    EndedBeforeRequest,
    /// The body ended with its connection, but its upstream has crashed.
    UpstreamCrashed,
    /// A chunk that is not valid.
    InvalidChunk,
}

impl ResponseFault {
    /// What is wrong with a final response of this status, to a request that has asked for no upgrade.
    pub fn of_status(status: StatusCode) -> Option<Self> {
        match status.as_u16() {
            101 => Some(Self::UnrequestedUpgrade),
            // A recipient treats other values like a server error (RFC 9110, 15).
            200..=599 => None,
            _ => Some(Self::InvalidStatus),
        }
    }

    /// The name in logs and the value of the label `reason` in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::InvalidStatus => "invalid-status",
            Self::UnrequestedUpgrade => "unrequested-upgrade",
            Self::TooManyInterim => "too-many-interim",
            Self::TwoLengths => "two-lengths",
            Self::InvalidLength => "invalid-length",
            Self::UnknownCoding => "unknown-coding",
            Self::ReadDifferently => "read-differently",
            Self::HeadTooLong => "head-too-long",
            Self::InvalidHead => "invalid-head",
            Self::OtherRequest => "other-request",
            Self::IncompleteBody => "incomplete-body",
            Self::EndedBeforeRequest => "ended-before-request",
            Self::UpstreamCrashed => "upstream-crashed",
            Self::InvalidChunk => "invalid-chunk",
        }
    }

    /// Whether it shows that the upstream does not speak HTTP as it should. A response that breaks off does not.
    pub const fn is_of_upstream(self) -> bool {
        !matches!(self, Self::IncompleteBody | Self::EndedBeforeRequest | Self::UpstreamCrashed)
    }

    /// The fault for which the HTTP library rejected a head; none if the connection failed instead.
    pub fn of_error(error: &hyper::Error) -> Option<Self> {
        match () {
            () if error.is_parse_too_large() => Some(Self::HeadTooLong),
            () if error.is_parse_status() => Some(Self::InvalidStatus),
            () if error.is_parse() => Some(Self::InvalidHead),
            () => None,
        }
    }

    /// The fault for which the rest of a body cannot be read.
    pub fn of_body_error(error: &BodyError) -> Self {
        let BodyError::Read(error) = error else { return Self::UpstreamCrashed };
        let source = io_source(error);
        if source.is_some_and(EndedBeforeRequest::caused) {
            return Self::EndedBeforeRequest;
        }
        match source.map(io::Error::kind) {
            Some(ErrorKind::InvalidInput | ErrorKind::InvalidData) => Self::InvalidChunk,
            _ => Self::IncompleteBody,
        }
    }
}

/// What became of a malformed response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultHandling {
    /// Nothing of it reaches the caller.
    Refused,
    /// Its head was corrected, and its body is relayed whole.
    Repaired,
    /// Its first bytes may have reached the caller, which sees that the response is incomplete.
    CutOff,
}

impl FaultHandling {
    /// The value of the label `result` in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Repaired => "repaired",
            Self::CutOff => "cut-off",
        }
    }
}

/// The first I/O error among the causes of an error.
pub fn io_source(error: &hyper::Error) -> Option<&io::Error> {
    let mut source = error.source();
    while let Some(error) = source {
        if let Some(error) = error.downcast_ref::<io::Error>() {
            return Some(error);
        }
        source = error.source();
    }
    None
}
