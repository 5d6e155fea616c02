//! Request fingerprints: the single definition of which requests are repetitions of the same one.
//!
//! A crash is caused by what the upstream receives. A fingerprint therefore covers the method, host, path,
//! credentials, and the length and first [`FINGERPRINT_BODY_BYTES`] of the body. Each request has two
//! fingerprints, one with its query and one for any query, because callers vary the query for the same work
//! (page numbers, cache-busting timestamps).
//!
//! The caller's address is excluded: upstreams do not receive it, and it differs between the VMs of one
//! client account. Copies of one request that crashed 50 upstream processes arrived simultaneously at nodes
//! in data centres to which the directory sends different callers. The attempt's identity, the deadline and
//! all other headers are excluded because they differ on every attempt. A request with another path or body
//! has another fingerprint.
//!
//! Tests: `tests/fingerprint.rs`; cost: `benches/quarantine.rs`.

use {
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::fmt,
};

/// Number of leading body bytes covered by a fingerprint. Bounds the cost for long bodies and for streamed
/// ones, of which only a prefix is available.
///
/// Hashing this many bytes takes 12 us of CPU time (`benches/quarantine.rs`). It is done for every streamed
/// body, for others only after a crash. Requests of equal length that differ only after this prefix have the
/// same fingerprint.
pub const FINGERPRINT_BODY_BYTES: usize = 16 << 10;

/// Fingerprint of a request without its query and body. Cheap to compute and enough to rule out most requests.
///
/// With 512 tracked requests, the probability that any of 10^9 other requests collides with one of them is
/// 1 in 3 * 10^7.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HeadFingerprint(u64);

/// Fingerprint of a request, equal on all nodes and for every repetition of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestFingerprint {
    head: HeadFingerprint,
    query_and_body: u64,
}

/// Fingerprint of a request body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyFingerprint(u64);

/// Which queries a fingerprint covers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryScope<'r> {
    /// Only this query, or only requests without a query.
    Exact(Option<&'r str>),
    /// Any query, including none.
    Any,
}

impl HeadFingerprint {
    /// Computes the fingerprint. `credentials` is the raw value of the `Authorization` header, if present.
    pub fn new(method: &str, host: &str, path: &str, credentials: Option<&[u8]>) -> Self {
        let mut hash = Sha256::new();
        for field in [method.as_bytes(), host.as_bytes(), path.as_bytes(), credentials.unwrap_or_default()] {
            // Length prefixes keep the fields distinct: `/a` + `b` is not `/` + `ab`.
            hash.update((field.len() as u64).to_be_bytes());
            hash.update(field);
        }
        Self(first_u64(hash))
    }

    /// Combines this fingerprint with those of the query and the body.
    pub fn with_query_and_body(self, query: QueryScope<'_>, body: BodyFingerprint) -> RequestFingerprint {
        /// Hashed in place of the length of a query; no query is this long.
        const NO_QUERY_TAG: u64 = u64::MAX;
        const ANY_QUERY_TAG: u64 = u64::MAX - 1;
        let mut hash = Sha256::new();
        match query {
            QueryScope::Exact(Some(query)) => {
                hash.update((query.len() as u64).to_be_bytes());
                hash.update(query);
            }
            QueryScope::Exact(None) => hash.update(NO_QUERY_TAG.to_be_bytes()),
            QueryScope::Any => hash.update(ANY_QUERY_TAG.to_be_bytes()),
        }
        hash.update(body.0.to_be_bytes());
        RequestFingerprint { head: self, query_and_body: first_u64(hash) }
    }
}

impl BodyFingerprint {
    /// Computes the fingerprint of a body or of its prefix. `length` is the length of the whole body in
    /// bytes; `None` if the sender did not announce it and the body has not arrived completely.
    pub fn new(body: &[u8], length: Option<u64>) -> Self {
        let mut hash = Sha256::new();
        hash.update(length.unwrap_or(u64::MAX).to_be_bytes());
        hash.update(&body[..body.len().min(FINGERPRINT_BODY_BYTES)]);
        Self(first_u64(hash))
    }
}

impl RequestFingerprint {
    /// Returns the fingerprint without query and body.
    pub fn head(self) -> HeadFingerprint {
        self.head
    }
}

impl fmt::Display for HeadFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Writes the head first, so that log lines about requests that differ only in query or body share a prefix.
impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:016x}", self.head, self.query_and_body)
    }
}

/// Returns the first eight bytes of a hash as a big-endian integer.
fn first_u64(hash: Sha256) -> u64 {
    hash.finalize().iter().take(8).fold(0, |number, byte| (number << 8) | u64::from(*byte))
}
