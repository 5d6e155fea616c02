//! Which requests count as the same one when they come again: the single place that says so.
//!
//! What makes an upstream crash is what the upstream gets. So counted are the method, the host, the path, the credentials, and the body: its
//! length and its first [`FINGERPRINT_BODY_BYTES`]; once with the query and once with any, since callers vary it for work that is the same (a page,
//! a time that keeps caches away). Not counted are the address of the caller, which upstreams do not get, and which differs for the VMs of
//! one client account: of one request that ended 50 upstreams, copies came at the same time to nodes of data centres to which the directory sends
//! different callers. Nor are the identity of the caller's attempt, its deadline and all other headers, which differ each time. Whoever varies the
//! path or the body sends another request by this rule.
//! Tests: `tests/fingerprint.rs`; cost: `benches/quarantine.rs`.

use {
    serde::{Deserialize, Serialize},
    sha2::{Digest, Sha256},
    std::fmt,
};

/// Bytes of a body that count: bounds the cost for long and streamed bodies, of which no more than a first part is at hand.
///
/// 12 us of processor time at this length (`benches/quarantine.rs`), for each body that is streamed and for others after a crash only. Requests
/// that differ only behind this point and are equally long look alike.
pub const FINGERPRINT_BODY_BYTES: usize = 16 << 10;

/// All of a request that counts but its query and body; cheap, so that most requests are told without these from those that are looked for.
///
/// Worked out, not measured: of 10^9 different requests beside 512 that are looked for, one is taken for another once in 3 * 10^7 times.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HeadFingerprint(u64);

/// Identity of what is asked for, the same at each node and each time that it is asked again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestFingerprint {
    head: HeadFingerprint,
    rest: u64,
}

/// What counts of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyFingerprint(u64);

/// Whether a query counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryScope<'r> {
    /// This query, or none, counts.
    Exact(Option<&'r str>),
    /// Requests with any query and with none are the same.
    Any,
}

impl HeadFingerprint {
    /// The fingerprint of a request without its query and body; credentials as they stand in the `Authorization` header, if there are any.
    pub fn new(method: &str, host: &str, path: &str, credentials: Option<&[u8]>) -> Self {
        let mut hash = Sha256::new();
        for part in [method.as_bytes(), host.as_bytes(), path.as_bytes(), credentials.unwrap_or_default()] {
            // Lengths keep the parts apart: `/a` + `b` is not `/` + `ab`.
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        Self(leading(hash))
    }

    /// The fingerprint with the query and the body.
    pub fn with_rest(self, query: QueryScope<'_>, body: BodyFingerprint) -> RequestFingerprint {
        /// What stands for a query that is not there, and for any query; no query is as long.
        const NO_QUERY: u64 = u64::MAX;
        const ANY_QUERY: u64 = u64::MAX - 1;
        let mut hash = Sha256::new();
        match query {
            QueryScope::Exact(Some(query)) => {
                hash.update((query.len() as u64).to_be_bytes());
                hash.update(query);
            }
            QueryScope::Exact(None) => hash.update(NO_QUERY.to_be_bytes()),
            QueryScope::Any => hash.update(ANY_QUERY.to_be_bytes()),
        }
        hash.update(body.0.to_be_bytes());
        RequestFingerprint { head: self, rest: leading(hash) }
    }
}

impl BodyFingerprint {
    /// The fingerprint of a body, or of the first part of it, with the whole body's length in bytes; none if its sender did not announce it
    /// and it has not come whole.
    pub fn new(body: &[u8], length: Option<u64>) -> Self {
        let mut hash = Sha256::new();
        hash.update(length.unwrap_or(u64::MAX).to_be_bytes());
        hash.update(&body[..body.len().min(FINGERPRINT_BODY_BYTES)]);
        Self(leading(hash))
    }
}

impl RequestFingerprint {
    /// The same without query and body.
    pub fn head(self) -> HeadFingerprint {
        self.head
    }
}

impl fmt::Display for HeadFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The head, then the rest: lines on requests that differ in query or body alone begin alike.
impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:016x}", self.head, self.rest)
    }
}

/// The first eight bytes of a hash.
fn leading(hash: Sha256) -> u64 {
    hash.finalize().iter().take(8).fold(0, |number, byte| (number << 8) | u64::from(*byte))
}
