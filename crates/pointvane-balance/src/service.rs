//! Decisions for one service on one entry VM: the upstream of a request, or whether the request waits or is
//! refused.
//!
//! Owns the state of the service's upstreams, the queue and the budgets for retries, hedges and probes.

use {
    crate::{
        admission::{AdmissionQueue, Arrival, QueuedRequest},
        chooser::Chooser,
        estimate::ServiceMean,
        health::Health,
        trust::ReportTrust,
        upstream::UpstreamState,
    },
    pointvane_config::{FleetLimits, Service},
    pointvane_core::{Class, ErrorKind, TokenBucket, US_PER_S},
    rand::{Rng, SeedableRng, rngs::SmallRng},
};

mod extra;
mod limit;
mod observations;
mod pick;
mod probe;
mod result;
mod summary;
mod upstreams;

use {pick::PickError, upstreams::UpstreamRecord};
pub use {
    result::{AttemptOutcome, AttemptResult},
    summary::UpstreamSummary,
};

/// Maximum number of retries that successes can accumulate.
const RETRY_TOKENS_MAX: f64 = 10.0;
/// Maximum number of hedges that successes can accumulate.
const HEDGE_TOKENS_MAX: f64 = 10.0;
/// Maximum number of probes that an upstream's share of the probe budget can accumulate.
const PROBE_TOKENS_MAX: f64 = 1.0;
/// Upper bound of the random part of the retry time of a refused caller, in seconds.
const RETRY_AFTER_S_MAX: u64 = 4;

/// Decision on a request that arrives.
#[derive(Debug, PartialEq, Eq)]
pub enum Decision<W> {
    /// The request goes to this upstream now.
    Start {
        /// Index of the upstream.
        upstream: usize,
        /// The caller's handle of the request.
        waiter: W,
    },
    /// The request waits; [`ServiceBalancer::dispatch`] returns it later.
    Wait,
    /// The request is refused.
    Refuse {
        /// Reason for the refusal.
        kind: ErrorKind,
        /// The caller's handle of the request.
        waiter: W,
    },
}

/// Decision on a request that waited.
#[derive(Debug, PartialEq, Eq)]
pub enum Dispatch<W> {
    /// The request goes to this upstream now.
    Start {
        /// Index of the upstream.
        upstream: usize,
        /// The caller's handle of the request.
        waiter: W,
    },
    /// The request is refused.
    Refuse {
        /// Reason for the refusal.
        kind: ErrorKind,
        /// The caller's handle of the request.
        waiter: W,
    },
}

/// Load balancer of one service on one entry VM. `W` is the caller's handle of a request.
#[derive(Debug)]
pub struct ServiceBalancer<W> {
    service: Service,
    limits: FleetLimits,
    upstreams: Vec<UpstreamState>,
    records: Vec<UpstreamRecord>,
    /// Index of each upstream in the order of the configuration.
    index_by_position: Vec<usize>,
    chooser: Chooser,
    admission: AdmissionQueue<W>,
    others_mean: ServiceMean,
    report_trust: ReportTrust,
    mean_latency_us: f32,
    retry_budget: TokenBucket,
    hedge_budget: TokenBucket,
    in_flight: u32,
    last_arrival_us: Option<u64>,
    rng: SmallRng,
}

impl<W> ServiceBalancer<W> {
    /// Creates a balancer for a service that this entry VM begins to serve. Upstreams start at full weight.
    pub fn new(service: &Service, limits: &FleetLimits, seed: u64, now_us: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let chooser = Chooser::new(service.policy, service.load.choices, SmallRng::from_rng(&mut rng));
        let mut balancer = Self {
            service: service.clone(),
            limits: limits.clone(),
            upstreams: Vec::new(),
            records: Vec::new(),
            index_by_position: Vec::new(),
            chooser,
            admission: AdmissionQueue::new(service.admission.clone()),
            others_mean: ServiceMean::default(),
            report_trust: ReportTrust::default(),
            mean_latency_us: 0.0,
            retry_budget: TokenBucket::without_refill(RETRY_TOKENS_MAX),
            hedge_budget: TokenBucket::without_refill(HEDGE_TOKENS_MAX),
            in_flight: 0,
            last_arrival_us: None,
            rng,
        };
        balancer.update_upstreams(now_us, |_| Health::warm());
        balancer
    }

    /// Applies a new configuration. Requests in flight and in the queue are kept; new upstreams start cold.
    pub fn configure(&mut self, service: &Service, limits: &FleetLimits, now_us: u64) {
        self.service = service.clone();
        self.limits = limits.clone();
        self.admission.set_options(service.admission.clone());
        let rng = SmallRng::from_rng(&mut self.rng);
        self.chooser = Chooser::new(service.policy, service.load.choices, rng);
        self.update_upstreams(now_us, Health::cold);
    }

