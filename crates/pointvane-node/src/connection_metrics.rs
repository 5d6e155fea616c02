//! Counters of the connections that are opened to upstreams and to other nodes, of those reused, and of the
//! malformed responses that arrive on them.

use {
    opentelemetry::{KeyValue, metrics::Counter},
    pointvane_dispatch::{ConnectionPurpose, OpenReason},
    pointvane_serve::{FaultHandling, ResponseFault},
    pointvane_telemetry::Metrics,
};

/// Counts connections by purpose, and new ones by reason.
#[derive(Clone, Debug)]
pub struct ConnectionMetrics {
    opened: Counter<u64>,
    reused: Counter<u64>,
    malformed: Counter<u64>,
}

impl ConnectionMetrics {
    /// Creates the counters.
    pub fn new(metrics: &Metrics) -> Self {
        let counter = |name: &'static str| metrics.meter().u64_counter(name).build();
        Self {
            opened: counter("pointvane_node_connections_opened"),
            reused: counter("pointvane_node_connections_reused"),
            malformed: counter("pointvane_node_responses_malformed"),
        }
    }

    /// Counts a new connection.
    pub fn opened(&self, purpose: ConnectionPurpose, reason: OpenReason) {
        let labels = [KeyValue::new("purpose", purpose.as_str()), KeyValue::new("reason", reason.as_str())];
        self.opened.add(1, &labels);
    }

    /// Counts a reuse of an idle connection.
    pub fn reused(&self, purpose: ConnectionPurpose) {
        self.reused.add(1, &[KeyValue::new("purpose", purpose.as_str())]);
    }

    /// Counts a malformed response.
    pub fn malformed(&self, purpose: ConnectionPurpose, fault: ResponseFault, handling: FaultHandling) {
        let labels = [
            KeyValue::new("purpose", purpose.as_str()),
            KeyValue::new("reason", fault.as_str()),
            KeyValue::new("result", handling.as_str()),
        ];
        self.malformed.add(1, &labels);
    }
}
