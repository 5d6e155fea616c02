//! Metrics of upstreams: probes, sends, and what is known of them.

use {
    super::Report,
    crate::connections::ConnectError,
    opentelemetry::{
        KeyValue,
        metrics::{Counter, Gauge},
    },
    pointvane_dispatch::{ProbeOutcome, ProbePurpose, QuarantineChange, ReachChange},
    pointvane_telemetry::Metrics,
};

/// The instruments.
#[derive(Debug)]
pub(super) struct UpstreamMetrics {
    sends: Counter<u64>,
    probes: Counter<u64>,
    probe_outcomes: Counter<u64>,
    connect_failures: Counter<u64>,
    services_lost: Counter<u64>,
    services_regained: Counter<u64>,
    back_offs: Counter<u64>,
    leavings: Counter<u64>,
    limit_changes: Counter<u64>,
    contention_changes: Counter<u64>,
    contended: Gauge<u64>,
    quarantines: Counter<u64>,
    quarantines_lifted: Counter<u64>,
}

impl UpstreamMetrics {
    pub(super) fn new(metrics: &Metrics) -> Self {
        let meter = metrics.meter();
        let counter = |name: &'static str| meter.u64_counter(name).build();
        Self {
            sends: counter("pointvane_node_sends"),
            probes: counter("pointvane_node_probes"),
            probe_outcomes: counter("pointvane_node_probe_outcomes"),
            connect_failures: counter("pointvane_node_connect_failures"),
            services_lost: counter("pointvane_node_services_lost"),
            services_regained: counter("pointvane_node_services_regained"),
            back_offs: counter("pointvane_node_back_offs"),
            leavings: counter("pointvane_node_leavings"),
            limit_changes: counter("pointvane_node_limit_changes"),
            contention_changes: counter("pointvane_node_contention_changes"),
            contended: meter.u64_gauge("pointvane_node_contended_services").build(),
            quarantines: counter("pointvane_node_quarantines"),
            quarantines_lifted: counter("pointvane_node_quarantines_lifted"),
        }
    }
}

impl Report {
    /// Counts a probe of an upstream in the node's own data centre or another.
    pub fn probed(&self, purpose: ProbePurpose, is_near: bool) {
        self.upstreams.probes.add(1, &[KeyValue::new("purpose", purpose.as_str()), locality_label(is_near)]);
    }

    /// Counts a request sent to an upstream in the node's own data centre or another.
    pub fn sent(&self, is_near: bool) {
        self.upstreams.sends.add(1, &[locality_label(is_near)]);
    }

    /// Counts how a probe ended.
    pub fn probe_ended(&self, outcome: ProbeOutcome) {
        self.upstreams.probe_outcomes.add(1, &[KeyValue::new("outcome", outcome.as_str())]);
    }

    /// Counts a connection to an upstream that could not be opened.
    pub fn connect_failed(&self, error: ConnectError) {
        self.upstreams.connect_failures.add(1, &[KeyValue::new("cause", error.as_str())]);
    }

    /// Counts a service that was lost or regained.
    pub fn reach_changed(&self, change: &ReachChange) {
        match change {
            ReachChange::Lost { .. } => self.upstreams.services_lost.add(1, &[]),
            ReachChange::Regained { .. } => self.upstreams.services_regained.add(1, &[]),
        }
    }

    /// Counts a back-off requested or prolonged by an upstream.
    pub fn upstream_backed_off(&self) {
        self.upstreams.back_offs.add(1, &[]);
    }

    /// Counts an upstream that announced that it is leaving.
    pub fn upstream_leaving(&self) {
        self.upstreams.leavings.add(1, &[]);
    }

    /// Counts an upstream that added, changed or removed its advertised limit.
    pub fn limit_changed(&self) {
        self.upstreams.limit_changes.add(1, &[]);
    }

    /// Counts services that became contended in a data centre, or no longer are; `contended` are so now.
    pub fn contention_changed(&self, changes: usize, contended: usize) {
        self.upstreams.contention_changes.add(changes as u64, &[]);
        self.upstreams.contended.record(contended as u64, &[]);
    }

    /// Counts a request that entered or left quarantine.
    pub fn quarantine_changed(&self, change: &QuarantineChange) {
        match change {
            QuarantineChange::Began { .. } => self.upstreams.quarantines.add(1, &[]),
            QuarantineChange::Lifted { .. } => self.upstreams.quarantines_lifted.add(1, &[]),
        }
    }
}

fn locality_label(is_near: bool) -> KeyValue {
    KeyValue::new("locality", if is_near { "near" } else { "far" })
}
