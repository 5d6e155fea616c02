//! Counters of the bytes exchanged with other data centres, by kind.
//!
//! Sizes are those of the application layer: HTTP heads and bodies, frames, datagrams without IP and UDP
//! headers. Of TCP only the opening and closing of connections is added, as [`CONNECTION_BYTES`]. Each
//! exchange is counted at one end only, so that the sum over all nodes counts no byte twice: HTTP at the end
//! that sends the request, datagrams at the sender, state queries at the node that answers. Calls to the
//! platform and connections of callers are not included.

use {
    crate::{
        connections::{Connection, RelayBody},
        node::Node,
    },
    hyper::{HeaderMap, Request, Response, body::Body},
    opentelemetry::{KeyValue, metrics::Counter},
    pointvane_core::{Name, PlatformAdapter},
    pointvane_dispatch::{ConnectionKind, UpstreamKey},
    pointvane_telemetry::Metrics,
    std::net::SocketAddr,
};

/// Estimate of the packets that open and close a TCP connection, in bytes: seven segments without payload, of
/// 52 to 60 bytes each with their IP headers.
const CONNECTION_BYTES: usize = 380;
/// Bytes of a status line, such as `HTTP/1.1 200 OK`, and the empty line after the headers.
const STATUS_LINE_BYTES: usize = 19;
/// Bytes of a request line besides method and target, and the empty line after the headers.
const REQUEST_LINE_BYTES: usize = 14;
/// Bytes of a header line besides name and value.
const HEADER_LINE_BYTES: usize = 4;

/// Kind of traffic between data centres.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrafficKind {
    /// Requests to upstreams, and their responses.
    Request,
    /// Probes of upstreams and checks of lost services.
    Probe,
    /// Requests that are forwarded to another node.
    Forward,
    /// Connections that are opened for any of these.
    Connection,
    /// Membership datagrams.
    Gossip,
    /// Relays of platform changes.
    Relay,
    /// Quarantine messages.
    Quarantine,
    /// Quotas of client accounts.
    Quota,
    /// Limits of upstreams.
    Limit,
    /// Load reports on contended services.
    Contention,
    /// Queries of platform state.
    StateQuery,
}

impl TrafficKind {
    /// The value of the label `kind` in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Request => "request",
            Self::Probe => "probe",
            Self::Forward => "forward",
            Self::Connection => "connection",
            Self::Gossip => "gossip",
            Self::Relay => "relay",
            Self::Quarantine => "quarantine",
            Self::Quota => "quota",
            Self::Limit => "limit",
            Self::Contention => "contention",
            Self::StateQuery => "state-query",
        }
    }
}

/// Counts messages to and from other data centres, and their bytes.
#[derive(Clone, Debug)]
pub struct CrossTraffic {
    bytes: Counter<u64>,
    messages: Counter<u64>,
}

impl CrossTraffic {
    /// Creates the counters.
    pub fn new(metrics: &Metrics) -> Self {
        let counter = |name: &'static str| metrics.meter().u64_counter(name).build();
        Self {
            bytes: counter("pointvane_node_cross_data_centre_bytes"),
            messages: counter("pointvane_node_cross_data_centre_messages"),
        }
    }

    /// Counts a message sent to another data centre.
    pub fn sent(&self, kind: TrafficKind, bytes: usize) {
        self.add(kind, "sent", bytes);
    }

    /// Counts a message received from another data centre.
    pub fn received(&self, kind: TrafficKind, bytes: usize) {
        self.add(kind, "received", bytes);
    }

    fn add(&self, kind: TrafficKind, direction: &'static str, bytes: usize) {
        let labels = [KeyValue::new("kind", kind.as_str()), KeyValue::new("direction", direction)];
        self.bytes.add(bytes as u64, &labels);
        self.messages.add(1, &labels);
    }
}

/// Counts one HTTP exchange with another data centre.
#[derive(Clone, Debug)]
pub struct ExchangeTraffic {
    /// None if the other end is in this node's data centre.
    counters: Option<CrossTraffic>,
    kind: TrafficKind,
}

impl ExchangeTraffic {
    /// Counts the connection, if it was opened for the exchange, and the request.
    pub fn sent(&self, connection: &Connection, request: &Request<RelayBody>) {
        let Some(counters) = &self.counters else { return };
        if connection.kind() == ConnectionKind::New {
            counters.sent(TrafficKind::Connection, CONNECTION_BYTES);
        }
        let target = request.uri().path_and_query().map_or(0, |target| target.as_str().len());
        let line_bytes = request.method().as_str().len() + target + REQUEST_LINE_BYTES;
        let body_bytes = known_length(request.body());
        counters.sent(self.kind, line_bytes + header_bytes(request.headers()) + body_bytes);
    }

    /// Counts the response. A body is included if its length is known from the start.
    pub fn received<B: Body>(&self, response: &Response<B>) {
        if let Some(counters) = &self.counters {
            let head_bytes = STATUS_LINE_BYTES + header_bytes(response.headers());
            counters.received(self.kind, head_bytes + known_length(response.body()));
        }
    }
}

impl<A: PlatformAdapter> Node<A> {
    /// The counter of an exchange with an upstream.
    pub fn upstream_traffic(&self, key: UpstreamKey, kind: TrafficKind) -> ExchangeTraffic {
        let pool = self.dispatcher.pool();
        let is_cross =
            pool.get(key).is_some_and(|state| self.is_other_data_centre(&state.record.data_centre));
        ExchangeTraffic { counters: is_cross.then(|| self.report.cross_traffic.clone()), kind }
    }

    /// The counter of a request that is forwarded to the node at `peer`.
    pub fn forward_traffic(&self, peer: SocketAddr) -> ExchangeTraffic {
        let is_cross = self.fleet.is_in_other_data_centre(peer.ip());
        let counters = is_cross.then(|| self.report.cross_traffic.clone());
        ExchangeTraffic { counters, kind: TrafficKind::Forward }
    }

    fn is_other_data_centre(&self, data_centre: &Name) -> bool {
        *data_centre != self.settings().data_centre
    }
}

fn header_bytes(headers: &HeaderMap) -> usize {
    headers.iter().map(|(name, value)| name.as_str().len() + value.len() + HEADER_LINE_BYTES).sum()
}

fn known_length(body: &impl Body) -> usize {
    body.size_hint().exact().unwrap_or_default() as usize
}
