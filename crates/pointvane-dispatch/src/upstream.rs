//! What a node knows of one upstream, and the cost of a request sent there now.
//!
//! The cost is the expected latency as a multiple of the latency of uncontended work, 1 for an idle upstream at its usual
//! speed, times a factor for failures. Inputs: the upstream's last load report with its age, this node's own requests there, the slots and
//! warm-up time that the platform lists, and the failures seen here. A missing report is replaced by this node's own
//! counts and latencies; an old one counts less and less.

use {
    crate::{
        ejection::{Effect, FailureHistory, ProbeOutcome},
        retry::AttemptOutcome,
        service_state::ServiceState,
    },
    pointvane_core::{Name, US_PER_MS, UpstreamLoad, UpstreamRecord},
    std::net::SocketAddr,
};

/// One upstream of a pool, for as long as the pool lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UpstreamKey(pub(crate) u64);

/// A load report, and when it was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadSample {
    /// The report.
    pub load: UpstreamLoad,
    /// When it was received, in microseconds of the steady clock.
    pub received_at_us: u64,
}

/// What was known of an upstream's load when a request was sent there.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadWhenSent {
    /// Share of its slots that were taken, this request included.
    pub occupancy: f32,
    /// Expected latency, as a multiple of uncontended work.
    pub expected_latency: f32,
    /// Its slowdown by the neighbours' noise, as a multiple of its usual speed.
    pub slowdown: f32,
    /// Whether this rests on a report that was current.
    pub is_current: bool,
}

/// Age at which a reported slowdown counts half. Not measured at other values.
const SLOWDOWN_HALF_LIFE_US: f64 = 250_000.0;
/// Age beyond which reported running and waiting requests are ignored.
///
/// Not measured at other values. Letting them fade with a half life of 150 ms was worse (docs/MEASUREMENTS.md, "The
/// round on NEWS-24": 0.601 against 0.614).
const QUEUE_AGE_MAX_US: u64 = 1_000_000;
/// Factor on the cost while an upstream is warming up. Not measured.
const COLD_FACTOR: f32 = 2.0;
/// Longest age of a report by which an answer counts for the load curve, in microseconds. Not measured: other nodes send requests
/// meanwhile.
const CURRENT_AGE_MAX_US: u64 = 30_000;
/// Weight of the newest latency in the running mean of this node's own attempts. Not measured.
const LATENCY_WEIGHT: f32 = 0.4;
/// Age at which that mean counts half, where upstreams report no load: slots stay taken by work that began while neighbours slowed it.
///
/// With 1 s the shifted work's scale-1 without load reports had 0.271, with 2.5 s 0.284.
const LATENCY_HALF_LIFE_US: f64 = 2_500_000.0;
/// Unit of reported slowdowns.
const PERCENT: f32 = 100.0;

/// One upstream as a node sees it.
#[derive(Clone, Debug)]
pub struct UpstreamState {
    /// What the platform lists.
    pub record: UpstreamRecord,
    /// End of the grace period for re-registration, if its entry expired during an outage of the store.
    pub grace_until_us: Option<u64>,
    /// This node's requests there.
    in_flight: u32,
    sent_since_report: u32,
    report: Option<LoadSample>,
    warm_at_us: u64,
    /// The slot in which this node last sent it a request while it was cold (see `warm_up.rs`).
    pub(crate) cold_slot_spent: Option<u64>,
    /// Running mean of this node's latencies there, as a multiple of the route's baseline.
    latency: f32,
    latency_at_us: u64,
    failures: FailureHistory,
}

impl UpstreamState {
    /// An upstream of which only the platform's entry is known.
    pub fn new(record: UpstreamRecord, now_us: u64) -> Self {
        Self {
            warm_at_us: warm_at_us(&record, now_us),
            record,
            grace_until_us: None,
            in_flight: 0,
            sent_since_report: 0,
            report: None,
            cold_slot_spent: None,
            latency: 1.0,
            latency_at_us: 0,
            failures: FailureHistory::default(),
        }
    }

    /// Replaces the platform's entry by a newer one. Draining is final: an upstream never returns from it.
    pub fn update(&mut self, record: UpstreamRecord, now_us: u64) {
        let draining = self.record.draining || record.draining;
        self.grace_until_us = None;
        self.warm_at_us = warm_at_us(&record, now_us);
        self.record = UpstreamRecord { draining, ..record };
    }

    /// Identity of this life of the upstream.
    pub fn id(&self) -> &Name {
        &self.record.id
    }

    /// Where it serves.
    pub fn address(&self) -> SocketAddr {
        self.record.address
    }

    /// This node's requests there.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Counts a request that is sent there.
    pub fn request_started(&mut self) {
        self.in_flight += 1;
        self.sent_since_report += 1;
    }

