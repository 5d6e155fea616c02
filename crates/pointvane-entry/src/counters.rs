//! Counters and histograms of the data path; docs/METRICS.md lists them.

use {
    opentelemetry::{
        KeyValue,
        metrics::{Counter, Histogram, Meter},
    },
    pointvane_core::{Class, ErrorKind, Name},
    pointvane_serve::{CloseResult, FaultHandling, ResponseFault},
};

/// Bucket bounds of the latency histograms, in seconds.
const TIME_BOUNDS_S: [f64; 14] =
    [0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0];

/// Counter of malformed responses.
#[derive(Clone, Debug)]
pub struct MalformedCounter(Counter<u64>);

impl MalformedCounter {
    /// Counts a response.
    pub fn add(&self, fault: ResponseFault, handling: FaultHandling) {
        let labels = [KeyValue::new("reason", fault.as_str()), KeyValue::new("result", handling.as_str())];
        self.0.add(1, &labels);
    }
}

/// Counters and histograms of the data path.
#[derive(Clone, Debug)]
pub struct EntryCounters {
    requests: Counter<u64>,
    refusals: Counter<u64>,
    attempts: Counter<u64>,
    retries: Counter<u64>,
    hedges: Counter<u64>,
    probes: Counter<u64>,
    load_bytes: Counter<u64>,
    load_datagrams: Counter<u64>,
    load_dropped: Counter<u64>,
    connections_closed: Counter<u64>,
    responses_malformed: MalformedCounter,
    request_s: Histogram<f64>,
    upstream_s: Histogram<f64>,
}

impl EntryCounters {
    /// Creates the instruments of the process.
    pub fn new(meter: &Meter) -> Self {
        let counter = |name: &'static str| meter.u64_counter(name).build();
        let histogram = |name: &'static str| {
            meter.f64_histogram(name).with_unit("s").with_boundaries(TIME_BOUNDS_S.to_vec()).build()
        };
        Self {
            requests: counter("pointvane_requests"),
            refusals: counter("pointvane_refusals"),
            attempts: counter("pointvane_attempts"),
            retries: counter("pointvane_retries"),
            hedges: counter("pointvane_hedges"),
            probes: counter("pointvane_probes"),
            load_bytes: counter("pointvane_load_sent_bytes"),
            load_datagrams: counter("pointvane_load_sent_datagrams"),
            load_dropped: counter("pointvane_load_dropped_datagrams"),
            connections_closed: counter("pointvane_connections_closed"),
            responses_malformed: MalformedCounter(counter("pointvane_responses_malformed")),
            request_s: histogram("pointvane_request"),
            upstream_s: histogram("pointvane_upstream"),
        }
    }

    /// Counts a request whose response head was received `time_s` seconds after the request was read.
    pub fn answered(&self, service: &Name, class: Class, time_s: f64) {
        let labels = [service_label(service), KeyValue::new("class", class.as_str())];
        self.requests.add(1, &labels);
        self.request_s.record(time_s, &labels);
    }

    /// Counts a request that was answered with an error of the entry itself.
    pub fn refused(&self, kind: ErrorKind) {
        let row = kind.answer();
        let labels = [KeyValue::new("error", row.name), KeyValue::new("outcome", row.outcome.as_str())];
        self.refusals.add(1, &labels);
    }

    /// Counts an attempt at an upstream.
    pub fn attempted(&self) {
        self.attempts.add(1, &[]);
    }

    /// Counts a retry at another upstream.
    pub fn retried(&self) {
        self.retries.add(1, &[]);
    }

    /// Counts a hedged attempt, which runs beside the first one.
    pub fn hedged(&self) {
        self.hedges.add(1, &[]);
    }

    /// Counts a load probe.
    pub fn probed(&self) {
        self.probes.add(1, &[]);
    }

    /// Records the time from the start of an attempt to the head of the upstream's response, in seconds.
    pub fn upstream_responded(&self, service: &Name, time_s: f64) {
        self.upstream_s.record(time_s, &[service_label(service)]);
    }

    /// Counts a load datagram sent; `bytes` includes the IP and UDP headers.
    pub fn load_sent(&self, bytes: usize) {
        self.load_datagrams.add(1, &[]);
        self.load_bytes.add(bytes as u64, &[]);
    }

    /// Counts a connection of a caller that has ended.
    pub fn connection_closed(&self, result: CloseResult) {
        self.connections_closed.add(1, &[KeyValue::new("result", result.as_str())]);
    }

    /// The counter of malformed responses.
    pub fn responses_malformed(&self) -> &MalformedCounter {
        &self.responses_malformed
    }

    /// Counts a load datagram received and dropped.
    pub fn load_dropped(&self, reason: &'static str) {
        self.load_dropped.add(1, &[KeyValue::new("reason", reason)]);
    }
}

fn service_label(service: &Name) -> KeyValue {
    KeyValue::new("service", std::sync::Arc::<str>::from(service))
}
