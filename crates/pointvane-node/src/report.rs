//! Log lines, event log, counters and histograms of a node.
//!
//! Log volume is bounded: state changes of upstreams and other nodes, and failed requests, are rate-limited;
//! successful requests are sampled. A separate line reports the number of suppressed lines.

mod callers;
mod fleet;
mod memory;
mod requests;
mod upstreams;

use {
    self::{
        callers::CallerMetrics, fleet::FleetMetrics, memory::MemoryMetrics, requests::RequestMetrics,
        upstreams::UpstreamMetrics,
    },
    crate::cross_traffic::CrossTraffic,
    eyre::Result,
    opentelemetry::KeyValue,
    pointvane_config::LogOptions,
    pointvane_core::Name,
    pointvane_telemetry::{
        BuildInfo, EventKind, EventLog, LineDecision, LineFlush, LineLayout, LogRateLimiter, LogRateLimits,
        Metrics, Program, stdout_logger,
    },
    std::{cell::RefCell, collections::HashSet, sync::Arc, time::Duration},
};

/// Number of upstreams and routes with a label value of their own; all others share [`OTHER_LABEL`]. Bounds
/// memory.
const LABELS_MAX: usize = 512;
/// Label value shared by all upstreams and routes beyond [`LABELS_MAX`].
const OTHER_LABEL: &str = "other";
/// Maximum time to write the last lines: a shutdown must not wait for a blocked reader of standard output.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(150);
/// Number of events kept in the event log. Bounds memory.
const EVENTS_KEPT: usize = 1_024;

/// Log lines, event log and metrics of one node.
#[derive(Debug)]
pub struct Report {
    /// What this process was built from.
    pub build: BuildInfo,
    /// The event log.
    pub events: EventLog,
    /// All metrics.
    pub metrics: Metrics,
    /// Counters of the bytes exchanged with other data centres.
    pub cross_traffic: CrossTraffic,
    flush: RefCell<Option<LineFlush>>,
    rate_limiter: RefCell<LogRateLimiter>,
    labels: RefCell<HashSet<Name>>,
    requests: RequestMetrics,
    upstreams: UpstreamMetrics,
    fleet: FleetMetrics,
    memory: MemoryMetrics,
    callers: CallerMetrics,
}

impl Report {
    /// Creates the report of the node on the VM named `vm`.
    ///
    /// # Errors
    /// Fails if the metrics exporter cannot be set up.
    pub fn new(vm: &Name, lines: LogOptions, build: BuildInfo) -> Result<Self> {
        let metrics = Metrics::new()?;
        let (log, flush) = stdout_logger(Program::Node.as_str(), vm);
        Ok(Self {
            build,
            events: EventLog::new(vm.clone(), Program::Node, log)
                .with_line_layout(LineLayout::Fields)
                .with_capacity(EVENTS_KEPT),
            flush: RefCell::new(Some(flush)),
            rate_limiter: RefCell::new(log_rate_limiter(lines)),
            labels: RefCell::default(),
            requests: RequestMetrics::new(&metrics),
            upstreams: UpstreamMetrics::new(&metrics),
            fleet: FleetMetrics::new(&metrics),
            memory: MemoryMetrics::new(&metrics),
            callers: CallerMetrics::new(&metrics),
            cross_traffic: CrossTraffic::new(&metrics),
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

fn log_rate_limiter(lines: LogOptions) -> LogRateLimiter {
    LogRateLimiter::new(LogRateLimits {
        successes_every: lines.well_every,
        failures_per_s: lines.wrong_per_s,
        changes_per_s: lines.beliefs_per_s,
    })
}
