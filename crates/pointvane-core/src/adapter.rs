//! Interface to a platform: header names, request targets and decoding of responses.
//!
//! An adapter translates between a platform's formats and the types of this crate. It does no I/O and makes
//! no routing decisions.

use {
    crate::{ChangePage, MalformedReply, Name, UpstreamLoad},
    std::net::SocketAddr,
};

/// A caller's query to the directory of entry addresses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DirectoryQuery {
    /// The caller's data centre, if the query names one.
    pub data_centre: Option<Name>,
}

/// Names of the HTTP headers between callers, pointvane and upstreams, in lower case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeaderNames {
    /// Identifies one attempt of a caller; the response repeats it.
    pub request_id: &'static str,
    /// Remaining time for which the sender waits, in milliseconds.
    pub deadline_ms: &'static str,
    /// The only upstream that may run the request.
    pub expect_upstream: &'static str,
    /// An upstream's load report.
    pub load: &'static str,
    /// Present on a response if the upstream did not run the request.
    pub not_run: &'static str,
    /// Identity of the upstream.
    pub upstream: &'static str,
    /// Remaining warm-up time of an upstream in milliseconds, in its responses to probes.
    pub warm_up_left_ms: &'static str,
    /// Present on all responses of an upstream that is shutting down.
    pub leaving: &'static str,
    /// Requests per second that an upstream accepts from all nodes together, in its responses.
    pub request_limit: &'static str,
    /// Name of the client account whose key the request carried, in requests to upstreams.
    pub account: &'static str,
}

/// Required freshness of a full read of the platform's data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadFreshness {
    /// The read contains everything that was published before the call.
    Newest,
    /// The read may lack the last seconds of changes, if the platform serves such reads more cheaply.
    MayBeStale,
}

/// Translates between a platform's formats and the types of this crate.
pub trait PlatformAdapter {
    /// Header names that the platform uses.
    fn headers(&self) -> HeaderNames;
    /// Request target that reads a snapshot, starting at `next_page` of an earlier page if given.
    fn snapshot_target(&self, next_page: Option<&str>, freshness: ReadFreshness) -> String;
    /// Decodes the response to a request to [`Self::snapshot_target`].
    ///
    /// # Errors
    /// [`MalformedReply`] when the response as a whole cannot be decoded. Single items that cannot be decoded
    /// are listed in the page.
    fn snapshot(&self, body: &[u8]) -> Result<ChangePage, MalformedReply>;
    /// Request target that waits up to `wait_ms` milliseconds for changes after revision `after`.
    fn watch_target(&self, after: u64, wait_ms: u64) -> String;
    /// Decodes the response to a request to [`Self::watch_target`].
    ///
    /// # Errors
    /// [`MalformedReply`] when the response as a whole cannot be decoded.
    fn changes(&self, body: &[u8]) -> Result<ChangePage, MalformedReply>;
    /// Decodes a directory query from a request's path and query string; `None` if it is not one.
    fn parse_directory_query(&self, path: &str, query: &str) -> Option<DirectoryQuery>;
    /// Encodes the directory's response, which callers may cache for `keep_s` seconds.
    fn encode_directory_answer(&self, addresses: &[SocketAddr], keep_s: u64) -> String;
    /// Decodes the value of an upstream's load header; `None` if it is malformed.
    fn load(&self, text: &str) -> Option<UpstreamLoad>;
    /// Extracts the API key from the value of the `Authorization` header; `None` if it uses another scheme.
    fn key<'v>(&self, authorization: &'v [u8]) -> Option<&'v [u8]>;
    /// Whether a value of the [`HeaderNames::leaving`] header says that the upstream is shutting down.
    fn is_leaving(&self, value: &[u8]) -> bool;
}
