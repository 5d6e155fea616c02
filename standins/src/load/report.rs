//! Report on the outcomes and latencies of a load.

use {
    super::{
        call::{CallKind, CallOutcome},
        histogram,
    },
    hdrhistogram::Histogram,
    std::{collections::BTreeMap, time::Duration},
};

/// Outcomes and latencies of the calls of one kind.
#[derive(Clone, Debug)]
pub struct KindReport {
    /// Latencies of calls with a complete response, in microseconds.
    pub times_us: Histogram<u64>,
    /// Calls that ended, with any outcome.
    pub calls: u64,
    /// Calls with a complete response.
    pub complete: u64,
    /// Calls with a truncated response or a lost connection.
    pub cut: u64,
    /// Calls that got the response of another call.
    pub mismatched: u64,
    /// Calls whose response says that the request has not run.
    pub not_run: u64,
    /// Calls with an unknown outcome.
    pub unknown: u64,
    /// Calls that got an error response of an upstream.
    pub error_responses: u64,
    /// Calls for which no entry VM was available.
    pub no_entry: u64,
    /// Number of calls by error kind or status.
    pub reasons: BTreeMap<String, u64>,
}

impl Default for KindReport {
    fn default() -> Self {
        Self {
            times_us: histogram(),
            calls: 0,
            complete: 0,
            cut: 0,
            mismatched: 0,
            not_run: 0,
            unknown: 0,
            error_responses: 0,
            no_entry: 0,
            reasons: BTreeMap::new(),
        }
    }
}

impl KindReport {
    /// Latency at a percentile (0 to 100), in milliseconds.
    pub fn percentile_ms(&self, percentile: f64) -> f64 {
        self.times_us.value_at_percentile(percentile) as f64 / 1_000.0
    }

    fn count_reason(&mut self, name: &str) {
        *self.reasons.entry(name.into()).or_default() += 1;
    }
}

/// Report on a load, by kind of call.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    /// Reports by name of the kind.
    pub kinds: BTreeMap<&'static str, KindReport>,
    /// Calls that had not ended when the load generator stopped waiting.
    pub lost: u64,
}

impl LoadReport {
    /// Records the outcome of a call, and its latency unless it belongs to the warm-up.
    pub fn record(&mut self, kind: &CallKind, outcome: &CallOutcome, latency: Option<Duration>) {
        let report = self.kinds.entry(kind.name()).or_default();
        report.calls += 1;
        match outcome {
            CallOutcome::Complete => {
                report.complete += 1;
                latency
                    .iter()
                    .for_each(|latency| report.times_us.saturating_record(latency.as_micros() as u64));
            }
            CallOutcome::Truncated => report.cut += 1,
            CallOutcome::Mismatched => report.mismatched += 1,
            CallOutcome::NotRun(error) => {
                report.not_run += 1;
                report.count_reason(error);
            }
            CallOutcome::Unknown(error) => {
                report.unknown += 1;
                report.count_reason(error);
            }
            CallOutcome::ErrorResponse(status) => {
                report.error_responses += 1;
                report.count_reason(&status.to_string());
            }
            CallOutcome::NoEntry => report.no_entry += 1,
        }
    }

    /// The report on a kind; empty if there was no call of that kind.
    pub fn kind(&self, name: &str) -> KindReport {
        self.kinds.get(name).cloned().unwrap_or_default()
    }

    /// Sum of a count over all kinds.
    pub fn sum(&self, count: impl Fn(&KindReport) -> u64) -> u64 {
        self.kinds.values().map(count).sum()
    }
}
