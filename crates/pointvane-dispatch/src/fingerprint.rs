//! Which requests count as the same one when a caller sends one again: the single place that says so.
//!
//! Counted are the caller's address, the method, the host, the target with its query, and the body: its length and its first
//! [`FINGERPRINT_BODY_BYTES`]. Not counted are the identity of the caller's attempt, its deadline and all other headers, which differ each
//! time. A caller that varies the target or the body sends another request by this rule; so does one that comes from another address.
//! Tests: `tests/fingerprint.rs`; cost: `benches/quarantine.rs`.

use {
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::{fmt, net::IpAddr},
};

/// Bytes of a body that count: bounds the cost for long and streamed bodies, of which no more than a first part is at hand.
///
/// Not measured at other values. Requests of one caller to one target that differ only behind this point and are equally long look alike.
pub const FINGERPRINT_BODY_BYTES: usize = 64 << 10;

/// All of a request that counts but its body; cheap, so that most requests are told from those that are looked for without their bodies.
///
/// Worked out, not measured: of 10^9 different requests beside 512 that are looked for, one is taken for another once in 3 * 10^7 times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HeadFingerprint(u64);

/// Identity of what a caller asks for, the same at each node and each time that it is asked again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestFingerprint {
    head: HeadFingerprint,
    body: u64,
}

impl HeadFingerprint {
    /// The fingerprint of a request without its body; `target` is path and query.
    pub fn new(caller: IpAddr, method: &str, host: &str, target: &str) -> Self {
        let mut hash = Sha256::new();
        hash.update(caller.to_string());
        for part in [method, host, target] {
            // Lengths keep the parts apart: `/a` + `b` is not `/` + `ab`.
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        Self(leading(hash))
    }

    /// The fingerprint of the whole request, with its body or the first part of it, and the whole body's length in bytes; none if its sender
    /// did not announce it and it has not come whole.
    pub fn with_body(self, body: &[u8], length: Option<u64>) -> RequestFingerprint {
        let counted = body.len().min(FINGERPRINT_BODY_BYTES);
        let mut hash = Sha256::new();
        hash.update(length.unwrap_or(u64::MAX).to_be_bytes());
        hash.update(&body[..counted]);
        RequestFingerprint { head: self, body: leading(hash) }
    }
}

impl RequestFingerprint {
    /// The same without the body.
    pub fn head(self) -> HeadFingerprint {
        self.head
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.head.0, self.body)
    }
}

/// The first eight bytes of a hash.
fn leading(hash: Sha256) -> u64 {
    hash.finalize().iter().take(8).fold(0, |number, byte| (number << 8) | u64::from(*byte))
}
