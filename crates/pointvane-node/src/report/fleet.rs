//! Metrics of the platform and of the other nodes.

use {
    super::Report,
    crate::replica::platform_client::CallKind,
    opentelemetry::{KeyValue, metrics::Counter},
    pointvane_core::ItemFault,
    pointvane_dispatch::CallReason,
    pointvane_telemetry::Metrics,
};

/// The instruments.
#[derive(Debug)]
pub(super) struct FleetMetrics {
    peer_connections_refused: Counter<u64>,
    contention_datagrams: Counter<u64>,
    contention_bytes: Counter<u64>,
    platform_calls: Counter<u64>,
    platform_call_failures: Counter<u64>,
    items_refused: Counter<u64>,
    missing_configurations: Counter<u64>,
    peer_questions: Counter<u64>,
    peer_question_failures: Counter<u64>,
}

impl FleetMetrics {
    pub(super) fn new(metrics: &Metrics) -> Self {
        let meter = metrics.meter();
        let counter = |name: &'static str| meter.u64_counter(name).build();
        Self {
            peer_connections_refused: counter("pointvane_node_peer_connections_refused"),
            contention_datagrams: counter("pointvane_node_contention_datagrams"),
            contention_bytes: counter("pointvane_node_contention_bytes"),
            platform_calls: counter("pointvane_node_platform_calls"),
            platform_call_failures: counter("pointvane_node_platform_call_failures"),
            items_refused: counter("pointvane_node_items_refused"),
            missing_configurations: counter("pointvane_node_missing_configurations"),
            peer_questions: counter("pointvane_node_peer_questions"),
            peer_question_failures: counter("pointvane_node_peer_question_failures"),
        }
    }
}

impl Report {
    /// Counts a connection for forwarded requests from an address that belongs to no node.
    pub fn refused_peer_connection(&self) {
        self.fleet.peer_connections_refused.add(1, &[]);
    }

    /// Counts a contention message that was sent.
    pub fn sent_contention(&self, bytes: usize) {
        self.count_contention("sent", bytes);
    }

    /// Counts a contention message that was received.
    pub fn received_contention(&self, bytes: usize) {
        self.count_contention("received", bytes);
    }

    fn count_contention(&self, direction: &'static str, bytes: usize) {
        let label = [KeyValue::new("direction", direction)];
        self.fleet.contention_datagrams.add(1, &label);
        self.fleet.contention_bytes.add(bytes as u64, &label);
    }

    /// Counts a call to the platform.
    pub fn called_platform(&self, kind: CallKind, reason: CallReason) {
        let labels = [KeyValue::new("kind", kind.as_str()), KeyValue::new("reason", reason.as_str())];
        self.fleet.platform_calls.add(1, &labels);
    }

    /// Counts a failed call to the platform.
    pub fn platform_call_failed(&self, reason: &'static str) {
        self.fleet.platform_call_failures.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts an item of the platform that was rejected as invalid.
    pub fn refused_item(&self, fault: ItemFault) {
        self.fleet.items_refused.add(1, &[KeyValue::new("reason", fault.as_str())]);
    }

    /// Counts a full read of the platform that contained no usable configuration while this node had none.
    pub fn missing_configuration(&self) {
        self.fleet.missing_configurations.add(1, &[]);
    }

    /// Counts a query to another node.
    pub fn queried_peer(&self) {
        self.fleet.peer_questions.add(1, &[]);
    }

    /// Counts a query to another node that returned no state.
    pub fn query_failed(&self, reason: &'static str) {
        self.fleet.peer_question_failures.add(1, &[KeyValue::new("reason", reason)]);
    }
}
