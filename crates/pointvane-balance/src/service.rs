//! Decisions for one service at one entry VM.

use {
    crate::{
        admission::{Admission, Arrival, Waiting},
        chooser::Chooser,
        estimate::ServiceMean,
        health::Health,
        trust::ReportTrust,
        upstream::UpstreamView,
    },
    pointvane_config::{FleetLimits, Service},
    pointvane_core::{ErrorKind, TokenBucket},
    rand::{Rng, SeedableRng, rngs::SmallRng},
};

mod extra;
mod news;
mod pick;
mod probe;
mod result;
mod summary;

use pick::NoPick;
pub use {
    result::{AttemptEnd, AttemptResult},
    summary::UpstreamSummary,
};

/// Retries that may be saved up, of those earned by successes. Not measured.
const RETRY_TOKENS_MAX: f64 = 10.0;
/// Hedges that may be saved up. Not measured.
const HEDGE_TOKENS_MAX: f64 = 10.0;
/// Probes that an idle upstream's share of the probe budget may save up. Not measured.
const PROBE_TOKENS_MAX: f64 = 1.0;
/// Longest retry time that a refused caller gets, in seconds. Not measured.
const RETRY_AFTER_S_MAX: u64 = 4;

/// What becomes of a request that arrives.
#[derive(Debug, PartialEq, Eq)]
pub enum Decision<W> {
    /// It goes to this upstream now.
    Start {
        /// Index of the upstream.
        upstream: usize,
        /// The shell's handle.
        waiter: W,
    },
    /// It waits; [`ServiceBalancer::dispatch`] gives it back.
    Wait,
    /// It is refused.
    Refuse {
        /// Why.
        kind: ErrorKind,
        /// The shell's handle.
        waiter: W,
    },
}

/// What becomes of a request that waited.
#[derive(Debug, PartialEq, Eq)]
pub enum Dispatch<W> {
    /// It goes to this upstream now.
    Start {
        /// Index of the upstream.
        upstream: usize,
        /// The shell's handle.
        waiter: W,
    },
    /// It is refused.
    Refuse {
        /// Why.
        kind: ErrorKind,
        /// The shell's handle.
        waiter: W,
    },
}

/// One upstream, with what is kept beside its state.
#[derive(Debug)]
struct Record {
    probes: TokenBucket,
    probed_at_us: Option<u64>,
    /// No longer in the configuration; kept while requests are in flight.
    retired: bool,
    /// When a total was last seen in an answer to this entry VM.
    reported_at_us: u64,
    /// When the load of this upstream was last told to peers.
    shared_at_us: u64,
    /// When this entry VM last started a request there.
    started_at_us: u64,
}

/// Decides for one service at one entry VM. `W` is the shell's handle of a request.
#[derive(Debug)]
pub struct ServiceBalancer<W> {
    service: Service,
    limits: FleetLimits,
    upstreams: Vec<UpstreamView>,
    records: Vec<Record>,
    /// Index of each upstream in the order of the configuration.
    by_position: Vec<usize>,
    chooser: Chooser,
    admission: Admission<W>,
    mean: ServiceMean,
    trust: ReportTrust,
    latency_us: f32,
    retries: TokenBucket,
    hedges: TokenBucket,
    own: u32,
    arrived_at_us: Option<u64>,
    rng: SmallRng,
}

impl<W> ServiceBalancer<W> {
    /// A balancer for a service that this entry VM begins to serve.
    pub fn new(service: &Service, limits: &FleetLimits, seed: u64, now_us: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let chooser = Chooser::new(service.policy, service.load.choices, SmallRng::from_rng(&mut rng));
        let mut balancer = Self {
            service: service.clone(),
            limits: limits.clone(),
            upstreams: Vec::new(),
            records: Vec::new(),
            by_position: Vec::new(),
            chooser,
            admission: Admission::new(service.admission.clone()),
            mean: ServiceMean::default(),
            trust: ReportTrust::default(),
            latency_us: 0.0,
            retries: TokenBucket::earned(RETRY_TOKENS_MAX),
            hedges: TokenBucket::earned(HEDGE_TOKENS_MAX),
            own: 0,
            arrived_at_us: None,
            rng,
        };
        balancer.place_upstreams(now_us, |_| Health::warm());
        balancer
    }

    /// Takes a new configuration of the service; what is in flight or waits is kept.
    pub fn configure(&mut self, service: &Service, limits: &FleetLimits, now_us: u64) {
        self.service = service.clone();
        self.limits = limits.clone();
        self.admission.set_options(service.admission.clone());
        let rng = SmallRng::from_rng(&mut self.rng);
        self.chooser = Chooser::new(service.policy, service.load.choices, rng);
        self.place_upstreams(now_us, Health::cold);
    }

