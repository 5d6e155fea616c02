//! When a lost service is checked: the times of the probes that find out whether its upstreams respond again.
//!
//! All nodes of a fleet may have lost a service at the same moment, and each check opens a connection. Upstreams
//! that accept connections slowly must not get more of them than they can accept, or the checks would keep the
//! service lost. So the time between two rounds doubles while the service stays lost. Tests:
//! `tests/reachability.rs`, `standins/tests/slow_connections.rs`.

/// Time between the first two rounds, in microseconds.
const INTERVAL_MIN_US: u64 = 100_000;
/// Longest time between two rounds, in microseconds: bounds how late a service is regained that was silent for
/// long.
const INTERVAL_MAX_US: u64 = 800_000;

/// Times of the checks of one lost service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CheckSchedule {
    interval_us: u64,
    due_us: u64,
}

impl Default for CheckSchedule {
    fn default() -> Self {
        Self { interval_us: INTERVAL_MIN_US, due_us: 0 }
    }
}

impl CheckSchedule {
    pub(crate) fn is_due(&self, now_us: u64) -> bool {
        self.due_us <= now_us
    }

    pub(crate) fn record_round(&mut self, now_us: u64) {
        self.due_us = now_us + self.interval_us;
        self.interval_us = (self.interval_us * 2).min(INTERVAL_MAX_US);
    }
}