    /// Counts a request that is over there.
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
        self.latency += (slowdown - self.latency) * LATENCY_WEIGHT;
        self.latency_at_us = now_us;
    }

    /// Records how an attempt ended.
    pub fn attempt_ended(&mut self, outcome: AttemptOutcome, now_us: u64) {
        self.failures.apply(outcome.effect(), now_us);
    }

    /// Records how a probe ended.
    pub fn probe_ended(&mut self, outcome: ProbeOutcome, now_us: u64) {
        self.failures.apply(outcome.effect(), now_us);
    }

    /// Records an attempt that was abandoned since the upstream did not respond in time.
    pub fn was_unresponsive(&mut self, now_us: u64) {
        self.failures.apply(Effect::Failure, now_us);
    }

    /// Whether it is ejected.
    pub fn is_ejected(&self, now_us: u64) -> bool {
        self.failures.is_ejected(now_us)
    }

    /// Whether it is cold: it bears fewer requests until it has warmed up.
    pub fn is_cold(&self, now_us: u64) -> bool {
        now_us < self.warm_at_us
    }

    /// Sets the end of its warm-up, in microseconds of the steady clock.
    pub(crate) fn set_warm_at(&mut self, warm_at_us: u64) {
        self.warm_at_us = warm_at_us;
    }

    /// Cost of a request sent now: its expected latency, more for an upstream that has failed lately.
    pub(crate) fn cost(&self, service: &ServiceState, now_us: u64) -> f32 {
        self.expected_latency(service, now_us) * self.failures.cost_factor()
    }

    /// Expected latency of a request sent now, as a multiple of uncontended work. Failures are left out: they do not take longer.
    pub(crate) fn expected_latency(&self, service: &ServiceState, now_us: u64) -> f32 {
        let occupancy = self.occupancy(now_us);
        let turns = occupancy.max(1.0);
        let filled = service.curve.factor(occupancy);
        let cold = if self.is_cold(now_us) { COLD_FACTOR } else { 1.0 };
        self.slowdown(service.mean_slowdown, now_us) * turns * filled * cold
    }

    /// Share of its slots that are taken with another request, by its last report and this node's own count; over 1 if that waits.
    pub(crate) fn occupancy(&self, now_us: u64) -> f32 {
        (self.requests(now_us) + 1.0) / self.record.slots.max(1) as f32
    }

    /// What is known of its load when a request is sent there.
    pub(crate) fn load_when_sent(&self, service: &ServiceState, now_us: u64) -> LoadWhenSent {
        let is_current =
            |report: LoadSample| now_us.saturating_sub(report.received_at_us) <= CURRENT_AGE_MAX_US;
        LoadWhenSent {
            occupancy: self.occupancy(now_us),
            expected_latency: self.expected_latency(service, now_us),
            slowdown: self.slowdown(service.mean_slowdown, now_us),
            is_current: self.report.is_some_and(is_current),
        }
    }

    /// Requests that it holds, by its last report and this node's own count.
    fn requests(&self, now_us: u64) -> f32 {
        let own = self.in_flight as f32;
        match self.report {
            Some(report) if now_us.saturating_sub(report.received_at_us) < QUEUE_AGE_MAX_US => {
                let reported = report.load.running + report.load.waiting + self.sent_since_report;
                (reported as f32).max(own)
            }
            _ => own,
        }
    }

    /// Latency of work there, as a multiple of uncontended work.
    fn slowdown(&self, mean_slowdown: f32, now_us: u64) -> f32 {
        let Some(report) = self.report else {
            return self.slowdown_by_latency(mean_slowdown, now_us);
        };
        let trust = fading(now_us.saturating_sub(report.received_at_us), SLOWDOWN_HALF_LIFE_US);
        let reported = report.load.slowdown_percent as f32 / PERCENT;
        reported * trust + mean_slowdown * (1.0 - trust)
    }

    /// The same for an upstream that reports no load: by the latencies of this node's own requests.
    fn slowdown_by_latency(&self, mean_slowdown: f32, now_us: u64) -> f32 {
        let trust = fading(now_us.saturating_sub(self.latency_at_us), LATENCY_HALF_LIFE_US);
        mean_slowdown * (self.latency * trust + 1.0 - trust)
    }
}

fn warm_at_us(record: &UpstreamRecord, now_us: u64) -> u64 {
    now_us + record.warm_up_left_ms * US_PER_MS
}

/// Weight of a figure of some age: 1 for a new one, half after each half life.
fn fading(age_us: u64, half_life_us: f64) -> f32 {
    (-(age_us as f64) / half_life_us).exp2() as f32
}
