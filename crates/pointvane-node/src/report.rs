//! Log lines, event log, counters and histograms of a node.
//!
//! Log volume is bounded: state changes of upstreams and other nodes, and failed requests, are rate-limited;
//! successful requests are sampled. A separate line reports the number of suppressed lines.

use {
    crate::{
        connections::ConnectError, cross_traffic::CrossTraffic, memory::MemoryUse,
        replica::platform_client::CallKind,
    },
    eyre::Result,
    opentelemetry::{
        KeyValue,
        metrics::{Counter, Gauge, Histogram},
    },
    pointvane_config::LogOptions,
    pointvane_core::{ErrorKind, ItemFault, Name},
    pointvane_dispatch::{
        CallReason, MemoryRefusal, ProbeOutcome, ProbePurpose, QuarantineChange, ReachChange, RefusalReason,
    },
    pointvane_telemetry::{
        EventKind, EventLog, LineDecision, LineFlush, LineLayout, LogRateLimiter, LogRateLimits, Metrics,
        Program, stdout_logger,
    },
    std::{
        cell::{Cell, RefCell},
        collections::HashSet,
        sync::Arc,
        time::Duration,
    },
};

/// Bucket boundaries of the latency histograms, in seconds: three per decade, from a local response to a
/// caller's longest wait.
const TIME_BOUNDS_S: [f64; 12] = [0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0];
/// Number of upstreams and routes with a label value of their own; all others share [`OTHER_LABEL`]. Bounds
/// memory.
const LABELS_MAX: usize = 512;
/// Label value shared by all upstreams and routes beyond [`LABELS_MAX`].
const OTHER_LABEL: &str = "other";
/// Maximum time to write the last lines: a shutdown must not wait for a blocked reader of standard output.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(150);
/// Number of events kept in the event log. Bounds memory.
const EVENTS_KEPT: usize = 1_024;
const MS_PER_S: f64 = 1_000.0;

/// Log lines, event log and metrics of one node.
#[derive(Debug)]
pub struct Report {
    /// The event log.
    pub events: EventLog,
    /// All metrics.
    pub metrics: Metrics,
    /// Counters of the bytes exchanged with other data centres.
    pub cross_traffic: CrossTraffic,
    flush: RefCell<Option<LineFlush>>,
    rate_limiter: RefCell<LogRateLimiter>,
    labels: RefCell<HashSet<Name>>,
    requests: Counter<u64>,
    refusals: Counter<u64>,
    not_admitted: Counter<u64>,
    returned_requests: Counter<u64>,
    attempts: Counter<u64>,
    repeats: Counter<u64>,
    sends: Counter<u64>,
    probes: Counter<u64>,
    probe_outcomes: Counter<u64>,
    connect_failures: Counter<u64>,
    services_lost: Counter<u64>,
    services_regained: Counter<u64>,
    forwards: Counter<u64>,
    forwards_refused: Counter<u64>,
    peer_connections_refused: Counter<u64>,
    early_forwards: Counter<u64>,
    back_offs: Counter<u64>,
    leavings: Counter<u64>,
    limit_changes: Counter<u64>,
    contention_changes: Counter<u64>,
    contended: Gauge<u64>,
    contention_datagrams: Counter<u64>,
    contention_bytes: Counter<u64>,
    quarantines: Counter<u64>,
    quarantines_lifted: Counter<u64>,
    platform_calls: Counter<u64>,
    platform_call_failures: Counter<u64>,
    items_refused: Counter<u64>,
    missing_configurations: Counter<u64>,
    quota_decisions: Counter<u64>,
    peer_questions: Counter<u64>,
    peer_question_failures: Counter<u64>,
    memory_refusals: Counter<u64>,
    memory_held_bytes: Gauge<u64>,
    memory_waiting: Gauge<u64>,
    /// Requests refused for memory since this was last taken.
    refused_for_memory: Cell<u64>,
    request_s: Histogram<f64>,
    upstream_s: Histogram<f64>,
    return_s: Histogram<f64>,
}