    fn place_upstreams(&mut self, now_us: u64, health: impl Fn(u64) -> Health) {
        for (state, record) in self.upstreams.iter().zip(&mut self.records) {
            record.retired = !self.service.upstreams.iter().any(|u| same_process(u, &state.upstream));
        }
        let wanted = self.service.upstreams.clone();
        let places = wanted.into_iter().map(|upstream| self.place(upstream, health(now_us), now_us));
        self.by_position = places.collect();
    }

    /// The index of an upstream: its old one, that of a retired and empty one, or a new one.
    fn place(&mut self, upstream: pointvane_config::Upstream, health: Health, now_us: u64) -> usize {
        if let Some(index) = self.upstreams.iter().position(|s| same_process(&s.upstream, &upstream)) {
            self.upstreams[index].upstream = upstream;
            return index;
        }
        let share_per_s = self.service.load.probes_per_s / f64::from(self.limits.entry_vms_max);
        let record = Record {
            probes: TokenBucket::timed(share_per_s, PROBE_TOKENS_MAX, now_us),
            probed_at_us: None,
            retired: false,
            reported_at_us: 0,
            shared_at_us: 0,
            started_at_us: 0,
        };
        let state = UpstreamView::new(upstream, health);
        let free = (0..self.records.len()).find(|&i| self.records[i].retired && self.upstreams[i].own == 0);
        match free {
            Some(index) => {
                self.upstreams[index] = state;
                self.records[index] = record;
                index
            }
            None => {
                self.upstreams.push(state);
                self.records.push(record);
                self.upstreams.len() - 1
            }
        }
    }

    /// The configuration of the service.
    pub fn service(&self) -> &Service {
        &self.service
    }

    /// What the configuration says of an upstream.
    pub fn upstream(&self, index: usize) -> &pointvane_config::Upstream {
        &self.upstreams[index].upstream
    }

    /// Decides on a request that arrives.
    pub fn arrive(&mut self, arrival: Arrival, waiter: W, now_us: u64) -> Decision<W> {
        self.arrived_at_us = Some(now_us);
        if arrival.deadline_us <= now_us {
            return Decision::Refuse { kind: ErrorKind::DeadlinePassed, waiter };
        }
        if !self.admission.is_empty() {
            return self.queue(arrival, waiter, now_us);
        }
        match self.pick(now_us, None) {
            Ok(upstream) => {
                self.start(upstream, now_us);
                Decision::Start { upstream, waiter }
            }
            Err(NoPick::Nothing) => Decision::Refuse { kind: ErrorKind::NoUpstream, waiter },
            Err(NoPick::Full | NoPick::Stale) => self.queue(arrival, waiter, now_us),
        }
    }

    fn queue(&mut self, arrival: Arrival, waiter: W, now_us: u64) -> Decision<W> {
        match self.admission.push(arrival, waiter, now_us) {
            Ok(()) => Decision::Wait,
            Err(waiter) => Decision::Refuse { kind: ErrorKind::Overloaded, waiter },
        }
    }

    /// Gives back one waiting request that can start or must be refused; none if the rest goes on waiting.
    pub fn dispatch(&mut self, now_us: u64, gone: impl Fn(&W) -> bool) -> Option<Dispatch<W>> {
        if self.admission.is_empty() {
            self.admission.idle();
            return None;
        }
        if let Some(lost) = self.admission.pop_lost(now_us, gone) {
            return Some(Dispatch::Refuse { kind: ErrorKind::DeadlinePassed, waiter: lost.waiter });
        }
        match self.pick(now_us, None) {
            Ok(upstream) => {
                let Waiting { waiter, .. } = self.admission.pop()?;
                self.admission.started(now_us);
                self.start(upstream, now_us);
                Some(Dispatch::Start { upstream, waiter })
            }
            Err(NoPick::Nothing) => {
                let Waiting { waiter, .. } = self.admission.pop()?;
                Some(Dispatch::Refuse { kind: ErrorKind::NoUpstream, waiter })
            }
            Err(NoPick::Full | NoPick::Stale) => None,
        }
    }

    /// Seconds after which a refused caller should come back, spread so that callers don't return together.
    pub fn retry_after_s(&mut self) -> u64 {
        self.rng.random_range(1..=RETRY_AFTER_S_MAX)
    }

    /// This entry VM's own requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.own
    }

    /// Requests that wait here.
    pub fn waiting(&self) -> usize {
        self.admission.len()
    }
}

fn same_process(a: &pointvane_config::Upstream, b: &pointvane_config::Upstream) -> bool {
    a.name == b.name && a.address == b.address
}
