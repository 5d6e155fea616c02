//! Metrics of the connections of callers.

use {
    super::Report,
    crate::served::IncompleteReason,
    opentelemetry::{KeyValue, metrics::Counter},
    pointvane_serve::CloseResult,
    pointvane_telemetry::Metrics,
};

/// The instruments.
#[derive(Debug)]
pub(super) struct CallerMetrics {
    connections_closed: Counter<u64>,
    responses_incomplete: Counter<u64>,
}

impl CallerMetrics {
    pub(super) fn new(metrics: &Metrics) -> Self {
        let counter = |name: &'static str| metrics.meter().u64_counter(name).build();
        Self {
            connections_closed: counter("pointvane_node_connections_closed"),
            responses_incomplete: counter("pointvane_node_responses_incomplete"),
        }
    }
}

impl Report {
    /// Counts a connection of a caller or another node that has ended.
    pub fn connection_closed(&self, result: CloseResult) {
        self.callers.connections_closed.add(1, &[KeyValue::new("result", result.as_str())]);
    }

    /// Counts a response whose first bytes were sent and that is incomplete.
    pub fn response_incomplete(&self, reason: IncompleteReason) {
        self.callers.responses_incomplete.add(1, &[KeyValue::new("reason", reason.as_str())]);
    }
}
