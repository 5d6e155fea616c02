//! A caller's request, with the state that its attempts share.

use {
    crate::{body::Gathered, quota::QuotaCharge},
    bytes::Bytes,
    hyper::{
        HeaderMap, Method, Uri,
        header::{
            AUTHORIZATION, CONNECTION, HOST, HeaderName, HeaderValue, PROXY_AUTHENTICATE, TE, TRAILER,
            TRANSFER_ENCODING, UPGRADE,
        },
    },
    pointvane_core::{KeyDigest, US_PER_MS},
    pointvane_dispatch::{
        BodyFingerprint, HeadFingerprint, QueryScope, RequestFingerprint, RoutedRequest, UpstreamKey,
    },
    std::{
        cell::{Cell, OnceCell, RefCell},
        net::IpAddr,
    },
};

/// Headers that concern one connection only.
///
/// The three programs have a list of their own (`pointvane-entry/src/answer.rs`): they drop proxy headers that the node passes on.
static HOP_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    PROXY_AUTHENTICATE,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// What tells a request when it comes again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fingerprints {
    /// With the same query.
    pub exact: RequestFingerprint,
    /// With any query.
    pub any_query: RequestFingerprint,
}

impl Fingerprints {
    /// Both, by which the request is judged.
    pub fn all(&self) -> [RequestFingerprint; 2] {
        [self.exact, self.any_query]
    }
}

/// A caller's request, with the state that its attempts share.
#[derive(Debug)]
pub struct CallerRequest {
    /// Where it goes.
    pub routed: RoutedRequest,
    /// Digest of the key that it carries, if any.
    pub key: Option<KeyDigest>,
    /// What it takes of its client account's quota; given back unless it is sent.
    pub charge: Option<QuotaCharge>,
    /// The identity that its caller gave it, for log lines.
    pub id: String,
    /// Where its caller's connection comes from.
    pub caller: IpAddr,
    /// Its method.
    pub method: Method,
    /// Its target.
    pub uri: Uri,
    /// Its headers, without those of one connection only.
    pub headers: HeaderMap,
    /// Its body, if it is whole.
    pub body: Option<Bytes>,
    /// The first part and the rest of a body that is not; taken by the first attempt.
    pub stream: RefCell<Option<Gathered>>,
    /// What tells it when it comes again, without query and body, once that was asked for.
    pub known_head: OnceCell<HeadFingerprint>,
    /// The same with them.
    pub known_fingerprints: OnceCell<Fingerprints>,
    /// When it arrived, in microseconds of the steady clock.
    pub arrived_at_us: u64,
    /// When it must be answered, on the same clock.
    pub answer_by_us: u64,
    /// Upstreams that were chosen for it.
    pub tried: RefCell<Vec<UpstreamKey>>,
    /// Attempts of which at least a byte may have left.
    pub sends: Cell<u32>,
    /// Time spent on upstreams that could not be reached, in microseconds.
    pub unreached_us: Cell<u64>,
}

impl CallerRequest {
    /// Time since it arrived, in milliseconds.
    pub fn elapsed_ms(&self, now_us: u64) -> f64 {
        now_us.saturating_sub(self.arrived_at_us) as f64 / US_PER_MS as f64
    }

    /// The same without what was spent on upstreams that could not be reached: by then the request was admitted.
    pub fn elapsed_at_reached_ms(&self, now_us: u64) -> f64 {
        self.elapsed_ms(now_us.saturating_sub(self.unreached_us.get()))
    }

    /// What tells this request when it comes again, with the same query and with any; the same of one without a query.
    ///
    /// A streamed body is gone once the request was sent, so this is asked for before.
    pub fn fingerprints(&self) -> Fingerprints {
        *self.known_fingerprints.get_or_init(|| {
            let head = self.head_fingerprint();
            let stream = self.stream.borrow();
            let (body, body_length) = match (&self.body, stream.as_ref()) {
                (Some(bytes), _) => (&bytes[..], Some(bytes.len() as u64)),
                (None, Some(gathered)) => (&gathered.bytes[..], gathered.length),
                (None, None) => (&[][..], None),
            };
            let body = BodyFingerprint::new(body, body_length);
            Fingerprints {
                exact: head.with_rest(QueryScope::Exact(self.uri.query()), body),
                any_query: head.with_rest(QueryScope::Any, body),
            }
        })
    }

    /// The same without query and body.
    pub fn head_fingerprint(&self) -> HeadFingerprint {
        *self.known_head.get_or_init(|| {
            let host = requested_host(&self.headers, &self.uri);
            let credentials = self.headers.get(AUTHORIZATION).map(HeaderValue::as_bytes);
            HeadFingerprint::new(self.method.as_str(), host, self.uri.path(), credentials)
        })
    }

    /// Size of the body, as far as it has come.
    pub fn body_bytes(&self) -> usize {
        let streamed = || self.stream.borrow().as_ref().map_or(0, |gathered| gathered.bytes.len());
        self.body.as_ref().map_or_else(streamed, Bytes::len)
    }
}

/// The host that a request asks for; empty, which has no route, if it names none or one that is no text.
pub fn requested_host<'r>(headers: &'r HeaderMap, uri: &'r Uri) -> &'r str {
    let host = headers.get(HOST).and_then(|host| host.to_str().ok());
    host.or_else(|| uri.host()).unwrap_or_default()
}

/// Takes out the headers that concern one connection only.
pub fn strip_hop_headers(headers: &mut HeaderMap) {
    // Names that are no header names cannot be among the headers.
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_HEADERS) {
        headers.remove(name);
    }
}
