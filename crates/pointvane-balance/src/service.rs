//! Decisions for one service at one entry VM.

use {
    crate::{
        admission::{Admission, Arrival, Waiting},
        budget::TokenBucket,
        chooser::Chooser,
        estimate::ServiceMean,
        health::Health,
        trust::ReportTrust,
        upstream::{ScoreContext, UpstreamState},
    },
    pointvane_config::{FleetLimits, Policy, Service},
    pointvane_core::{ErrorKind, LoadReport, Name, US_PER_MS},
    rand::{Rng, SeedableRng, rngs::SmallRng},
};

mod news;
mod summary;

pub use summary::UpstreamSummary;

/// Share of each new answer time in the service's running mean.
const LATENCY_SHARE: f32 = 0.02;
const RETRY_TOKENS_MAX: f64 = 10.0;
const HEDGE_TOKENS_MAX: f64 = 10.0;
/// Asks that an idle upstream's share of the probe budget may save up.
const PROBE_TOKENS_MAX: f64 = 1.0;
/// Time after which an ask without an answer may be repeated.
const ASK_AGAIN_US: u64 = 200 * US_PER_MS;
/// Asks of one service under way at once.
const ASKS_AT_ONCE: usize = 8;
/// Time after which a request that was started has surely reached its upstream.
const ARRIVED_US: u64 = 5 * US_PER_MS;
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

/// How an attempt at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// A whole answer came.
    Answered,
    /// The upstream failed, or could not be reached.
    Failed,
    /// The upstream refused it for overload.
    Shed,
    /// It was given up by this side; that says nothing of the upstream.
    Cancelled,
}

/// The end of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult {
    /// Index of the upstream.
    pub upstream: usize,
    /// How it ended.
    pub end: AttemptEnd,
    /// Time from start to end, in microseconds.
    pub latency_us: u64,
    /// The load report that came with the answer.
    pub report: Option<LoadReport>,
}

/// Why no upstream was picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NoPick {
    /// All usable upstreams are full.
    Full,
    /// No usable upstream has fresh evidence that it is not leaving.
    Stale,
    /// None is left.
    Nothing,
}

/// One upstream, with what is kept beside its state.
#[derive(Debug)]
struct Slot {
    probes: TokenBucket,
    asked_at_us: Option<u64>,
    /// No longer in the configuration; kept while requests are in flight.
    retired: bool,
    /// When a total was last seen in an answer to this entry VM.
    seen_at_us: u64,
    /// When the load of this upstream was last told to peers.
    told_at_us: u64,
    /// When this entry VM last started a request there.
    started_at_us: u64,
}

