//! A caller's request, with the state that its attempts share.

use {
    crate::{body::BufferedBody, connections::RelayBody, quota::QuotaCharge},
    bytes::Bytes,
    hyper::{
        HeaderMap, Method, Request, Uri,
        header::{
            AUTHORIZATION, CONNECTION, HOST, HeaderName, HeaderValue, PROXY_AUTHENTICATE, TE, TRAILER,
            TRANSFER_ENCODING, UPGRADE,
        },
    },
    pointvane_core::{KeyDigest, US_PER_MS},
    pointvane_dispatch::{
        AttemptOutcome, BodyFingerprint, ForwardedRequest, HeadFingerprint, QueryScope, RequestFingerprint,
        RoutedRequest, SearchGoal, UpstreamKey, search_overrun_us,
    },
    std::{
        cell::{Cell, OnceCell, RefCell},
        net::{IpAddr, SocketAddr},
    },
};

/// Hop-by-hop headers.
///
/// `pointvane-entry/src/response.rs` has a list of its own: the programs there drop proxy headers that the
/// node forwards.
static HOP_BY_HOP_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    PROXY_AUTHENTICATE,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Fingerprints that identify a request when it is repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fingerprints {
    /// Matches requests with the same query only.
    pub exact: RequestFingerprint,
    /// Matches requests with any query.
    pub any_query: RequestFingerprint,
}

impl Fingerprints {
    /// Both fingerprints; the quarantine checks each.
    pub fn all(&self) -> [RequestFingerprint; 2] {
        [self.exact, self.any_query]
    }
}

/// A caller's request, with the state that its attempts share.
#[derive(Debug)]
pub struct CallerRequest {
    /// Its route and service.
    pub routed: RoutedRequest,
    /// Digest of the API key that it carries, if any.
    pub key: Option<KeyDigest>,
    /// Charge on its client account's quota; refunded unless the request is sent.
    pub charge: Option<QuotaCharge>,
    /// The request id that its caller sent, for log lines.
    pub id: String,
    /// IP address of the caller's connection.
    pub caller: IpAddr,
    /// HTTP method.
    pub method: Method,
    /// Request target.
    pub uri: Uri,
    /// Headers without hop-by-hop headers.
    pub headers: HeaderMap,
    /// The body, if it is buffered completely.
    pub body: Option<Bytes>,
    /// A body that is streamed; taken by the first attempt.
    pub stream: RefCell<Option<BufferedBody>>,
    /// Cache of [`Self::head_fingerprint`].
    pub head_fingerprint_cache: OnceCell<HeadFingerprint>,
    /// Cache of [`Self::fingerprints`].
    pub fingerprints_cache: OnceCell<Fingerprints>,
    /// When it arrived, in microseconds of the monotonic clock.
    pub arrived_at_us: u64,
    /// Deadline of the response, in microseconds of the same clock.
    pub answer_deadline_us: u64,
    /// Time that its caller had spent on earlier tries when it arrived, in milliseconds; 0 if it is not known.
    pub spent_before_ms: f64,
    /// Expected latency at the upstream that admission last checked, in milliseconds.
    pub expected_latency_ms: Cell<Option<f64>>,
    /// Upstreams that attempts have chosen so far.
    pub tried: RefCell<Vec<UpstreamKey>>,
    /// Attempts of which at least one byte may have been sent, and those that were handed over to another node.
    pub sends: Cell<u32>,
    /// Metadata from the node that forwarded it, if one did.
    pub forwarded: Option<ForwardedRequest>,
    /// Nodes that it was forwarded to so far.
    pub tried_peers: RefCell<Vec<SocketAddr>>,
    /// Attempts that reached no upstream.
    pub unreachable_attempts: Cell<u32>,
    /// Whether the upstreams that this node still reaches have no capacity for it.
    pub lacks_reachable_capacity: Cell<bool>,
    /// Time that admission leaves out, in microseconds: spent on attempts that were not sent, and lost because
    /// this process was late.
    pub uncharged_us: Cell<u64>,
}

impl CallerRequest {
    /// Time since it arrived, in milliseconds.
    pub fn elapsed_ms(&self, now_us: u64) -> f64 {
        now_us.saturating_sub(self.arrived_at_us) as f64 / US_PER_MS as f64
    }

