//! State of one upstream as known to a node: the platform's entry, the last load report, this node's own
//! requests, latencies and failures there, and the upstream's own notices.
//!
//! `cost.rs` derives the expected cost of a request from it, `eligibility.rs` whether the upstream may get
//! one.

use {
    crate::{
        ejection::{Effect, FailureHistory, ProbeOutcome},
        outcome::AttemptOutcome,
    },
    pointvane_core::{Backoff, MalformedStreak, Name, RequestLimit, US_PER_MS, UpstreamLoad, UpstreamRecord},
    std::net::SocketAddr,
};

/// A load report and the time it was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadSample {
    /// The report.
    pub load: UpstreamLoad,
    /// When it was received, in microseconds of the monotonic clock.
    pub received_at_us: u64,
}

/// Weight of the newest latency in the moving average of this node's own attempts.
const NEWEST_LATENCY_WEIGHT: f32 = 0.4;

/// Maximum warm-up time that is accepted, in milliseconds; longer ones are cut to it.
///
/// Far above the warm-up times of known upstreams, which are 3 s. Entries may be written by other programs,
/// and a huge value would overflow the clock.
const WARM_UP_MAX_MS: u64 = 600_000;

/// What an upstream has announced about itself in this incarnation (see `notices.rs`).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Notices {
    pub(crate) backoff: Backoff,
    pub(crate) is_leaving: bool,
    pub(crate) limit: RequestLimit,
}

impl Notices {
    /// The notices that apply to a later incarnation. Leaving and limits do not carry over; a back-off may
    /// have been requested by the later incarnation already, so `Backoff` decides what remains of it.
    pub(crate) fn for_new_incarnation(self, now_us: u64) -> Self {
        Self { backoff: self.backoff.for_new_incarnation(now_us), ..Self::default() }
    }
}

/// How an upstream has ended, or is about to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    /// It has announced that, or its entry was removed.
    Announced,
    /// A later process has its identity.
    Replaced,
}

/// State of one upstream as known to a node.
#[derive(Clone, Debug)]
pub struct UpstreamState {
    /// The platform's entry.
    pub record: UpstreamRecord,
    /// End of the grace period for re-registration, in microseconds of the monotonic clock, if its entry
    /// expired during an outage of the store.
    pub grace_until_us: Option<u64>,
    /// This node's requests in flight there.
    pub(crate) in_flight: u32,
    /// This node's requests sent there since the last load report.
    pub(crate) sent_since_report: u32,
    pub(crate) report: Option<LoadSample>,
    /// End of the warm-up, in microseconds of the monotonic clock.
    pub(crate) warm_at_us: u64,
    /// The draw interval in which this node last sent it a request while it was cold (see `warm_up.rs`).
    pub(crate) last_cold_send_interval: Option<u64>,
    /// Moving average of this node's latencies there, as a multiple of the route's baseline.
    pub(crate) latency: f32,
    /// When `latency` was last updated, in microseconds of the monotonic clock.
    pub(crate) latency_at_us: u64,
    pub(crate) failures: FailureHistory,
    pub(crate) notices: Notices,
    pub(crate) malformed: MalformedStreak,
}

impl UpstreamState {
    /// The state of an upstream of which only the platform's entry is known.
    pub fn new(record: UpstreamRecord, now_us: u64) -> Self {
        Self {
            warm_at_us: warm_at_us(record.warm_up_left_ms, now_us),
            record,
            grace_until_us: None,
            in_flight: 0,
            sent_since_report: 0,
            report: None,
            last_cold_send_interval: None,
            latency: 1.0,
            latency_at_us: 0,
            failures: FailureHistory::default(),
            notices: Notices::default(),
            malformed: MalformedStreak::default(),
        }
    }

    /// Replaces the platform's entry by a newer one. Draining is final: a newer entry does not end it.
    pub fn update(&mut self, record: UpstreamRecord, now_us: u64) {
        let draining = self.record.draining || record.draining;
        self.grace_until_us = None;
        self.set_warm_up(record.warm_up_left_ms, now_us);
        self.record = UpstreamRecord { draining, ..record };
    }

    /// Whether its entry or a response says that it is about to end.
    pub(crate) fn is_departing(&self) -> bool {
        self.record.draining || self.notices.is_leaving
    }

    /// The upstream's identity.
    pub fn id(&self) -> &Name {
        &self.record.id
    }

    /// The address that requests are sent to.
    pub fn address(&self) -> SocketAddr {
        self.record.address
    }

    /// This node's requests in flight there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Counts a request as sent there.
    pub fn request_started(&mut self) {
        self.in_flight += 1;
        self.sent_since_report += 1;
    }

    /// Counts a request as finished there.
    pub fn request_finished(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records a load report.
    pub fn record_load(&mut self, load: UpstreamLoad, now_us: u64) {
        self.report = Some(LoadSample { load, received_at_us: now_us });
        self.sent_since_report = 0;
    }

    /// The last load report.
    pub fn report(&self) -> Option<LoadSample> {
        self.report
    }

    /// Records the latency of one of this node's requests, as a multiple of the route's baseline.
    pub fn record_latency(&mut self, slowdown: f32, now_us: u64) {
        self.latency += (slowdown - self.latency) * NEWEST_LATENCY_WEIGHT;
        self.latency_at_us = now_us;
    }

    /// Records the outcome of an attempt.
    pub fn record_attempt(&mut self, outcome: AttemptOutcome, now_us: u64) {
        self.failures.apply(outcome.effect(), now_us);
    }

    /// Records the outcome of a probe.
    pub fn record_probe(&mut self, outcome: ProbeOutcome, now_us: u64) {
        self.failures.apply(outcome.effect(), now_us);
    }

    /// Records an attempt that was abandoned because the upstream did not respond in time. Counts as a
    /// failure.
    pub fn record_unresponsive(&mut self, now_us: u64) {
        self.failures.apply(Effect::Failure, now_us);
    }

    /// Drops its failures, also an ejection.
    pub(crate) fn drop_failures(&mut self) {
        self.failures = FailureHistory::default();
    }

    /// Whether it is ejected.
    pub fn is_ejected(&self, now_us: u64) -> bool {
        self.failures.is_ejected(now_us)
    }

    /// Time until this node may send a request of `priority`, in microseconds, by the upstream's back-off and
    /// limit; none if neither prevents it.
    pub fn available_in_us(&self, priority: u32, now_us: u64) -> Option<u64> {
        let backing_off_us = self.notices.backoff.until_us(now_us).map(|until_us| until_us - now_us);
        backing_off_us.max(self.notices.limit.available_in_us(priority, now_us))
    }

    /// The upstream's advertised limit, as far as it is known.
    pub fn limit(&self) -> &RequestLimit {
        &self.notices.limit
    }

    /// Whether it is cold: until it has warmed up, it can take fewer requests.
    pub fn is_cold(&self, now_us: u64) -> bool {
        now_us < self.warm_at_us
    }

    /// Sets the remaining warm-up time, in milliseconds.
    pub(crate) fn set_warm_up(&mut self, left_ms: u64, now_us: u64) {
        self.warm_at_us = warm_at_us(left_ms, now_us);
    }
}

/// The end of a warm-up, in microseconds of the monotonic clock.
fn warm_at_us(left_ms: u64, now_us: u64) -> u64 {
    now_us + left_ms.min(WARM_UP_MAX_MS) * US_PER_MS
}
