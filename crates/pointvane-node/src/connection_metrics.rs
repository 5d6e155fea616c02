//! Counters of the connections that are opened to upstreams and to other nodes, and of those reused.

use {
    opentelemetry::{KeyValue, metrics::Counter},
    pointvane_dispatch::{ConnectionPurpose, OpenReason},
    pointvane_telemetry::Metrics,
};

/// Counts connections by purpose, and new ones by reason.
#[derive(Clone, Debug)]
pub struct ConnectionMetrics {
    opened: Counter<u64>,
    reused: Counter<u64>,
}

impl ConnectionMetrics {
    /// Creates the counters.
    pub fn new(metrics: &Metrics) -> Self {
        let counter = |name: &'static str| metrics.meter().u64_counter(name).build();
        Self {
            opened: counter("pointvane_node_connections_opened"),
            reused: counter("pointvane_node_connections_reused"),
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
}
