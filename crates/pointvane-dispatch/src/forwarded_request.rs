//! Metadata that a node sends with a request that it forwards to another node.
//!
//! The receiver handles the request by its own configuration, which must not be older than the sender's; it
//! authorizes the request again, but the sender has charged the account's quota and has deposited in the retry
//! budget. Tests: `tests/forwarded_request.rs`.

use {
    pointvane_core::Name,
    std::{fmt, str::FromStr},
};

/// Metadata of a forwarded request; written as the three fields separated by spaces.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardedRequest {
    /// Least version of the configuration by which it may be handled: the sender's, or a newer one by which
    /// other nodes have handled its requests.
    pub version: u64,
    /// Upstreams that it may still be sent to.
    pub attempts_left: u32,
    /// The service that the sender chose for it, among those of its route.
    pub service: Name,
}

impl fmt::Display for ForwardedRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} {}", self.version, self.attempts_left, self.service)
    }
}

/// The text is not that of a [`ForwardedRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MalformedForward;

impl FromStr for ForwardedRequest {
    type Err = MalformedForward;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut fields = text.splitn(3, ' ');
        let mut field = || fields.next().ok_or(MalformedForward);
        let version = field()?.parse().map_err(|_| MalformedForward)?;
        let attempts_left = field()?.parse().map_err(|_| MalformedForward)?;
        Ok(Self { version, attempts_left, service: field()?.into() })
    }
}

/// Divides the attempts that a request has left between a node that it is forwarded to and this one; returns
/// the other node's part.
///
/// One attempt stays here for repeatable requests, so that a second node can be tried if the first one does
/// not respond.
pub fn attempts_to_hand_over(attempts_left: u32, is_repeatable: bool) -> u32 {
    if is_repeatable && attempts_left > 1 { attempts_left - 1 } else { attempts_left }
}
