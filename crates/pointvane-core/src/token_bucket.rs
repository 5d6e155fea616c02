//! Token buckets, filled by time or by what a caller earns; both forms of the product budget retries and probes with them.

use crate::US_PER_S;

/// A bucket of tokens with a bound on how many it holds.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens: f64,
    tokens_max: f64,
    rate_per_s: f64,
    filled_at_us: u64,
}

impl TokenBucket {
    /// A full bucket that time fills at `rate_per_s`.
    pub fn timed(rate_per_s: f64, tokens_max: f64, now_us: u64) -> Self {
        Self { tokens: tokens_max, tokens_max, rate_per_s, filled_at_us: now_us }
    }

    /// An empty bucket that time fills at `rate_per_s`.
    pub fn empty(rate_per_s: f64, tokens_max: f64, now_us: u64) -> Self {
        Self { tokens: 0.0, tokens_max, rate_per_s, filled_at_us: now_us }
    }

    /// Takes a new rate and bound; what was filled before stays, within the bound.
    pub fn set(&mut self, rate_per_s: f64, tokens_max: f64, now_us: u64) {
        self.fill(now_us);
        self.rate_per_s = rate_per_s;
        self.tokens_max = tokens_max;
        self.tokens = self.tokens.min(tokens_max);
    }

    /// A full bucket that only [`Self::earn`] fills.
    pub fn earned(tokens_max: f64) -> Self {
        Self::timed(0.0, tokens_max, 0)
    }

    /// Adds tokens.
    pub fn earn(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.tokens_max);
    }

    /// Takes `tokens` if they are there.
    pub fn take(&mut self, tokens: f64, now_us: u64) -> bool {
        self.fill(now_us);
        let enough = self.tokens >= tokens;
        if enough {
            self.tokens -= tokens;
        }
        enough
    }

    /// Tokens there now.
    pub fn level(&mut self, now_us: u64) -> f64 {
        self.fill(now_us);
        self.tokens
    }

    fn fill(&mut self, now_us: u64) {
        let passed_us = now_us.saturating_sub(self.filled_at_us);
        self.filled_at_us = self.filled_at_us.max(now_us);
        self.earn(self.rate_per_s * passed_us as f64 / US_PER_S as f64);
    }
}
