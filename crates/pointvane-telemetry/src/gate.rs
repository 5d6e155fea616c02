//! How many lines on requests are written: a sample of what went well, what went wrong up to a rate, and a count of
//! what was left out.

/// Rules of the gate.
#[derive(Clone, Copy, Debug)]
pub struct LineGateOptions {
    /// One of so many lines on what went well is written.
    pub well_every: u64,
    /// Lines on what went wrong that are written each second.
    pub wrong_per_s: u64,
}

impl Default for LineGateOptions {
    fn default() -> Self {
        Self { well_every: 64, wrong_per_s: 40 }
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
    written: u64,
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
        let mut left_out = None;
        if now_us / US_PER_S != self.second {
            left_out = Some(self.left_out).filter(|count| *count > 0);
            self.second = now_us / US_PER_S;
            self.written = 0;
            self.left_out = 0;
        }
        let written = self.written < self.options.wrong_per_s;
        if written {
            self.written += 1;
        } else {
            self.left_out += 1;
        }
        Passage { written, left_out }
    }
}
