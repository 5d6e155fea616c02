//! What a node has learned of the load of one service's upstreams together.

use crate::{latency::LatencyQuantile, load_curve::LoadCurve};

/// The quantile of the times of probes that counts as usual.
const MEDIAN: f64 = 0.5;
/// Largest slowdown that one answer to a probe shows. Not measured.
const PROBE_SLOWDOWN_MAX: f32 = 8.0;

/// Weight of the newest report in the mean slowdown of a service. Not measured: about the last fifty reports count.
const SLOWDOWN_WEIGHT: f32 = 0.02;
/// Mean slowdown before any report. Not measured: above 1, so that an upstream that reports a good figure is preferred.
const SLOWDOWN_FIRST: f32 = 2.0;
/// Answers without a load report after which a service counts as one that reports none. Not measured.
const SILENT_ANSWERS: u32 = 3;
/// Slots of an upstream that lists none.
const SLOTS_MIN: u32 = 1;

/// What a node has learned of the load of one service's upstreams together.
#[derive(Clone, Debug)]
pub(crate) struct ServiceState {
    /// Mean slowdown that its upstreams report, as a multiple of their usual speed.
    pub(crate) mean_slowdown: f32,
    /// How much longer work takes as their slots fill.
    pub(crate) curve: LoadCurve,
    /// Running median of the times of answers to probes, where upstreams report no load.
    probe_time: Option<LatencyQuantile>,
    reported: bool,
    silent_answers: u32,
}

impl ServiceState {
    /// A service whose upstreams have so many slots, of which nothing is known.
    pub(crate) fn new(slots: u32) -> Self {
        Self {
            mean_slowdown: SLOWDOWN_FIRST,
            curve: LoadCurve::new(slots.max(SLOTS_MIN)),
            probe_time: None,
            reported: false,
            silent_answers: 0,
        }
    }

    /// Records a load report.
    pub(crate) fn record_report(&mut self, slowdown: f32) {
        self.reported = true;
        self.mean_slowdown += (slowdown - self.mean_slowdown) * SLOWDOWN_WEIGHT;
    }

    /// Records the time of an answer to a probe; gives it as a multiple of the usual one.
    pub(crate) fn record_probe_time(&mut self, time_ms: f64) -> f32 {
        let usual = self.probe_time.get_or_insert_with(|| LatencyQuantile::new(MEDIAN, time_ms));
        usual.record(time_ms);
        ((time_ms / usual.get_ms()) as f32).clamp(1.0, PROBE_SLOWDOWN_MAX)
    }

    /// Records an answer without one.
    pub(crate) fn record_no_report(&mut self) {
        self.silent_answers = self.silent_answers.saturating_add(1);
    }

    /// Whether its upstreams report their load, as far as is known.
    pub(crate) fn reports(&self) -> bool {
        self.reported || self.silent_answers < SILENT_ANSWERS
    }
}
