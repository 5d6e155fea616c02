//! Bounds of log lines: a sample of successes, failures and changes of state up to a rate each, and a count of what was
//! suppressed.

use pointvane_core::US_PER_S;

/// How many lines are written. Not measured; bounded lines were cheaper on the users' days (docs/MEASUREMENTS.md).
#[derive(Clone, Copy, Debug)]
pub struct LineGateOptions {
    /// One of so many lines on successes is written.
    pub successes_every: u64,
    /// Lines on failures that are written each second.
    pub failures_per_s: u64,
    /// Lines on changes of state of upstreams and other nodes that are written each second.
    pub changes_per_s: u64,
}

impl Default for LineGateOptions {
    fn default() -> Self {
        Self { successes_every: 64, failures_per_s: 40, changes_per_s: 60 }
    }
}

/// What becomes of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateDecision {
    /// Whether it is written.
    pub written: bool,
    /// Lines suppressed in the last second that had any, to be logged now.
    pub suppressed: Option<u64>,
}

/// The gate of one process.
#[derive(Debug, Default)]
pub struct LineGate {
    options: LineGateOptions,
    successes: u64,
    second: u64,
    failures_written: u64,
    changes_written: u64,
    suppressed: u64,
}

impl LineGate {
    /// A gate that has let nothing pass.
    pub fn new(options: LineGateOptions) -> Self {
        Self { options, ..Self::default() }
    }

    /// Asks for a line on something that went successes.
    pub fn success(&mut self) -> bool {
        self.successes += 1;
        self.successes.is_multiple_of(self.options.successes_every.max(1))
    }

    /// Asks for a line on something that went wrong.
    pub fn failure(&mut self, now_us: u64) -> GateDecision {
        let suppressed = self.begin_second(now_us);
        let written = self.failures_written < self.options.failures_per_s;
        self.failures_written += u64::from(written);
        self.suppressed += u64::from(!written);
        GateDecision { written, suppressed }
    }

    /// Asks for a line on a belief about an upstream or another node.
    pub fn change(&mut self, now_us: u64) -> GateDecision {
        let suppressed = self.begin_second(now_us);
        let written = self.changes_written < self.options.changes_per_s;
        self.changes_written += u64::from(written);
        self.suppressed += u64::from(!written);
        GateDecision { written, suppressed }
    }

    /// Begins a new second if there is one; gives the count of lines left out before.
    fn begin_second(&mut self, now_us: u64) -> Option<u64> {
        if now_us / US_PER_S == self.second {
            return None;
        }
        let suppressed = self.suppressed;
        *self = Self {
            options: self.options,
            successes: self.successes,
            second: now_us / US_PER_S,
            ..Self::default()
        };
        Some(suppressed).filter(|count| *count > 0)
    }
}
