//! What is wrong with a response, as named in logs and metrics.

/// Why a response is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFault {
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
}

impl ResponseFault {
    /// The name in logs and the value of the label `reason` in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::TwoLengths => "two-lengths",
            Self::InvalidLength => "invalid-length",
            Self::UnknownCoding => "unknown-coding",
            Self::ReadDifferently => "read-differently",
            Self::HeadTooLong => "head-too-long",
            Self::InvalidHead => "invalid-head",
        }
    }

    /// The fault for which the HTTP library rejected a head; none if the connection failed instead.
    pub fn of_error(error: &hyper::Error) -> Option<Self> {
        match () {
            () if error.is_parse_too_large() => Some(Self::HeadTooLong),
            () if error.is_parse() => Some(Self::InvalidHead),
            () => None,
        }
    }
}
