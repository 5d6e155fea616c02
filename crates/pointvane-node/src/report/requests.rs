//! Metrics of requests and their attempts.

use {
    super::Report,
    opentelemetry::{
        KeyValue,
        metrics::{Counter, Histogram},
    },
    pointvane_core::{ErrorKind, Name},
    pointvane_dispatch::RefusalReason,
    pointvane_telemetry::Metrics,
};

/// Bucket boundaries of the latency histograms, in seconds: three per decade, from a local response to a
/// caller's longest wait.
const TIME_BOUNDS_S: [f64; 12] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0];
const MS_PER_S: f64 = 1_000.0;

/// The instruments.
#[derive(Debug)]
pub(super) struct RequestMetrics {
    requests: Counter<u64>,
    refusals: Counter<u64>,
    not_admitted: Counter<u64>,
    returned_requests: Counter<u64>,
    attempts: Counter<u64>,
    repeats: Counter<u64>,
    forwards: Counter<u64>,
    forwards_refused: Counter<u64>,
    early_forwards: Counter<u64>,
    quota_decisions: Counter<u64>,
    request_s: Histogram<f64>,
    upstream_s: Histogram<f64>,
    return_s: Histogram<f64>,
}

impl RequestMetrics {
    pub(super) fn new(metrics: &Metrics) -> Self {
        let meter = metrics.meter();
        let counter = |name: &'static str| meter.u64_counter(name).build();
        let histogram = |name: &'static str| {
            meter.f64_histogram(name).with_unit("s").with_boundaries(TIME_BOUNDS_S.to_vec()).build()
        };
        Self {
            requests: counter("pointvane_node_requests"),
            refusals: counter("pointvane_node_refusals"),
            not_admitted: counter("pointvane_node_not_admitted"),
            returned_requests: counter("pointvane_node_returned_requests"),
            attempts: counter("pointvane_node_attempts"),
            repeats: counter("pointvane_node_repeats"),
            forwards: counter("pointvane_node_forwards"),
            forwards_refused: counter("pointvane_node_forwards_refused"),
            early_forwards: counter("pointvane_node_early_forwards"),
            quota_decisions: counter("pointvane_node_quota_decisions"),
            request_s: histogram("pointvane_node_request"),
            upstream_s: histogram("pointvane_node_upstream"),
            return_s: histogram("pointvane_node_return"),
        }
    }
}

impl Report {
    /// Counts a request that was answered by an upstream.
    pub fn answered(&self, route: &Name, status: u16, spent_ms: u64) {
        let route = self.label("route", route);
        let class = KeyValue::new("status", i64::from(status / 100 * 100));
        self.requests.requests.add(1, &[route.clone(), class]);
        self.requests.request_s.record(spent_ms as f64 / MS_PER_S, &[route]);
    }

    /// Counts a request that the node answered itself with an error.
    pub fn refused(&self, kind: ErrorKind) {
        let answer = kind.answer();
        self.requests.refusals.add(
            1,
            &[KeyValue::new("error", answer.name), KeyValue::new("outcome", answer.outcome.as_str())],
        );
    }

    /// Counts a request that admission control did not send to the best upstream that was found.
    pub fn not_admitted(&self, reason: RefusalReason) {
        self.requests.not_admitted.add(1, &[KeyValue::new("reason", reason.as_str())]);
    }

    /// Counts a request whose caller had come back after an earlier try, by whether an upstream answered it.
    pub fn returned_request_ended(&self, is_answered: bool) {
        self.requests.returned_requests.add(1, &[KeyValue::new("answered", is_answered)]);
    }

    /// Records the time after which a refused caller is asked to come back, in milliseconds.
    pub fn return_time_set(&self, after_ms: u32) {
        self.requests.return_s.record(f64::from(after_ms) / MS_PER_S, &[]);
    }

    /// Counts an attempt and records its duration.
    pub fn attempted(&self, upstream: &Name, outcome: &'static str, took_ms: u64) {
        let upstream = self.label("upstream", upstream);
        self.requests.attempts.add(1, &[upstream, KeyValue::new("outcome", outcome)]);
        self.requests.upstream_s.record(took_ms as f64 / MS_PER_S, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a retry or a hedge.
    pub fn retried_or_hedged(&self, hedge: bool) {
        self.requests.repeats.add(1, &[KeyValue::new("hedge", hedge)]);
    }

    /// Counts a request that was forwarded to another node, by how that ended.
    pub fn forwarded_to_peer(&self, outcome: &'static str) {
        self.requests.forwards.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a request of another node that was refused here.
    pub fn refused_forwarded(&self, kind: ErrorKind) {
        self.requests.forwards_refused.add(1, &[KeyValue::new("error", kind.answer().name)]);
    }

    /// Counts a pipelined request that was forwarded before the preceding requests on its connection were
    /// answered.
    pub fn forwarded_early(&self) {
        self.requests.early_forwards.add(1, &[]);
    }

    /// Counts a quota decision on a request.
    pub fn quota_decided(&self, admitted: bool) {
        self.requests.quota_decisions.add(1, &[KeyValue::new("admitted", admitted)]);
    }
}
