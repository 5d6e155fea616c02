//! How the connections of callers end.

use std::{io, time::Duration};

/// What a caller may still do on a connection that closes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CloseLimits {
    /// Maximum time without a byte from the caller.
    pub idle_time: Duration,
    /// Maximum number of bytes that the caller sends in all.
    pub bytes_max: u64,
}

/// How a connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseResult {
    /// The caller closed its side.
    CallerClosed,
    /// The caller reset the connection.
    Reset,
    /// The caller took no byte of a response in time, or its machine did not answer the kernel's probes.
    Unresponsive,
    /// The caller sent nothing for [`CloseLimits::idle_time`] and did not close its side.
    IdleTooLong,
    /// The caller did not close its side within the maximum time.
    TookTooLong,
    /// The caller sent more than [`CloseLimits::bytes_max`].
    TooManyBytes,
    /// Too many connections were closing.
    Displaced,
    /// The process ends.
    ProcessEnds,
    /// A response broke off that only the end of the connection delimits; see [`crate::reset`].
    ResponseBrokeOff,
}

impl CloseResult {
    /// Name in metrics and log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::CallerClosed => "caller-closed",
            Self::Reset => "reset",
            Self::Unresponsive => "unresponsive",
            Self::IdleTooLong => "idle-too-long",
            Self::TookTooLong => "took-too-long",
            Self::TooManyBytes => "too-many-bytes",
            Self::Displaced => "displaced",
            Self::ProcessEnds => "process-ends",
            Self::ResponseBrokeOff => "response-broke-off",
        }
    }

    /// Whether this process gave the connection up, so that the caller may have lost a part of a response.
    pub const fn is_given_up(self) -> bool {
        !matches!(self, Self::CallerClosed | Self::Reset)
    }

    /// How a connection ended that failed with an I/O error.
    pub fn of_error(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::TimedOut => Self::Unresponsive,
            _ => Self::Reset,
        }
    }
}

/// The end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Closed {
    /// How it ended.
    pub result: CloseResult,
    /// Bytes from the caller that were dropped.
    pub dropped_bytes: u64,
}
