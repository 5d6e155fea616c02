//! Backoff from one upstream: from its `Retry-After` until it has run a request again.
//!
//! Both forms of pointvane (the node and the entry programs) check [`Backoff::blocks_sends`] when they select
//! an upstream, and record each send and its result. Inputs: the requested backoff (`retry_after.rs`), the
//! random delay that this process adds to it, and a monotonic clock that includes suspended time. Invariant:
//! no request is sent before the end of any requested backoff (`tests/backoff.rs`).
//!
//! Processes that received a `Retry-After` at the same time would resume at the same time, before the
//! upstream's load reports reveal them to each other. Each process therefore adds its own delay and resumes
//! with a single trial request.

/// Time for which a trial request blocks other sends if it does not finish, in microseconds.
///
/// Requests take 24 to 370 ms on the target platform, so a trial normally finishes before this limit.
const TRIAL_TIMEOUT_US: u64 = 500_000;

/// Assumed service time of a request, in microseconds: processes resume at the rate at which slots free up.
///
/// Requests take 24 to 370 ms on the target platform.
const SERVICE_TIME_US: u64 = 100_000;
/// Processes per slot that may resume without a delay, because the few requests of each rarely coincide.
///
/// When 14 of 472 processes use each of 1,080 upstreams with 6 slots
/// (`pointvane-dispatch/tests/notices_fleet.rs`), at most 11 requests reach one upstream in the first 100 ms
/// after a backoff of all upstreams for 3 s; an upstream can take 12. Spread over 233 ms, it is up to 20,
/// because the first upstream to resume attracts the requests of all the others.
const UNDELAYED_PROCESSES_PER_SLOT: usize = 3;
/// Upper bound of the delay that a process adds, in microseconds.
///
/// In the same setup with 1,800 processes on 6 upstreams, which can take 30 requests each, resuming
/// without a delay sends 95 requests to one upstream in the first 100 ms. A bound of 1 s lowers this to 16,
/// and upstreams are in use again after 0.6 s instead of 0.2 s; 2 s lowers it to 10, after 1 s.
const RESUME_DELAY_MAX_US: u64 = 1_000_000;

/// Upper bound of the delay to add to a backoff of `for_us`, in microseconds, when `processes` processes back
/// off from an upstream with `slots` slots. At most `for_us`, so that no process resumes later than after
/// twice the requested backoff.
pub fn resume_delay_max_us(processes: usize, slots: u32, for_us: u64) -> u64 {
    let slots = slots.max(1) as usize;
    let delayed_processes = processes.saturating_sub(slots * UNDELAYED_PROCESSES_PER_SLOT) as u64;
    (delayed_processes * SERVICE_TIME_US / slots as u64).min(RESUME_DELAY_MAX_US).min(for_us)
}

/// Backoff state of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backoff {
    /// End of the backoff; 0 if none was requested, or if the upstream has run a request since.
    until_us: u64,
    /// Until when the trial request blocks other sends; 0 if there is none.
    trial_until_us: u64,
}

impl Backoff {
    /// State for a new incarnation of the upstream. The requested backoff is dropped, but a single trial
    /// request is sent first, because the new incarnation may have requested the backoff before it was known
    /// here.
    pub fn for_new_incarnation(self, now_us: u64) -> Self {
        let until_us = if self.is_backing_off(now_us) { now_us } else { 0 };
        Self { until_us, trial_until_us: 0 }
    }

    /// Records a requested backoff of `for_us` microseconds, to which this process adds `delay_us`. Returns
    /// whether the backoff ends later than before; an earlier end never shortens the current backoff.
    pub fn record_retry_after(&mut self, for_us: u64, delay_us: u64, now_us: u64) -> bool {
        let until_us = now_us.saturating_add(for_us);
        self.trial_until_us = 0;
        if until_us <= self.until_us {
            return false;
        }
        self.until_us = until_us.saturating_add(delay_us);
        true
    }

    /// Records that the upstream's request limit has ended. All processes learn this at the same time, so
    /// this one resumes after `delay_us`, with a single trial request. A requested backoff that ends later
    /// stays in force.
    pub fn record_limit_lifted(&mut self, delay_us: u64, now_us: u64) {
        self.until_us = self.until_us.max(now_us.saturating_add(delay_us)).max(1);
    }

    /// Whether the backoff is in force. Unlike [`Self::blocks_sends`], this ignores a running trial request.
    pub fn is_backing_off(&self, now_us: u64) -> bool {
        now_us < self.until_us
    }

    /// Whether sends are blocked now, by the backoff or by a running trial request.
    pub fn blocks_sends(&self, now_us: u64) -> bool {
        self.is_backing_off(now_us) || now_us < self.trial_until_us
    }

    /// End of the current block; `None` if sends are allowed.
    pub fn until_us(&self, now_us: u64) -> Option<u64> {
        self.blocks_sends(now_us).then(|| self.until_us.max(self.trial_until_us))
    }

    /// Records a send; the first one after a backoff is the trial request.
    pub fn record_send(&mut self, now_us: u64) {
        if self.until_us > 0 {
            self.trial_until_us = now_us + TRIAL_TIMEOUT_US;
        }
    }

    /// Records the end of a request; `ran` says whether the upstream ran it. Returns whether this ends the
    /// backoff.
    ///
    /// A request that ends while the backoff is in force was sent before it and says nothing about its end.
    pub fn record_result(&mut self, ran: bool, now_us: u64) -> bool {
        if self.until_us == 0 || now_us < self.until_us {
            return false;
        }
        self.trial_until_us = 0;
        if ran {
            self.until_us = 0;
        }
        ran
    }
}
