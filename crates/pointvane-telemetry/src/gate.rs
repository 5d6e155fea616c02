//! How many lines are written: of requests a sample of what went well and what went wrong up to a rate, of beliefs up to
//! a rate, and a count of what was left out.

/// Rules of the gate.
#[derive(Clone, Copy, Debug)]
pub struct LineGateOptions {
    /// One of so many lines on what went well is written.
    pub well_every: u64,
    /// Lines on what went wrong that are written each second.
    pub wrong_per_s: u64,
    /// Lines on beliefs about upstreams and other nodes that are written each second.
    pub beliefs_per_s: u64,
}

impl Default for LineGateOptions {
    fn default() -> Self {
        Self { well_every: 64, wrong_per_s: 40, beliefs_per_s: 60 }
    }
}

/// What becomes of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Passage {
    /// Whether it is written.
    pub written: bool,
    /// Lines left out in the last second that had any, to be told now.
    pub left_out: Option<u64>,
}

/// The gate of one process.
#[derive(Debug, Default)]
pub struct LineGate {
    options: LineGateOptions,
    well: u64,
    second: u64,
    wrong_written: u64,
    beliefs_written: u64,
    left_out: u64,
}

const US_PER_S: u64 = 1_000_000;

impl LineGate {
    /// A gate that has let nothing pass.
    pub fn new(options: LineGateOptions) -> Self {
        Self { options, ..Self::default() }
    }

    /// Asks for a line on something that went well.
    pub fn well(&mut self) -> bool {
        self.well += 1;
        self.well.is_multiple_of(self.options.well_every.max(1))
    }

    /// Asks for a line on something that went wrong.
    pub fn wrong(&mut self, now_us: u64) -> Passage {
        let left_out = self.begin_second(now_us);
        let written = self.wrong_written < self.options.wrong_per_s;
        self.wrong_written += u64::from(written);
        self.left_out += u64::from(!written);
        Passage { written, left_out }
    }

    /// Asks for a line on a belief about an upstream or another node.
    pub fn belief(&mut self, now_us: u64) -> Passage {
        let left_out = self.begin_second(now_us);
        let written = self.beliefs_written < self.options.beliefs_per_s;
        self.beliefs_written += u64::from(written);
        self.left_out += u64::from(!written);
        Passage { written, left_out }
    }

    /// Begins a new second if there is one; gives the count of lines left out before.
    fn begin_second(&mut self, now_us: u64) -> Option<u64> {
        if now_us / US_PER_S == self.second {
            return None;
        }
        let left_out = self.left_out;
        *self = Self { options: self.options, well: self.well, second: now_us / US_PER_S, ..Self::default() };
        Some(left_out).filter(|count| *count > 0)
    }
}
