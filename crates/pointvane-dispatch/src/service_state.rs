//! Load statistics that a node keeps for each service, aggregated over its upstreams.

use crate::{latency::LatencyQuantile, load_curve::LoadCurve, service_reach::ServiceReach};

/// The quantile of probe response times that serves as the baseline.
const MEDIAN: f64 = 0.5;
/// Upper bound of the slowdown derived from one probe response.
const PROBE_SLOWDOWN_MAX: f32 = 8.0;

/// Weight of a new report in a service's moving average of slowdowns, which spans about the last fifty
/// reports.
const SLOWDOWN_WEIGHT: f32 = 0.02;
/// Mean slowdown before the first report; above 1, so that an upstream that reports a lower slowdown is
/// preferred.
const SLOWDOWN_INITIAL: f32 = 2.0;
/// Number of answers without a load report after which a service is considered not to report load.
const ANSWERS_WITHOUT_REPORT_LIMIT: u32 = 3;
/// Number of slots assumed for an upstream that advertises none.
const SLOTS_MIN: u32 = 1;

/// Load statistics of one service, aggregated over its upstreams.
#[derive(Clone, Debug)]
pub(crate) struct ServiceState {
    /// Moving average of the slowdowns that its upstreams report: service times as a multiple of the usual
    /// ones.
    pub(crate) mean_slowdown: f32,
    /// Latency as a function of the share of occupied slots.
    pub(crate) curve: LoadCurve,
    /// How long its load reports stay valid.
    /// Running median of probe response times in milliseconds, for upstreams that report no load.
    probe_time: Option<LatencyQuantile>,
    has_reported: bool,
    answers_without_report: u32,
    /// Whether its upstreams respond to this node.
    pub(crate) reach: ServiceReach,
}

impl ServiceState {
    /// The initial state of a service whose upstreams have `slots` slots each.
    pub(crate) fn new(slots: u32) -> Self {
        Self {
            mean_slowdown: SLOWDOWN_INITIAL,
            curve: LoadCurve::new(slots.max(SLOTS_MIN)),
            probe_time: None,
            has_reported: false,
            answers_without_report: 0,
            reach: ServiceReach::default(),
        }
    }

    /// Records the slowdown of a load report.
    pub(crate) fn record_report(&mut self, slowdown: f32) {
        self.has_reported = true;
        self.mean_slowdown += (slowdown - self.mean_slowdown) * SLOWDOWN_WEIGHT;
    }

    /// Records the response time of a probe, in milliseconds; returns it as a multiple of the running median.
    pub(crate) fn record_probe_time(&mut self, time_ms: f64) -> f32 {
        let median = self.probe_time.get_or_insert_with(|| LatencyQuantile::new(MEDIAN, time_ms));
        median.record(time_ms);
        ((time_ms / median.get_ms()) as f32).clamp(1.0, PROBE_SLOWDOWN_MAX)
    }

    /// Records an answer without a load report.
    pub(crate) fn record_no_report(&mut self) {
        self.answers_without_report = self.answers_without_report.saturating_add(1);
    }

    /// Whether its upstreams report their load; assumed until enough answers carry no report.
    pub(crate) fn reports(&self) -> bool {
        self.has_reported || self.answers_without_report < ANSWERS_WITHOUT_REPORT_LIMIT
    }
}