impl Report {
    /// Creates the report of the node on the VM named `vm`.
    ///
    /// # Errors
    /// Fails if the metrics exporter cannot be set up.
    pub fn new(vm: &Name, lines: LogOptions) -> Result<Self> {
        let metrics = Metrics::new()?;
        let meter = metrics.meter();
        let counter = |name: &'static str| meter.u64_counter(name).build();
        let histogram = |name: &'static str| {
            meter.f64_histogram(name).with_unit("s").with_boundaries(TIME_BOUNDS_S.to_vec()).build()
        };
        let (log, flush) = stdout_logger(Program::Node.as_str(), vm);
        Ok(Self {
            events: EventLog::new(vm.clone(), Program::Node, log)
                .with_line_layout(LineLayout::Fields)
                .with_capacity(EVENTS_KEPT),
            flush: RefCell::new(Some(flush)),
            rate_limiter: RefCell::new(log_rate_limiter(lines)),
            labels: RefCell::default(),
            requests: counter("pointvane_node_requests"),
            refusals: counter("pointvane_node_refusals"),
            not_admitted: counter("pointvane_node_not_admitted"),
            returned_requests: counter("pointvane_node_returned_requests"),
            attempts: counter("pointvane_node_attempts"),
            repeats: counter("pointvane_node_repeats"),
            sends: counter("pointvane_node_sends"),
            probes: counter("pointvane_node_probes"),
            probe_outcomes: counter("pointvane_node_probe_outcomes"),
            connect_failures: counter("pointvane_node_connect_failures"),
            services_lost: counter("pointvane_node_services_lost"),
            services_regained: counter("pointvane_node_services_regained"),
            forwards: counter("pointvane_node_forwards"),
            forwards_refused: counter("pointvane_node_forwards_refused"),
            peer_connections_refused: counter("pointvane_node_peer_connections_refused"),
            early_forwards: counter("pointvane_node_early_forwards"),
            back_offs: counter("pointvane_node_back_offs"),
            leavings: counter("pointvane_node_leavings"),
            limit_changes: counter("pointvane_node_limit_changes"),
            contention_changes: counter("pointvane_node_contention_changes"),
            contended: meter.u64_gauge("pointvane_node_contended_services").build(),
            contention_datagrams: counter("pointvane_node_contention_datagrams"),
            contention_bytes: counter("pointvane_node_contention_bytes"),
            quarantines: counter("pointvane_node_quarantines"),
            quarantines_lifted: counter("pointvane_node_quarantines_lifted"),
            platform_calls: counter("pointvane_node_platform_calls"),
            platform_call_failures: counter("pointvane_node_platform_call_failures"),
            items_refused: counter("pointvane_node_items_refused"),
            missing_configurations: counter("pointvane_node_missing_configurations"),
            quota_decisions: counter("pointvane_node_quota_decisions"),
            peer_questions: counter("pointvane_node_peer_questions"),
            peer_question_failures: counter("pointvane_node_peer_question_failures"),
            memory_refusals: counter("pointvane_node_memory_refusals"),
            memory_held_bytes: meter.u64_gauge("pointvane_node_memory_held_bytes").build(),
            memory_waiting: meter.u64_gauge("pointvane_node_memory_waiting").build(),
            refused_for_memory: Cell::default(),
            request_s: histogram("pointvane_node_request"),
            upstream_s: histogram("pointvane_node_upstream"),
            cross_traffic: CrossTraffic::new(&metrics),
            return_s: histogram("pointvane_node_return"),
            metrics,
        })
    }

    /// Writes the remaining lines before the process ends, within [`FLUSH_TIMEOUT`].
    pub fn flush(&self) {
        if let Some(flush) = self.flush.take() {
            flush.flush(FLUSH_TIMEOUT);
        }
    }

    /// Records a change of this node's own state; its line is never suppressed.
    pub fn record(&self, kind: EventKind) {
        self.events.record(kind);
    }

    /// Records a state change of an upstream or another node; its line is suppressed above the rate limit.
    pub fn record_rate_limited(&self, now_us: u64, kind: EventKind) {
        let decision = self.rate_limiter.borrow_mut().change(now_us);
        self.record_suppressed(decision);
        if decision.written {
            self.events.record(kind);
        } else {
            self.events.record_in_ring(kind);
        }
    }

    fn record_suppressed(&self, decision: LineDecision) {
        if let Some(count) = decision.suppressed {
            self.events.record(EventKind::LinesLeftOut { count });
        }
    }

    /// Writes a line for a sample of successful requests.
    pub fn success(&self, line: impl FnOnce() -> EventKind) {
        if self.rate_limiter.borrow_mut().success() {
            self.events.record(line());
        }
    }

    /// Writes a line for a failed request, unless the rate limit is exceeded.
    pub fn failure(&self, now_us: u64, line: impl FnOnce() -> EventKind) {
        let decision = self.rate_limiter.borrow_mut().failure(now_us);
        self.record_suppressed(decision);
        if decision.written {
            self.events.record(line());
        }
    }

    /// Counts a request that was answered by an upstream.
    pub fn answered(&self, route: &Name, status: u16, spent_ms: u64) {
        let route = self.label("route", route);
        let class = KeyValue::new("status", i64::from(status / 100 * 100));
        self.requests.add(1, &[route.clone(), class]);
        self.request_s.record(spent_ms as f64 / MS_PER_S, &[route]);
    }

    /// Counts a request that the node answered itself with an error.
    pub fn refused(&self, kind: ErrorKind) {
        let answer = kind.answer();
        self.refusals.add(
            1,
            &[KeyValue::new("error", answer.name), KeyValue::new("outcome", answer.outcome.as_str())],
        );
    }

    /// Counts a request that admission control did not send to the best upstream that was found.
    pub fn not_admitted(&self, reason: RefusalReason) {
        self.not_admitted.add(1, &[KeyValue::new("reason", reason.as_str())]);
    }

    /// Counts a request whose caller had come back after an earlier try, by whether an upstream answered it.
    pub fn returned_request_ended(&self, is_answered: bool) {
        self.returned_requests.add(1, &[KeyValue::new("answered", is_answered)]);
    }

    /// Records the time after which a refused caller is asked to come back, in milliseconds.
    pub fn told_return_time(&self, after_ms: u32) {
        self.return_s.record(f64::from(after_ms) / MS_PER_S, &[]);
    }

    /// Counts an attempt and records its duration.
    pub fn attempted(&self, upstream: &Name, outcome: &'static str, took_ms: u64) {
        let upstream = self.label("upstream", upstream);
        self.attempts.add(1, &[upstream, KeyValue::new("outcome", outcome)]);
        self.upstream_s.record(took_ms as f64 / MS_PER_S, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a retry or a hedge.
    pub fn retried_or_hedged(&self, hedge: bool) {
        self.repeats.add(1, &[KeyValue::new("hedge", hedge)]);
    }

    /// Counts a probe of an upstream in the node's own data centre or another.
    pub fn probed(&self, purpose: ProbePurpose, is_near: bool) {
        self.probes.add(1, &[KeyValue::new("purpose", purpose.as_str()), locality_label(is_near)]);
    }

    /// Counts a request sent to an upstream in the node's own data centre or another.
    pub fn sent(&self, is_near: bool) {
        self.sends.add(1, &[locality_label(is_near)]);
    }

    /// Counts how a probe ended.
    pub fn probe_ended(&self, outcome: ProbeOutcome) {
        self.probe_outcomes.add(1, &[KeyValue::new("outcome", outcome.as_str())]);
    }

    /// Counts a connection to an upstream that could not be opened.
    pub fn connect_failed(&self, error: ConnectError) {
        self.connect_failures.add(1, &[KeyValue::new("cause", error.as_str())]);
    }

    /// Counts a service that was lost or regained.
    pub fn reach_changed(&self, change: &ReachChange) {
        match change {
            ReachChange::Lost { .. } => self.services_lost.add(1, &[]),
            ReachChange::Regained { .. } => self.services_regained.add(1, &[]),
        }
    }

    /// Counts a request that was forwarded to another node, by how that ended.
    pub fn forwarded_to_peer(&self, outcome: &'static str) {
        self.forwards.add(1, &[KeyValue::new("outcome", outcome)]);
    }

    /// Counts a request of another node that was refused here.
    pub fn refused_forwarded(&self, kind: ErrorKind) {
        self.forwards_refused.add(1, &[KeyValue::new("error", kind.answer().name)]);
    }

    /// Counts a connection for forwarded requests from an address that belongs to no node.
    pub fn refused_peer_connection(&self) {
        self.peer_connections_refused.add(1, &[]);
    }

    /// Counts a pipelined request that was forwarded before the preceding requests on its connection were
    /// answered.
    pub fn forwarded_early(&self) {
        self.early_forwards.add(1, &[]);
    }

    /// Counts a back-off requested or prolonged by an upstream.
    pub fn upstream_backed_off(&self) {
        self.back_offs.add(1, &[]);
    }

    /// Counts an upstream that announced that it is leaving.
    pub fn upstream_leaving(&self) {
        self.leavings.add(1, &[]);
    }

    /// Counts an upstream that added, changed or removed its advertised limit.
    pub fn limit_changed(&self) {
        self.limit_changes.add(1, &[]);
    }

    /// Counts services that became contended in a data centre, or no longer are; `contended` are so now.
    pub fn contention_changed(&self, changes: usize, contended: usize) {
        self.contention_changes.add(changes as u64, &[]);
        self.contended.record(contended as u64, &[]);
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
        self.contention_datagrams.add(1, &label);
        self.contention_bytes.add(bytes as u64, &label);
    }

    /// Counts a request that entered or left quarantine.
    pub fn quarantine_changed(&self, change: &QuarantineChange) {
        match change {
            QuarantineChange::Began { .. } => self.quarantines.add(1, &[]),
            QuarantineChange::Lifted { .. } => self.quarantines_lifted.add(1, &[]),
        }
    }

    /// Counts a call to the platform.
    pub fn called_platform(&self, kind: CallKind, reason: CallReason) {
        let labels = [KeyValue::new("kind", kind.as_str()), KeyValue::new("reason", reason.as_str())];
        self.platform_calls.add(1, &labels);
    }

    /// Counts a failed call to the platform.
    pub fn platform_call_failed(&self, reason: &'static str) {
        self.platform_call_failures.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts an item of the platform that was rejected as invalid.
    pub fn refused_item(&self, fault: ItemFault) {
        self.items_refused.add(1, &[KeyValue::new("reason", fault.as_str())]);
    }

    /// Counts a full read of the platform that contained no usable configuration while this node had none.
    pub fn missing_configuration(&self) {
        self.missing_configurations.add(1, &[]);
    }

    /// Counts a request whose body was refused for lack of memory.
    pub fn refused_for_memory(&self, reason: MemoryRefusal) {
        self.memory_refusals.add(1, &[KeyValue::new("reason", reason.as_str())]);
        self.refused_for_memory.set(self.refused_for_memory.get() + 1);
    }

    /// Takes the number of requests that were refused for lack of memory since the last call.
    pub fn take_refused_for_memory(&self) -> u64 {
        self.refused_for_memory.take()
    }

    /// Records what bodies occupy.
    pub fn memory_used(&self, usage: MemoryUse) {
        self.memory_held_bytes.record(usage.held_bytes, &[]);
        self.memory_waiting.record(usage.waiting as u64, &[]);
    }

    /// Counts a quota decision on a request.
    pub fn quota_decided(&self, admitted: bool) {
        self.quota_decisions.add(1, &[KeyValue::new("admitted", admitted)]);
    }

    /// Counts a query to another node.
    pub fn queried_peer(&self) {
        self.peer_questions.add(1, &[]);
    }

    /// Counts a query to another node that returned no state.
    pub fn query_failed(&self, reason: &'static str) {
        self.peer_question_failures.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Creates a label whose number of distinct values is bounded by [`LABELS_MAX`].
    fn label(&self, key: &'static str, value: &Name) -> KeyValue {
        let mut labels = self.labels.borrow_mut();
        if labels.contains(value) || labels.len() < LABELS_MAX {
            labels.insert(value.clone());
            KeyValue::new(key, Arc::<str>::from(value))
        } else {
            KeyValue::new(key, OTHER_LABEL)
        }
    }
}

fn locality_label(is_near: bool) -> KeyValue {
    KeyValue::new("locality", if is_near { "near" } else { "far" })
}

fn log_rate_limiter(lines: LogOptions) -> LogRateLimiter {
    LogRateLimiter::new(LogRateLimits {
        successes_every: lines.well_every,
        failures_per_s: lines.wrong_per_s,
        changes_per_s: lines.beliefs_per_s,
    })
}
