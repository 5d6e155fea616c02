//! A caller's request, with the state that its attempts share.

use {
    crate::body::Gathered,
    bytes::Bytes,
    hyper::{
        HeaderMap, Method, Uri,
        header::{CONNECTION, HOST, HeaderName, PROXY_AUTHENTICATE, TE, TRAILER, TRANSFER_ENCODING, UPGRADE},
    },
    pointvane_core::US_PER_MS,
    pointvane_dispatch::{HeadFingerprint, RequestFingerprint, RoutedRequest, UpstreamKey},
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

/// A caller's request, with the state that its attempts share.
#[derive(Debug)]
pub struct CallerRequest {
    /// Where it goes.
    pub routed: RoutedRequest,
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
    /// What tells it when it is sent again but for its body, once that was asked for.
    pub known_head: OnceCell<HeadFingerprint>,
    /// The same with its body.
    pub known_fingerprint: OnceCell<RequestFingerprint>,
    /// When it arrived, in microseconds of the steady clock.
    pub arrived_at_us: u64,
    /// When it must be answered, on the same clock.
    pub answer_by_us: u64,
    /// Upstreams that were chosen for it.
    pub tried: RefCell<Vec<UpstreamKey>>,
    /// Attempts of which at least a byte may have left.
    pub sends: Cell<u32>,
}

impl CallerRequest {
    /// Time since it arrived, in milliseconds.
    pub fn elapsed_ms(&self, now_us: u64) -> f64 {
        now_us.saturating_sub(self.arrived_at_us) as f64 / US_PER_MS as f64
    }

    /// What tells this request when its caller sends it again.
    ///
    /// A streamed body is gone once the request was sent, so this is asked for before.
    pub fn fingerprint(&self) -> RequestFingerprint {
        *self.known_fingerprint.get_or_init(|| {
            let head = self.head_fingerprint();
            let stream = self.stream.borrow();
            let (body, body_length) = match (&self.body, stream.as_ref()) {
                (Some(bytes), _) => (&bytes[..], Some(bytes.len() as u64)),
                (None, Some(gathered)) => (&gathered.bytes[..], gathered.length),
                (None, None) => (&[][..], None),
            };
            head.with_body(body, body_length)
        })
    }

    /// The same without the body.
    pub fn head_fingerprint(&self) -> HeadFingerprint {
        *self.known_head.get_or_init(|| {
            // A host that is no text has no route, so it comes with no request that gets here.
            let host = self.headers.get(HOST).and_then(|host| host.to_str().ok()).or_else(|| self.uri.host());
            let target = self.uri.path_and_query().map_or("/", |target| target.as_str());
            HeadFingerprint::new(self.caller, self.method.as_str(), host.unwrap_or_default(), target)
        })
    }

    /// Size of the body, as far as it has come.
    pub fn body_bytes(&self) -> usize {
        let streamed = || self.stream.borrow().as_ref().map_or(0, |gathered| gathered.bytes.len());
        self.body.as_ref().map_or_else(streamed, Bytes::len)
    }
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