    /// Configuration of the service.
    pub fn service(&self) -> &Service {
        &self.service
    }

    /// Configuration of one upstream.
    pub fn upstream(&self, index: usize) -> &pointvane_config::Upstream {
        &self.upstreams[index].upstream
    }

    /// Decides on a request that arrives.
    pub fn arrive(&mut self, arrival: Arrival, waiter: W, now_us: u64) -> Decision<W> {
        self.last_arrival_us = Some(now_us);
        if arrival.deadline_us <= now_us {
            return Decision::Refuse { kind: ErrorKind::DeadlinePassed, waiter };
        }
        if !self.admission.is_empty() {
            return self.enqueue(arrival, waiter, now_us);
        }
        match self.pick_upstream(arrival.class, now_us, None) {
            Ok(upstream) => {
                self.begin_attempt(upstream, now_us);
                Decision::Start { upstream, waiter }
            }
            Err(PickError::NoUpstream) => Decision::Refuse { kind: ErrorKind::NoUpstream, waiter },
            Err(PickError::Evacuated) => Decision::Refuse { kind: ErrorKind::Evacuated, waiter },
            Err(PickError::BackingOff) => Decision::Refuse { kind: ErrorKind::UpstreamsBackingOff, waiter },
            Err(PickError::Limited) => Decision::Refuse { kind: ErrorKind::UpstreamsLimited, waiter },
            Err(PickError::Full | PickError::NoFreshEvidence) => self.enqueue(arrival, waiter, now_us),
        }
    }

    fn enqueue(&mut self, arrival: Arrival, waiter: W, now_us: u64) -> Decision<W> {
        match self.admission.push(arrival, waiter, now_us) {
            Ok(()) => Decision::Wait,
            Err(waiter) => Decision::Refuse { kind: ErrorKind::Overloaded, waiter },
        }
    }

    /// Returns one waiting request that can start or must be refused, or `None` if the others keep waiting.
    pub fn dispatch(&mut self, now_us: u64, is_cancelled: impl Fn(&W) -> bool) -> Option<Dispatch<W>> {
        if self.admission.is_empty() {
            self.admission.reset_last_start();
            return None;
        }
        if let Some(abandoned) = self.admission.pop_abandoned(now_us, is_cancelled) {
            return Some(Dispatch::Refuse { kind: ErrorKind::DeadlinePassed, waiter: abandoned.waiter });
        }
        match self.pick_upstream(Class::Urgent, now_us, None) {
            Ok(upstream) => {
                let QueuedRequest { waiter, .. } = self.admission.pop()?;
                self.admission.record_start(now_us);
                self.begin_attempt(upstream, now_us);
                Some(Dispatch::Start { upstream, waiter })
            }
            Err(PickError::NoUpstream) => {
                let QueuedRequest { waiter, .. } = self.admission.pop()?;
                Some(Dispatch::Refuse { kind: ErrorKind::NoUpstream, waiter })
            }
            Err(PickError::Evacuated) => {
                let QueuedRequest { waiter, .. } = self.admission.pop()?;
                Some(Dispatch::Refuse { kind: ErrorKind::Evacuated, waiter })
            }
            Err(PickError::BackingOff) => {
                let QueuedRequest { waiter, .. } = self.admission.pop()?;
                Some(Dispatch::Refuse { kind: ErrorKind::UpstreamsBackingOff, waiter })
            }
            Err(PickError::Limited) => {
                let QueuedRequest { waiter, .. } = self.admission.pop()?;
                Some(Dispatch::Refuse { kind: ErrorKind::UpstreamsLimited, waiter })
            }
            Err(PickError::Full | PickError::NoFreshEvidence) => None,
        }
    }

    /// Seconds after which a refused caller should retry. The value is random, so that callers that were
    /// refused together do not return together. If all upstreams are backing off or at their limits, the time
    /// until the first becomes available is added.
    pub fn retry_after_s(&mut self, kind: ErrorKind, now_us: u64) -> u64 {
        let is_time_known = matches!(kind, ErrorKind::UpstreamsBackingOff | ErrorKind::UpstreamsLimited);
        let first_return_in_us = self.first_return_in_us(now_us).filter(|_| is_time_known);
        first_return_in_us.map_or(0, |first_return_in_us| first_return_in_us.div_ceil(US_PER_S))
            + self.rng.random_range(1..=RETRY_AFTER_S_MAX)
    }

    /// This entry VM's own requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Number of queued requests.
    pub fn waiting(&self) -> usize {
        self.admission.len()
    }
}