    /// Time since it arrived that admission charges it for, in milliseconds: without [`Self::uncharged_us`].
    pub fn charged_ms(&self, now_us: u64) -> f64 {
        self.elapsed_ms(now_us.saturating_sub(self.uncharged_us.get()))
    }

    /// Records the end of the search for its upstream.
    pub fn record_search_end(&self, goal: SearchGoal, now_us: u64) {
        self.uncharged_us.set(self.uncharged_us.get() + search_overrun_us(goal, now_us));
    }

    /// Records the end of an attempt that took `latency_us`, if it was not sent.
    pub fn record_unsent(&self, outcome: AttemptOutcome, latency_us: u64) {
        if outcome == AttemptOutcome::Unreachable {
            self.unreachable_attempts.set(self.unreachable_attempts.get() + 1);
        }
        if outcome.is_unsent() {
            self.uncharged_us.set(self.uncharged_us.get() + latency_us);
        }
    }

    /// Fingerprints of the request with its exact query, or none, and with any query or none.
    ///
    /// Must be computed before a streamed request is sent, since the first attempt takes the body; the result
    /// is cached.
    pub fn fingerprints(&self) -> Fingerprints {
        *self.fingerprints_cache.get_or_init(|| {
            let head = self.head_fingerprint();
            let stream = self.stream.borrow();
            let (body, body_length) = match (&self.body, stream.as_ref()) {
                (Some(bytes), _) => (&bytes[..], Some(bytes.len() as u64)),
                (None, Some(buffered)) => (&buffered.bytes[..], buffered.length),
                (None, None) => (&[][..], None),
            };
            let body = BodyFingerprint::new(body, body_length);
            Fingerprints {
                exact: head.with_query_and_body(QueryScope::Exact(self.uri.query()), body),
                any_query: head.with_query_and_body(QueryScope::Any, body),
            }
        })
    }

    /// Fingerprint of the request without its query and body; cached.
    pub fn head_fingerprint(&self) -> HeadFingerprint {
        *self.head_fingerprint_cache.get_or_init(|| {
            let host = requested_host(&self.headers, &self.uri);
            let credentials = self.headers.get(AUTHORIZATION).map(HeaderValue::as_bytes);
            HeadFingerprint::new(self.method.as_str(), host, self.uri.path(), credentials)
        })
    }

    /// The request as it is sent on, with the headers of its caller; none if its streamed body was already
    /// taken.
    pub fn to_outgoing(&self) -> Option<Request<RelayBody>> {
        let body = match &self.body {
            Some(bytes) => RelayBody::whole(bytes.clone()),
            None => RelayBody::streamed(self.stream.borrow_mut().take()?, None),
        };
        let mut outgoing = Request::new(body);
        *outgoing.method_mut() = self.method.clone();
        *outgoing.uri_mut() = self.uri.clone();
        outgoing.headers_mut().clone_from(&self.headers);
        Some(outgoing)
    }

    /// Whether its caller has come back after an earlier try.
    pub fn has_returned(&self) -> bool {
        self.spent_before_ms > 0.0
    }

    /// Whether another node forwarded it.
    pub fn is_forwarded(&self) -> bool {
        self.forwarded.is_some()
    }

    /// Length of the buffered part of the body, in bytes.
    pub fn body_bytes(&self) -> usize {
        let streamed = || self.stream.borrow().as_ref().map_or(0, |buffered| buffered.bytes.len());
        self.body.as_ref().map_or_else(streamed, Bytes::len)
    }
}

/// Host of a request, from `Host` or else the target; empty, which matches no route, if missing or not
/// visible ASCII.
pub fn requested_host<'r>(headers: &'r HeaderMap, uri: &'r Uri) -> &'r str {
    let host = headers.get(HOST).and_then(|host| host.to_str().ok());
    host.or_else(|| uri.host()).unwrap_or_default()
}

/// Removes hop-by-hop headers, among them those that `Connection` lists.
pub fn strip_hop_by_hop_headers(headers: &mut HeaderMap) {
    // Invalid header names in the list cannot match any header, so they are skipped.
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
}
