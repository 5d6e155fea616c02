//! How long a load report stays valid.
//!
//! Upstreams of one service change within a hundred milliseconds, those of another within seconds. Inputs:
//! pairs of consecutive reports of one upstream, and whether the later one confirms what the earlier one, and
//! the requests sent since, let expect. From these the rate of change is estimated, separately for upstreams
//! that were expected to be uncontended and for contended ones, and from the rate the age up to which a report
//! is still most likely valid. Tests: `tests/report_validity.rs`.

/// Probability that a report is still valid at the greatest age at which it is used.
const VALID_PROBABILITY: f64 = 0.9;
/// Age up to which a pair of reports counts, in microseconds: over a longer time the load may have changed
/// and changed back.
const PAIR_AGE_MAX_US: u64 = 150_000;
/// Weight that a pair retains with each later pair: about the last two hundred count.
const RETAINED_WEIGHT: f64 = 0.995;
/// Number of changes that the initial estimate counts as.
const INITIAL_CHANGES: f64 = 3.0;
/// Bounds of the result, as multiples of the initial age.
const AGE_MULTIPLES: std::ops::RangeInclusive<f64> = 0.5..=4.0;

/// Exponentially decaying counts of pairs of reports.
#[derive(Clone, Copy, Debug, Default)]
struct ChangeRate {
    changes: f64,
    observed_us: f64,
}

impl ChangeRate {
    fn record(&mut self, age_us: u64, is_changed: bool) {
        self.changes = self.changes * RETAINED_WEIGHT + f64::from(u8::from(is_changed));
        self.observed_us = self.observed_us * RETAINED_WEIGHT + age_us as f64;
    }

    /// Age up to which a report is valid with [`VALID_PROBABILITY`]; `initial_us` before the first pair.
    fn valid_us(&self, initial_us: u64) -> u64 {
        let initial_us = initial_us as f64;
        let valid_changes = -VALID_PROBABILITY.ln();
        let initial_observed_us = INITIAL_CHANGES * initial_us / valid_changes;
        let us_per_change = (self.observed_us + initial_observed_us) / (self.changes + INITIAL_CHANGES);
        let (min, max) = (AGE_MULTIPLES.start() * initial_us, AGE_MULTIPLES.end() * initial_us);
        (us_per_change * valid_changes).clamp(min, max) as u64
    }
}

/// Rates of change of the reports of one service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReportValidity {
    of_uncontended: ChangeRate,
    of_contended: ChangeRate,
}

impl ReportValidity {
    /// Records what a report shows, and what was expected by an earlier one received `age_us` before.
    pub(crate) fn record(&mut self, was_uncontended: bool, is_uncontended: bool, age_us: u64) {
        if age_us > PAIR_AGE_MAX_US {
            return;
        }
        let rate = if was_uncontended { &mut self.of_uncontended } else { &mut self.of_contended };
        rate.record(age_us, was_uncontended != is_uncontended);
    }

    /// Age up to which a report that shows an upstream uncontended, or contended, is used, in microseconds.
    /// `initial_us` applies before the first pair of reports.
    pub(crate) fn valid_us(&self, is_uncontended: bool, initial_us: u64) -> u64 {
        let rate = if is_uncontended { &self.of_uncontended } else { &self.of_contended };
        rate.valid_us(initial_us)
    }
}
