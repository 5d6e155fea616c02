//! What a load met.

use {
    super::{
        call::{CallKind, Ending},
        histogram,
    },
    hdrhistogram::Histogram,
    std::{collections::BTreeMap, time::Duration},
};

/// What the calls of one kind met.
#[derive(Clone, Debug)]
pub struct KindReport {
    /// Times of whole answers, in microseconds from when the call was due.
    pub times_us: Histogram<u64>,
    /// Calls.
    pub calls: u64,
    /// Whole own answers.
    pub whole: u64,
    /// Cut answers.
    pub cut: u64,
    /// Answers that belong to another call.
    pub wrong: u64,
    /// Calls said to be not run.
    pub not_run: u64,
    /// Calls whose outcome is unknown.
    pub unknown: u64,
    /// Error answers of upstreams.
    pub error_answers: u64,
    /// Calls that found no entry VM.
    pub no_entry: u64,
    /// Reasons given, with their counts.
    pub reasons: BTreeMap<String, u64>,
}

impl Default for KindReport {
    fn default() -> Self {
        Self {
            times_us: histogram(),
            calls: 0,
            whole: 0,
            cut: 0,
            wrong: 0,
            not_run: 0,
            unknown: 0,
            error_answers: 0,
            no_entry: 0,
            reasons: BTreeMap::new(),
        }
    }
}

impl KindReport {
    /// A percentile of the times, in milliseconds.
    pub fn percentile_ms(&self, percentile: f64) -> f64 {
        self.times_us.value_at_percentile(percentile) as f64 / 1_000.0
    }

    fn reason(&mut self, reason: &str) {
        *self.reasons.entry(reason.into()).or_default() += 1;
    }
}

/// What a load met, by kind of call.
#[derive(Clone, Debug, Default)]
pub struct LoadReport {
    /// By kind.
    pub kinds: BTreeMap<&'static str, KindReport>,
    /// Calls without any end at the end.
    pub lost: u64,
}

impl LoadReport {
    /// Notes the end of a call, with its time if that counts.
    pub fn note(&mut self, kind: &CallKind, ending: &Ending, time: Option<Duration>) {
        let report = self.kinds.entry(kind.name()).or_default();
        report.calls += 1;
        match ending {
            Ending::Whole => {
                report.whole += 1;
                time.iter().for_each(|time| report.times_us.saturating_record(time.as_micros() as u64));
            }
            Ending::Cut => report.cut += 1,
            Ending::Wrong => report.wrong += 1,
            Ending::NotRun(reason) => {
                report.not_run += 1;
                report.reason(reason);
            }
            Ending::Unknown(reason) => {
                report.unknown += 1;
                report.reason(reason);
            }
            Ending::ErrorAnswer(status) => {
                report.error_answers += 1;
                report.reason(&status.to_string());
            }
            Ending::NoEntry => report.no_entry += 1,
        }
    }

    /// The report of a kind; an empty one if none was called.
    pub fn kind(&self, name: &str) -> KindReport {
        self.kinds.get(name).cloned().unwrap_or_default()
    }

    /// The sum of a count over all kinds.
    pub fn sum(&self, count: impl Fn(&KindReport) -> u64) -> u64 {
        self.kinds.values().map(count).sum()
    }
}
