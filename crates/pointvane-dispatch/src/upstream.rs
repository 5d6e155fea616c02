//! What a node believes of one upstream.

use {
    pointvane_core::{Name, UpstreamLoad, UpstreamRecord},
    std::net::SocketAddr,
};

/// An upstream's word on its load, and when it was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadSample {
    /// The word.
    pub load: UpstreamLoad,
    /// When it was heard.
    pub heard_at_us: u64,
}

/// Age at which a word on the pace counts half.
const PACE_HALF_LIFE_US: f64 = 250_000.0;
/// Age beyond which a word on running and waiting requests says nothing.
const QUEUE_AGE_MAX_US: u64 = 1_000_000;
/// Factor on work while an upstream is warming up.
const COLD_FACTOR: f32 = 2.0;
/// Share of the slots beyond which work may slow down, and by how much it is taken to.
const BUSY_SHARE: f32 = 0.8;
const BUSY_FACTOR: f32 = 1.7;
/// Weight of the newest outcome in the running share of failures.
const FAILURE_WEIGHT: f32 = 0.15;
/// Factor on the cost of an upstream that always fails.
const FAILURE_COST: f32 = 8.0;
/// Failures in a row that set an upstream aside.
const FAILURES_TO_EJECT: u32 = 3;
const EJECT_BASE_US: u64 = 400_000;
const EJECT_DOUBLINGS_MAX: u32 = 4;
const PERCENT: f32 = 100.0;
/// Weight of the newest answer time in the running mean.
const ANSWER_WEIGHT: f32 = 0.4;
/// Age at which answer times count half.
const ANSWER_HALF_LIFE_US: f64 = 1_000_000.0;

/// One upstream as a node sees it.
#[derive(Clone, Debug)]
pub struct UpstreamState {
    /// What the platform says.
    pub record: UpstreamRecord,
    /// Until when it stays in use though its entry is gone, if it is.
    pub lapsed_until_us: Option<u64>,
    /// Requests of this node that it holds.
    pub own: u32,
    /// Requests sent to it since its last word.
    sent_since: u32,
    sample: Option<LoadSample>,
    warm_at_us: u64,
    /// Time of this node's requests there, as a factor of the usual; newer ones weigh more.
    answer_pace: f32,
    answered_at_us: u64,
    failure_share: f32,
    failures_in_row: u32,
    ejections: u32,
    ejected_until_us: u64,
}

impl UpstreamState {
    /// An upstream of which only the platform has spoken.
    pub fn new(record: UpstreamRecord, now_us: u64) -> Self {
        let warm_at_us = now_us + record.warm_up_left_ms * 1_000;
        Self {
            record,
            lapsed_until_us: None,
            own: 0,
            sent_since: 0,
            sample: None,
            warm_at_us,
            answer_pace: 1.0,
            answered_at_us: 0,
            failure_share: 0.0,
            failures_in_row: 0,
            ejections: 0,
            ejected_until_us: 0,
        }
    }

    /// Takes the platform's newer word; one that is leaving never comes back.
    pub fn update(&mut self, record: UpstreamRecord, now_us: u64) {
        let draining = self.record.draining || record.draining;
        self.lapsed_until_us = None;
        self.warm_at_us = now_us + record.warm_up_left_ms * 1_000;
        self.record = UpstreamRecord { draining, ..record };
    }

    /// Identity of the upstream's life.
    pub fn id(&self) -> &Name {
        &self.record.id
    }

    /// Where it serves.
    pub fn address(&self) -> SocketAddr {
        self.record.address
    }

    /// Notes that a request goes to it.
    pub fn sent(&mut self) {
        self.own += 1;
        self.sent_since += 1;
    }

    /// Notes that a request of this node's is over there.
    pub fn done(&mut self) {
        self.own = self.own.saturating_sub(1);
    }

