//! Token buckets that are refilled over time or explicitly. Both forms of pointvane (the node
//! and the entry programs) budget retries and probes with them.

use crate::US_PER_S;

/// Token bucket with a capacity and an optional refill rate.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens: f64,
    /// Capacity.
    tokens_max: f64,
    rate_per_s: f64,
    refilled_at_us: u64,
}

impl TokenBucket {
    /// Creates a full bucket that is refilled at `rate_per_s` tokens per second.
    pub fn full(rate_per_s: f64, tokens_max: f64, now_us: u64) -> Self {
        Self { tokens: tokens_max, tokens_max, rate_per_s, refilled_at_us: now_us }
    }

    /// Creates an empty bucket that is refilled at `rate_per_s` tokens per second.
    pub fn empty(rate_per_s: f64, tokens_max: f64, now_us: u64) -> Self {
        Self { tokens: 0.0, tokens_max, rate_per_s, refilled_at_us: now_us }
    }

    /// Changes the refill rate and the capacity. Tokens accrued so far are kept, up to the new capacity.
    pub fn set(&mut self, rate_per_s: f64, tokens_max: f64, now_us: u64) {
        self.refill(now_us);
        self.rate_per_s = rate_per_s;
        self.tokens_max = tokens_max;
        self.tokens = self.tokens.min(tokens_max);
    }

    /// Creates a full bucket that only [`Self::deposit`] refills.
    pub fn without_refill(tokens_max: f64) -> Self {
        Self::full(0.0, tokens_max, 0)
    }

    /// Adds tokens, up to the capacity.
    pub fn deposit(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.tokens_max);
    }

    /// Takes `tokens` if that many are available; returns whether it did.
    pub fn try_take(&mut self, tokens: f64, now_us: u64) -> bool {
        self.refill(now_us);
        let is_available = self.tokens >= tokens;
        if is_available {
            self.tokens -= tokens;
        }
        is_available
    }

    /// Number of tokens available now.
    pub fn level(&mut self, now_us: u64) -> f64 {
        self.refill(now_us);
        self.tokens
    }

    fn refill(&mut self, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.refilled_at_us);
        self.refilled_at_us = self.refilled_at_us.max(now_us);
        self.deposit(self.rate_per_s * elapsed_us as f64 / US_PER_S as f64);
    }
}
