//! Which requests count as the same one when a caller sends one again: the single place that says so.
//!
//! Counted are the caller's address, the method, the host, the target with its query, and the body: its length and its first
//! [`FINGERPRINT_BODY_BYTES`]. Not counted are the identity of the caller's attempt, its deadline and all other headers, which differ each
//! time. A caller that varies the target or the body sends another request by this rule; so does one that comes from another address.
//! Tests: `tests/fingerprint.rs`; cost: `benches/fingerprint.rs`.

use {
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::{fmt, net::IpAddr},
};

/// Bytes of a body that count: bounds the cost for long and streamed bodies, of which no more than a first part is at hand.
///
/// Not measured at other values. Requests of one caller to one target that differ only behind this point and are equally long look alike.
pub const FINGERPRINT_BODY_BYTES: usize = 64 << 10;

/// Bytes of a fingerprint: two different requests among 10^9 share one with a probability below 10^-20.
const FINGERPRINT_BYTES: usize = 16;

/// Identity of what a caller asks for, the same at each node and each time that it is asked again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestFingerprint([u8; FINGERPRINT_BYTES]);

/// The parts of a request that count.
#[derive(Clone, Copy, Debug)]
pub struct FingerprintParts<'r> {
    /// Where the caller's connection comes from.
    pub caller: IpAddr,
    /// Its method.
    pub method: &'r str,
    /// The host that it names.
    pub host: &'r str,
    /// Path and query.
    pub target: &'r str,
    /// The body, or its first part.
    pub body: &'r [u8],
    /// Length of the whole body in bytes; none if its sender did not announce it and it has not come whole.
    pub body_length: Option<u64>,
}

impl RequestFingerprint {
    /// The fingerprint of a request.
    pub fn new(parts: &FingerprintParts<'_>) -> Self {
        let counted = parts.body.len().min(FINGERPRINT_BODY_BYTES);
        let mut hash = Sha256::new();
        hash.update(parts.caller.to_string());
        for part in [parts.method, parts.host, parts.target] {
            // Lengths keep the parts apart: `/a` + `b` is not `/` + `ab`.
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        hash.update(parts.body_length.unwrap_or(u64::MAX).to_be_bytes());
        hash.update(&parts.body[..counted]);
        let mut bytes = [0; FINGERPRINT_BYTES];
        bytes.copy_from_slice(&hash.finalize()[..FINGERPRINT_BYTES]);
        Self(bytes)
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
