//! Metrics of the connections of callers.

use {
    super::Report,
    opentelemetry::{KeyValue, metrics::Counter},
    pointvane_serve::CloseResult,
    pointvane_telemetry::Metrics,
};

/// The instruments.
#[derive(Debug)]
pub(super) struct CallerMetrics {
    connections_closed: Counter<u64>,
}

impl CallerMetrics {
    pub(super) fn new(metrics: &Metrics) -> Self {
        let meter = metrics.meter();
        Self { connections_closed: meter.u64_counter("pointvane_node_connections_closed").build() }
    }
}

impl Report {
    /// Counts a connection of a caller or another node that has ended.
    pub fn connection_closed(&self, result: CloseResult) {
        self.callers.connections_closed.add(1, &[KeyValue::new("result", result.as_str())]);
    }
}
