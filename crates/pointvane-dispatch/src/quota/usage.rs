//! Counts of an account's requests at one node: those admitted within the window, and the current rate of
//! those offered.

use {
    super::messages::{FIFTHS, PER_MILLE},
    pointvane_core::PER_1000_S,
    std::array,
};

/// Number of buckets that the window is divided into.
const BUCKETS: usize = 20;
/// Number of buckets kept: those of a whole window, and the current one, which is incomplete.
const BUCKETS_KEPT: usize = BUCKETS + 1;
/// Number of buckets, including the current one, over which the rate of offered requests is computed.
const RATE_BUCKETS: u64 = 2;
/// Microseconds in a second.
const US_PER_S: f64 = 1e6;

/// Request counts of one account at one node, in a ring of time buckets.
#[derive(Clone, Debug)]
pub struct Usage {
    bucket_us: u64,
    admitted: [u32; BUCKETS_KEPT],
    offered: [u32; BUCKETS_KEPT],
    /// Number of the newest bucket, counted from the start of the clock.
    newest_bucket: u64,
}

impl Usage {
    /// Creates empty counts for a window of `window_us` microseconds.
    pub fn new(window_us: u64) -> Self {
        let bucket_us = (window_us / BUCKETS as u64).max(1);
        Self { bucket_us, admitted: [0; BUCKETS_KEPT], offered: [0; BUCKETS_KEPT], newest_bucket: 0 }
    }

    /// Counts an offered request, whether or not it is then admitted.
    pub fn record_offered(&mut self, now_us: u64) {
        let slot = self.advance(now_us);
        self.offered[slot] += 1;
    }

    /// Counts an admitted request.
    pub fn record_admitted(&mut self, now_us: u64) {
        let slot = self.advance(now_us);
        self.admitted[slot] += 1;
    }

    /// Refunds a request that was admitted at `admitted_at_us` but not sent.
    pub fn refund(&mut self, admitted_at_us: u64) {
        let bucket = admitted_at_us / self.bucket_us;
        if bucket + BUCKETS_KEPT as u64 > self.newest_bucket {
            let slot = slot(bucket);
            self.admitted[slot] = self.admitted[slot].saturating_sub(1);
        }
    }

    /// Returns the number of requests admitted within the window.
    pub fn admitted(&mut self, now_us: u64) -> u32 {
        self.advance(now_us);
        self.admitted.iter().sum()
    }

    /// Returns the number of requests admitted since a time within the window, and those of that time's bucket.
    pub fn admitted_since(&mut self, since_us: u64, now_us: u64) -> u32 {
        self.advance(now_us);
        let oldest = (self.newest_bucket + 1).saturating_sub(BUCKETS_KEPT as u64);
        let first = (since_us / self.bucket_us).max(oldest);
        (first..=self.newest_bucket).map(|bucket| self.admitted[slot(bucket)]).sum()
    }

    /// Returns the number of requests admitted within the window by fifths of it, the most recent first, and
    /// their mean position within each fifth, in thousandths from its most recent end. The current bucket
    /// belongs to the most recent fifth.
    pub fn admitted_by_fifths(&mut self, now_us: u64) -> ([u32; FIFTHS], [u16; FIFTHS]) {
        self.advance(now_us);
        let current_part = (now_us % self.bucket_us) as f64 / self.bucket_us as f64;
        let (mut admitted, mut positions) = ([0_u32; FIFTHS], [0.0; FIFTHS]);
        for age in (0..BUCKETS_KEPT as u64).filter(|age| *age <= self.newest_bucket) {
            let fifth = age.saturating_sub(1) as usize * FIFTHS / BUCKETS;
            let count = self.admitted[slot(self.newest_bucket - age)];
            admitted[fifth] += count;
            positions[fifth] += f64::from(count) * position_in_fifth(age, current_part, fifth);
        }
        let mean = |fifth: usize| positions[fifth] / f64::from(admitted[fifth].max(1)) * f64::from(PER_MILLE);
        (admitted, array::from_fn(|fifth| mean(fifth) as u16))
    }

    /// Returns the rate of offered requests over the last `RATE_BUCKETS` buckets, in requests per 1000 s.
    pub fn offered_per_1000_s(&mut self, now_us: u64) -> u32 {
        self.advance(now_us);
        let first = self.newest_bucket.saturating_sub(RATE_BUCKETS - 1);
        let offered: u32 = (first..=self.newest_bucket).map(|bucket| self.offered[slot(bucket)]).sum();
        let span_us = RATE_BUCKETS * self.bucket_us;
        (f64::from(offered) * PER_1000_S * US_PER_S / span_us as f64) as u32
    }

    /// Whether no request was offered or admitted within the window.
    pub fn is_idle(&mut self, now_us: u64) -> bool {
        self.advance(now_us);
        self.admitted.iter().chain(&self.offered).all(|count| *count == 0)
    }

    /// Clears the buckets that have left the window and returns the slot of the newest one.
    fn advance(&mut self, now_us: u64) -> usize {
        let bucket = now_us / self.bucket_us;
        let passed = bucket.saturating_sub(self.newest_bucket).min(BUCKETS_KEPT as u64);
        for step in 0..passed {
            let slot = slot(bucket - step);
            (self.admitted[slot], self.offered[slot]) = (0, 0);
        }
        self.newest_bucket = self.newest_bucket.max(bucket);
        slot(self.newest_bucket)
    }
}

/// Returns the middle of a bucket as a position within its fifth, from 0 at the most recent end to 1.
/// `current_part` is the elapsed fraction of the current bucket, whose age is 0.
fn position_in_fifth(age: u64, current_part: f64, fifth: usize) -> f64 {
    let middle = if age == 0 { current_part / 2.0 } else { age as f64 - 0.5 + current_part };
    (middle * FIFTHS as f64 / BUCKETS as f64 - fifth as f64).clamp(0.0, 1.0)
}

/// Returns the index of a bucket in the ring.
fn slot(bucket: u64) -> usize {
    (bucket % BUCKETS_KEPT as u64) as usize
}
