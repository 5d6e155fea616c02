//! What a platform publishes, in the product's own terms: routes, services, limits and upstreams.

use {
    crate::Name,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// One published configuration, whole.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoutingConfiguration {
    /// The operators' count; larger is newer.
    pub version: u64,
    /// The routes, in no order.
    pub routes: Vec<RouteRule>,
    /// The services that routes name.
    pub services: Vec<ServiceRule>,
    /// What callers are held to.
    pub limits: CallerLimits,
}

/// What a route's requests allow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum RouteKind {
    /// Requests may run more than once.
    Safe,
    /// Requests may run at most once.
    Unsafe,
    /// Large bodies, to be treated like [`RouteKind::Unsafe`].
    Upload,
}

impl RouteKind {
    /// Whether a request may be sent again after it may have run.
    pub const fn repeatable(self) -> bool {
        matches!(self, Self::Safe)
    }
}

/// Which requests go where, and how.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteRule {
    /// The route's name, for logs and metrics.
    pub name: Name,
    /// The `Host` it serves, without port.
    pub host: Name,
    /// Prefix of the path; the longest that fits wins.
    pub path_prefix: Name,
    /// What its requests allow.
    pub kind: RouteKind,
    /// Longest time a request may be held, in milliseconds.
    pub timeout_ms: u64,
    /// Time within which an answer is worth most, in milliseconds.
    pub target_latency_ms: u64,
    /// Most upstreams one request may go to.
    pub attempts_max: u32,
    /// Rank; 0 is the most urgent.
    pub priority: u32,
    /// The services that share its requests.
    pub backends: Vec<WeightedService>,
}

/// A service's share of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: Name,
    /// Its share, relative to the others'.
    pub weight: u32,
}

/// What is published of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRule {
    /// The service's name.
    pub name: Name,
    /// Path on which its upstreams tell their health and load.
    pub health_path: Name,
}

/// What callers are held to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub header_bytes_max: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes_max: u64,
    /// Longest time for a whole head, in milliseconds.
    pub header_timeout_ms: u64,
    /// Longest rest of a kept connection, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes_max: 16_384,
            body_bytes_max: 64 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// One upstream as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// Identity of one life of the upstream.
    pub id: Name,
    /// The service it belongs to.
    pub service: Name,
    /// Where it serves.
    pub address: SocketAddr,
    /// The data centre it stands in.
    pub data_centre: Name,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether it is leaving and must get no new work.
    pub draining: bool,
    /// How much longer it is slow from its start, in milliseconds.
    pub warm_up_left_ms: u64,
    /// Count of the upstream's own words; a word with a smaller count is older.
    pub sequence: u64,
}

/// One change of what a platform publishes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A configuration was published.
    Configuration(Box<RoutingConfiguration>),
    /// An upstream appeared or changed.
    Upstream(UpstreamRecord),
    /// An upstream's entry is gone.
    UpstreamGone(Name),
}

impl Change {
    /// Identity of the upstream that it speaks of, if it speaks of one.
    pub fn upstream(&self) -> Option<&Name> {
        match self {
            Self::Upstream(record) => Some(&record.id),
            Self::UpstreamGone(id) => Some(id),
            Self::Configuration(_) => None,
        }
    }
}

/// A part of what is published at one moment, or of what changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChangePage {
    /// The changes, oldest first.
    pub changes: Vec<Change>,
    /// Revision up to which the page speaks.
    pub revision: u64,
    /// Where the next page begins, if there is one.
    pub next_page: Option<String>,
    /// Items that could not be understood and were left out.
    pub refused: Vec<RefusedItem>,
}

/// An item that could not be understood.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RefusedItem {
    /// Its key.
    pub key: String,
    /// What is wrong with it.
    pub problem: String,
}

/// A reply of the platform that cannot be understood at all.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MalformedReply(pub String);

/// A caller's question to the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryQuestion {
    /// The caller's data centre, if it names one.
    pub data_centre: Option<Name>,
}

/// Names of the headers between callers, pointvane and upstreams, in lower case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Identity of one attempt of a caller; an answer repeats it.
    pub request_id: &'static str,
    /// Milliseconds the sender will still wait.
    pub deadline_ms: &'static str,
    /// The upstream that alone may run the request.
    pub expect_upstream: &'static str,
    /// An upstream's load.
    pub load: &'static str,
    /// An upstream's word that it did not run the request.
    pub not_run: &'static str,
    /// The upstream's identity.
    pub upstream: &'static str,
}

/// Translation between a platform's manner of speaking and the product's own types; it decides nothing.
pub trait PlatformAdapter {
    /// Names of the headers.
    fn headers(&self) -> HeaderNames;
    /// Target of the call that reads what is published, from the given place of an earlier page on.
    fn snapshot_target(&self, next_page: Option<&str>) -> String;
    /// Reads the answer to that call.
    ///
    /// # Errors
    /// When it cannot be understood at all.
    fn snapshot(&self, body: &[u8]) -> Result<ChangePage, MalformedReply>;
    /// Target of the call that waits for changes after a revision.
    fn watch_target(&self, after: u64, wait_ms: u64) -> String;
    /// Reads the answer to that call.
    ///
    /// # Errors
    /// When it cannot be understood at all.
    fn changes(&self, body: &[u8]) -> Result<ChangePage, MalformedReply>;
    /// Reads a request to the directory; none if it is no such question.
    fn directory_question(&self, path: &str, query: &str) -> Option<DirectoryQuestion>;
    /// The directory's answer.
    fn directory_answer(&self, addresses: &[SocketAddr], keep_s: u64) -> String;
    /// Reads an upstream's load header.
    fn load(&self, text: &str) -> Option<UpstreamLoad>;
}

/// What an upstream reports of its own load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UpstreamLoad {
    /// Requests that it runs.
    pub running: u32,
    /// Requests in its queue.
    pub waiting: u32,
    /// Requests it runs at once.
    pub slots: u32,
    /// Latency of work now, in percent of the latency of uncontended work.
    pub slowdown_percent: u32,
}