    /// Takes its word on its load.
    pub fn hear(&mut self, load: UpstreamLoad, now_us: u64) {
        self.sample = Some(LoadSample { load, heard_at_us: now_us });
        self.sent_since = 0;
    }

    /// Its last word on its load.
    pub fn sample(&self) -> Option<LoadSample> {
        self.sample
    }

    /// Notes how long it took for a request of this node, as a factor of the usual time.
    pub fn took(&mut self, factor: f32, now_us: u64) {
        self.answer_pace += (factor - self.answer_pace) * ANSWER_WEIGHT;
        self.answered_at_us = now_us;
    }

    /// Notes that it did what it was asked.
    pub fn succeeded(&mut self) {
        self.failures_in_row = 0;
        self.ejections = 0;
        self.failure_share -= self.failure_share * FAILURE_WEIGHT;
    }

    /// Notes that it failed; true if that set it aside.
    pub fn failed(&mut self, now_us: u64) -> bool {
        self.failure_share += (1.0 - self.failure_share) * FAILURE_WEIGHT;
        self.failures_in_row += 1;
        self.failures_in_row >= FAILURES_TO_EJECT && self.eject(now_us)
    }

    /// Sets it aside for a time that doubles with each time in a row.
    pub fn eject(&mut self, now_us: u64) -> bool {
        let already = self.is_ejected(now_us);
        if !already {
            self.ejected_until_us = now_us + (EJECT_BASE_US << self.ejections.min(EJECT_DOUBLINGS_MAX));
            self.ejections += 1;
            self.failures_in_row = 0;
        }
        !already
    }

    /// Whether it is set aside.
    pub fn is_ejected(&self, now_us: u64) -> bool {
        now_us < self.ejected_until_us
    }

    /// Whether it may get new work by the platform's word.
    pub fn takes_work(&self) -> bool {
        !self.record.draining
    }

    /// How many times the usual time a request sent now is expected to take.
    ///
    /// `pace_usual` is the mean pace of the service's upstreams, as a factor.
    pub fn cost(&self, pace_usual: f32, now_us: u64) -> f32 {
        let slots = self.record.slots.max(1) as f32;
        let load = self.requests(now_us);
        let turns = if load < slots { 1.0 } else { 1.0 + (load + 1.0 - slots) / slots };
        let busy = if load + 1.0 > slots * BUSY_SHARE { BUSY_FACTOR } else { 1.0 };
        let cold = if now_us < self.warm_at_us { COLD_FACTOR } else { 1.0 };
        let failing = 1.0 + self.failure_share * FAILURE_COST;
        self.pace(pace_usual, now_us) * turns * busy * cold * failing
    }

    /// Requests it is believed to hold.
    fn requests(&self, now_us: u64) -> f32 {
        let own = self.own as f32;
        match self.sample {
            Some(sample) if now_us.saturating_sub(sample.heard_at_us) < QUEUE_AGE_MAX_US => {
                let told = sample.load.running + sample.load.waiting + self.sent_since;
                (told as f32).max(own)
            }
            _ => own,
        }
    }

    /// The pace it is believed to work at, as a factor of the usual time.
    fn pace(&self, pace_usual: f32, now_us: u64) -> f32 {
        let Some(sample) = self.sample else {
            return self.pace_by_answers(pace_usual, now_us);
        };
        let age_us = now_us.saturating_sub(sample.heard_at_us) as f64;
        let trust = (-age_us / PACE_HALF_LIFE_US).exp2() as f32;
        let told = sample.load.pace_percent as f32 / PERCENT;
        told * trust + pace_usual * (1.0 - trust)
    }

    /// The pace where upstreams tell nothing of it: by the times of this node's own requests.
    fn pace_by_answers(&self, pace_usual: f32, now_us: u64) -> f32 {
        let age_us = now_us.saturating_sub(self.answered_at_us) as f64;
        let trust = (-age_us / ANSWER_HALF_LIFE_US).exp2() as f32;
        pace_usual * (self.answer_pace * trust + 1.0 - trust)
    }
}
