//! Client accounts: API keys, request priority, quota and allowed regions.
//!
//! Keys are kept as digests only, so that memory, logs and messages between nodes never contain one. The
//! platform adapter digests the keys that a platform publishes; the node digests the keys that callers
//! present. Tests: `tests/account.rs`.

use {
    crate::{Name, PER_1000_S},
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::fmt,
    subtle::ConstantTimeEq,
};

/// Length of a SHA-256 digest in bytes.
const DIGEST_BYTES: usize = 32;
/// Microseconds per second.
const US_PER_S: f64 = 1e6;

/// SHA-256 digest of an API key.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Computes the digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// Compares two digests in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }

    /// First 8 bytes, big-endian: the lookup key for tables of digests.
    pub fn prefix(&self) -> u64 {
        self.0.iter().take(size_of::<u64>()).fold(0, |prefix, byte| prefix << u8::BITS | u64::from(*byte))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// Settings of one client account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountRule {
    /// Account name, which is forwarded to upstreams.
    pub name: Name,
    /// Digests of the account's keys.
    pub keys: Vec<KeyDigest>,
    /// Priority of its requests, which overrides that of their routes; `None` keeps the route's priority.
    pub priority: Option<u32>,
    /// Request quota; `None` means unlimited.
    pub quota: Option<Quota>,
    /// Regions whose upstreams may serve the account; empty allows all regions.
    pub allowed_regions: Vec<Name>,
}

/// Fleet-wide request quota of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quota {
    /// Sustained rate, in requests per 1000 seconds.
    pub requests_per_1000_s: u64,
    /// Requests allowed in any window in addition to the sustained rate.
    pub burst: u64,
}

impl Quota {
    /// Maximum number of requests in a window of `window_us` microseconds.
    pub fn requests_in_window(&self, window_us: u64) -> f64 {
        let rate_per_s = self.requests_per_1000_s as f64 / PER_1000_S;
        rate_per_s * window_us as f64 / US_PER_S + self.burst as f64
    }
}