/// Decides for one service at one entry VM. `W` is the shell's handle of a request.
#[derive(Debug)]
pub struct ServiceBalancer<W> {
    service: Service,
    limits: FleetLimits,
    upstreams: Vec<UpstreamState>,
    slots: Vec<Slot>,
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
            slots: Vec::new(),
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
        for (state, slot) in self.upstreams.iter().zip(&mut self.slots) {
            slot.retired = !self.service.upstreams.iter().any(|u| same_process(u, &state.upstream));
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
        let slot = Slot {
            probes: TokenBucket::timed(share_per_s, PROBE_TOKENS_MAX, now_us),
            asked_at_us: None,
            retired: false,
            seen_at_us: 0,
            told_at_us: 0,
            started_at_us: 0,
        };
        let state = UpstreamState::new(upstream, health);
        let free = (0..self.slots.len()).find(|&i| self.slots[i].retired && self.upstreams[i].own == 0);
        match free {
            Some(index) => {
                self.upstreams[index] = state;
                self.slots[index] = slot;
                index
            }
            None => {
                self.upstreams.push(state);
                self.slots.push(slot);
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

    /// Takes out all that waits, as at a planned stop.
    pub fn drain(&mut self) -> Vec<W> {
        self.admission.drain().map(|waiting| waiting.waiter).collect()
    }

    /// Another upstream for repeatable work whose attempt failed, if the retry budget allows.
    pub fn retry(&mut self, failed: usize, now_us: u64) -> Option<usize> {
        let upstream = self.pick(now_us, Some(failed)).ok()?;
        if !self.retries.take(1.0, now_us) {
            return None;
        }
        self.start(upstream, now_us);
        Some(upstream)
    }

    /// Another upstream for work of which no byte was sent; this costs no budget.
    pub fn redirect(&mut self, unreachable: usize, now_us: u64) -> Option<usize> {
        let upstream = self.pick(now_us, Some(unreachable)).ok()?;
        self.start(upstream, now_us);
        Some(upstream)
    }

    /// Time after which repeatable work may be hedged, in microseconds; none while hedging is off or unmeasured.
    pub fn hedge_after_us(&self) -> Option<u64> {
        let on = self.service.hedge.budget_share > 0.0 && self.latency_us > 0.0;
        on.then(|| (f64::from(self.latency_us) * self.service.hedge.after_factor) as u64)
    }

    /// A second upstream for slow repeatable work, only where there is slack and nothing waits.
    pub fn hedge(&mut self, first: usize, now_us: u64) -> Option<usize> {
        if !self.admission.is_empty() {
            return None;
        }
        let upstream = self.pick(now_us, Some(first)).ok()?;
        let state = &self.upstreams[upstream];
        let slack = state.total(&self.context(now_us)) / f32::from(state.upstream.slots);
        if f64::from(slack) > self.service.hedge.slack_share || !self.hedges.take(1.0, now_us) {
            return None;
        }
        self.start(upstream, now_us);
        Some(upstream)
    }

    /// Takes the end of an attempt.
    pub fn finish(&mut self, result: &AttemptResult, now_us: u64) {
        self.own = self.own.saturating_sub(1);
        let ejected = self.ejected_count(now_us);
        let staying = self.staying_count();
        let state = &mut self.upstreams[result.upstream];
        state.own = state.own.saturating_sub(1);
        state.health.settle(now_us, &self.service.ejection);
        match result.end {
            AttemptEnd::Answered => self.answered(result, now_us),
            AttemptEnd::Failed => {
                let floor_allows = (ejected + 1) as f64 <= self.service.ejection.share_max * staying as f64;
                if state.health.failed(&self.service.ejection) && floor_allows {
                    state.health.eject(now_us, &self.service.ejection);
                }
            }
            AttemptEnd::Shed => state.shed(),
            AttemptEnd::Cancelled => {}
        }
        if let Some(report) = result.report {
            self.reported(result.upstream, report, now_us);
        }
    }

    fn answered(&mut self, result: &AttemptResult, now_us: u64) {
        let latency_us = result.latency_us as f32;
        let state = &mut self.upstreams[result.upstream];
        state.health.succeeded(now_us);
        state.answered(latency_us, now_us);
        let share = if self.latency_us == 0.0 { 1.0 } else { LATENCY_SHARE };
        self.latency_us += (latency_us - self.latency_us) * share;
        self.retries.earn(self.service.retry.budget_share);
        self.hedges.earn(self.service.hedge.budget_share);
    }

    /// Takes a load report that came with an answer or to an ask.
    pub fn reported(&mut self, upstream: usize, report: LoadReport, now_us: u64) {
        let slot = &mut self.slots[upstream];
        slot.asked_at_us = None;
        slot.seen_at_us = now_us;
        let state = &mut self.upstreams[upstream];
        state.evidence.observe(report.draining, now_us);
        if state.own > 0 && now_us.saturating_sub(slot.started_at_us) > ARRIVED_US {
            self.trust.check(report.in_flight < state.own, now_us);
        }
        if self.service.load.use_reports && self.trust.holds(now_us) {
            let others = f32::from(report.in_flight.saturating_sub(state.own));
            state.others.observe(others, now_us);
            self.mean.observe(others, state.upstream.slots);
        }
    }

    /// Takes the platform's word that an upstream's VM is leaving or live, of unknown age.
    pub fn listed(&mut self, name: &Name, leaving: bool, now_us: u64) {
        let found = self.upstreams.iter_mut().filter(|state| state.upstream.name == *name);
        for state in found.filter(|_| leaving) {
            state.evidence.observe(true, now_us);
        }
    }

    /// An upstream that must be asked whether it is leaving; the shell asks it and calls [`Self::reported`].
    ///
    /// Only while requests come, and only within this entry VM's share of the fleet's probe budget.
    pub fn next_ask(&mut self, now_us: u64) -> Option<usize> {
        let bound_us = self.evidence_bound_us();
        let recent = self.arrived_at_us.is_some_and(|at_us| now_us.saturating_sub(at_us) <= bound_us);
        if !recent {
            return None;
        }
        let under_way = (0..self.slots.len()).filter(|&i| self.asked_lately(i, now_us)).count();
        if under_way >= ASKS_AT_ONCE {
            return None;
        }
        let waits = !self.admission.is_empty();
        let due = |state: &UpstreamState| {
            let age_us = now_us.saturating_sub(state.evidence.staying_at_us());
            age_us > bound_us || (!waits && age_us > bound_us / 2)
        };
        let offset = self.rng.random_range(0..self.slots.len().max(1));
        let order = (offset..self.slots.len()).chain(0..offset);
        let mut candidates = order.filter(|&i| !self.slots[i].retired && due(&self.upstreams[i]));
        let index = candidates.find(|&i| !self.asked_lately(i, now_us))?;
        if !self.slots[index].probes.take(1.0, now_us) {
            return None;
        }
        self.slots[index].asked_at_us = Some(now_us);
        Some(index)
    }

    fn asked_lately(&self, index: usize, now_us: u64) -> bool {
        self.slots[index].asked_at_us.is_some_and(|at_us| now_us.saturating_sub(at_us) < ASK_AGAIN_US)
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

    fn start(&mut self, upstream: usize, now_us: u64) {
        self.own += 1;
        self.upstreams[upstream].own += 1;
        self.slots[upstream].started_at_us = now_us;
    }

    fn pick(&mut self, now_us: u64, exclude: Option<usize>) -> Result<usize, NoPick> {
        let bound_us = self.evidence_bound_us();
        let context = score_context(&self.service, &self.mean, self.latency_us, now_us);
        let bounded = self.service.policy == Policy::Shared && self.own > 0;
        let queue_share = self.service.admission.queue_share as f32;
        let slots = &self.slots;
        let in_place = |i: usize| !slots[i].retired && Some(i) != exclude;
        let fresh = |i: usize, s: &UpstreamState| in_place(i) && s.evidence.fresh(now_us, bound_us);
        let healthy = |i: usize, s: &UpstreamState| fresh(i, s) && !s.health.ejected(now_us);
        let roomy =
            |i: usize, s: &UpstreamState| healthy(i, s) && (!bounded || s.has_room(&context, queue_share));
        if let Some(index) = self.chooser.choose(&self.upstreams, &context, roomy) {
            return Ok(index);
        }
        let exists = |usable: fn(&UpstreamState, u64, u64) -> bool| {
            let mut states = self.upstreams.iter().enumerate().filter(|(i, _)| in_place(*i));
            states.any(|(_, state)| usable(state, now_us, bound_us))
        };
        if exists(|state, now_us, bound_us| {
            state.evidence.fresh(now_us, bound_us) && !state.health.ejected(now_us)
        }) {
            return Err(NoPick::Full);
        }
        // All that are known to stay are ejected: an ill upstream is better than none.
        if let Some(index) = self.chooser.choose(&self.upstreams, &context, fresh) {
            return Ok(index);
        }
        if !exists(|state, _, _| !state.evidence.leaving()) {
            return Err(NoPick::Nothing);
        }
        self.stand_in(now_us, exclude)
    }

    /// Nobody is known to stay. While an ask is under way or can be afforded, wait for it. Else one request at
    /// a time takes the place of an ask, at the upstream last known to stay.
    fn stand_in(&mut self, now_us: u64, exclude: Option<usize>) -> Result<usize, NoPick> {
        let candidates = || {
            let staying = |&i: &usize| !self.slots[i].retired && !self.upstreams[i].evidence.leaving();
            (0..self.slots.len()).filter(staying).filter(|&i| Some(i) != exclude)
        };
        if candidates().any(|i| self.asked_lately(i, now_us)) {
            return Err(NoPick::Stale);
        }
        let affordable = candidates().collect::<Vec<_>>();
        if affordable.iter().any(|&i| self.slots[i].probes.level(now_us) >= 1.0) {
            return Err(NoPick::Stale);
        }
        let idle = affordable.into_iter().filter(|&i| self.upstreams[i].own == 0);
        idle.max_by_key(|&i| self.upstreams[i].evidence.staying_at_us()).ok_or(NoPick::Stale)
    }

    fn evidence_bound_us(&self) -> u64 {
        self.service.load.evidence_ms * US_PER_MS
    }

    fn context(&self, now_us: u64) -> ScoreContext<'_> {
        score_context(&self.service, &self.mean, self.latency_us, now_us)
    }

    fn ejected_count(&self, now_us: u64) -> usize {
        let in_place = self.upstreams.iter().zip(&self.slots).filter(|(_, slot)| !slot.retired);
        in_place.filter(|(state, _)| state.health.ejected(now_us)).count()
    }

    fn staying_count(&self) -> usize {
        let in_place = self.upstreams.iter().zip(&self.slots).filter(|(_, slot)| !slot.retired);
        in_place.filter(|(state, _)| !state.evidence.leaving()).count()
    }
}

fn score_context<'a>(
    service: &'a Service,
    mean: &'a ServiceMean,
    latency_us: f32,
    now_us: u64,
) -> ScoreContext<'a> {
    ScoreContext {
        now_us,
        half_life_us: latency_us * service.load.half_life_share as f32,
        mean,
        latency_us,
        ejection: &service.ejection,
    }
}

fn same_process(a: &pointvane_config::Upstream, b: &pointvane_config::Upstream) -> bool {
    a.name == b.name && a.address == b.address
}
