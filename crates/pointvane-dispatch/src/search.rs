//! The search for an upstream, as a state machine: which upstreams are probed, for how long, and which one is
//! chosen.
//!
//! A search makes passes until it finds an uncontended upstream or its time is over. A pass plans its probes
//! (see `search_plan.rs`). If none of the candidates has a valid report that shows it uncontended, the pass
//! probes them in up to three rounds and takes the first one whose response shows it to be uncontended. The
//! state machine returns the next step; its caller sends probes, waits, and reports the responses. Probes are
//! sent immediately before the request, since a report is outdated after some milliseconds. Where upstreams
//! report no load, a few are probed and the first to respond is taken, since an upstream slowed by co-located
//! workloads responds late. Where probing is disabled, the best-ranked candidate is taken at once. Tests:
//! `tests/search.rs`.

use {
    crate::{
        allowed_regions::AllowedRegions, ineligible::Ineligible, locality::DistanceCriteria, pool::Pool,
        probe_purpose::ProbePurpose, probe_rounds::RoundSizes, ranking::CandidateCriteria,
        search_plan::SearchPlan, upstream_key::UpstreamKey,
    },
    pointvane_core::{Name, RouteRule},
};

/// Share of the target latency that may be spent on the search for an uncontended upstream.
///
/// A caller whose request finds none in that time is better refused early.
const SEARCH_SHARE: f64 = 0.05;
/// Minimum duration of a search, in milliseconds.
const SEARCH_MIN_MS: f64 = 5.0;
/// Candidates probed per pass where upstreams report no load. Few, since probes load the upstreams too.
const ROUND_WITHOUT_LOAD_REPORTS: usize = 3;
/// Pause between two passes, in microseconds.
const PASS_PAUSE_US: u64 = 6_000;
/// Maximum wait for the responses to one round of probes, in microseconds.
const ROUND_TIMEOUT_MAX_US: u64 = 30_000;
/// Minimum wait for the responses to one round of probes, in microseconds, even if the time of the search is
/// over.
const ROUND_TIMEOUT_MIN_US: u64 = 6_000;
/// Time of a search from which it is expected to make a second pass, in microseconds: two short rounds.
const FIRST_PASS_MIN_US: u64 = 2 * ROUND_TIMEOUT_MIN_US;
/// Time after which a probe without a response has failed, in microseconds.
///
/// Longer than the wait for a round: a response that is late for one search is still of use to the next.
pub const PROBE_TIMEOUT_US: u64 = 150_000;

/// Time for which a request's search looks for an uncontended upstream, in milliseconds.
pub fn search_time_ms(route: &RouteRule) -> f64 {
    (route.target_latency_ms as f64 * SEARCH_SHARE).max(SEARCH_MIN_MS)
}

/// Time by which a search for an admitted request took longer than its probes may take, in microseconds: this
/// process itself was late.
pub fn search_overrun_us(goal: SearchGoal, ended_us: u64) -> u64 {
    match goal {
        // After the end of the search, short rounds of the last pass may follow.
        SearchGoal::Best { until_us } => ended_us.saturating_sub(until_us + ROUND_TIMEOUT_MAX_US),
        SearchGoal::UncontendedOnly => 0,
    }
}

/// How candidates are probed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SearchOptions {
    /// Whether candidates are probed.
    pub probes: bool,
    /// Maximum number of candidates probed in the first round of a pass.
    pub first_round: usize,
    /// Maximum number of candidates probed in later rounds, if none of the first is uncontended.
    pub second_round: usize,
}

/// The goal of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SearchGoal {
    /// The best available upstream, after searching for an uncontended one until `until_us`.
    Best {
        /// End of the search, in microseconds of the monotonic clock.
        until_us: u64,
    },
    /// An uncontended upstream, searched for in a single pass.
    UncontendedOnly,
}

/// The result of a search.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Found {
    /// An upstream that, as far as is known, runs the request without queueing and near its usual speed.
    Uncontended(UpstreamKey),
    /// The best upstream, if no uncontended one was found.
    Contended(UpstreamKey),
    /// No upstream of the service may get the request, for this reason.
    NoUpstream(Ineligible),
}

/// The next step of a search, for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SearchStep {
    /// Probe these upstreams concurrently. Report responses by [`Search::record_probe_response`] until one is
    /// chosen, all have responded or the timeout has passed, then call [`Search::next`].
    Probe {
        /// The upstreams to probe.
        upstreams: Vec<UpstreamKey>,
        /// Maximum wait for the responses, in microseconds.
        timeout_us: u64,
    },
    /// Wait, then call [`Search::next`].
    Pause {
        /// Length of the pause, in microseconds.
        pause_us: u64,
    },
    /// The search is over.
    Done(Found),
}

/// The parameters of a search.
#[derive(Clone, Debug)]
pub struct SearchRequest {
    /// The service of which an upstream is searched for.
    pub service: Name,
    /// Upstreams that the request was sent to before.
    pub tried: Vec<UpstreamKey>,
    /// Size of the request's body in bytes, as far as it is known.
    pub body_bytes: usize,
    /// The goal of the search.
    pub goal: SearchGoal,
    /// The regions whose upstreams may serve the request.
    pub regions: AllowedRegions,
    /// Priority of the request; 0 is the most urgent.
    pub priority: u32,
}

/// One search for an upstream.
#[derive(Clone, Debug)]
pub struct Search {
    options: SearchOptions,
    request: SearchRequest,
    baseline_ms: Option<f64>,
    in_pass: bool,
    passes: usize,
    /// Candidates of this pass that are still to be probed.
    unprobed: Vec<UpstreamKey>,
    /// Sizes of the rounds of this pass that are still to be probed.
    round_sizes: RoundSizes,
    rounds_probed: usize,
    /// Candidates of this pass that responded, or that a fresh report shows to be contended.
    answered: Vec<UpstreamKey>,
    /// Candidates of this pass that advertise a limit.
    limited: Vec<UpstreamKey>,
    /// Whether no upstream of the own data centre may get the request, so that distance does not count.
    is_far_only: bool,
}

impl Search {
    /// A search in its initial state. The first call of [`Self::next`] begins it.
    pub fn new(options: SearchOptions, request: SearchRequest) -> Self {
        Self {
            options,
            request,
            baseline_ms: None,
            in_pass: false,
            passes: 0,
            unprobed: Vec::new(),
            round_sizes: RoundSizes::default(),
            rounds_probed: 0,
            answered: Vec::new(),
            limited: Vec::new(),
            is_far_only: false,
        }
    }

    /// Sets the latency of the request's route at an uncontended upstream, in milliseconds. Distances count
    /// relative to it; without it they do not count.
    pub fn with_baseline_ms(self, baseline_ms: f64) -> Self {
        Self { baseline_ms: Some(baseline_ms), ..self }
    }

    /// The next step. Called at the beginning, after a pause, and after a round of probes. `now_us` is the
    /// time of the monotonic clock in microseconds.
    pub fn next(&mut self, pool: &mut Pool, now_us: u64) -> SearchStep {
        if !self.in_pass {
            self.in_pass = true;
            self.passes += 1;
            if let Some(found) = self.begin_pass(pool, now_us) {
                return SearchStep::Done(found);
            }
        }
        if let Some(upstreams) = self.next_round() {
            let timeout_us = self.round_timeout_us(upstreams.len(), now_us);
            return SearchStep::Probe { upstreams, timeout_us };
        }
        match self.end_pass(pool, now_us) {
            Found::Contended(_) if self.may_continue(now_us) => SearchStep::Pause { pause_us: PASS_PAUSE_US },
            found => SearchStep::Done(found),
        }
    }

    /// Why the probes of the current round are sent.
    pub fn probe_purpose(&self) -> ProbePurpose {
        match (self.passes, self.rounds_probed) {
            (..=1, ..=1) => ProbePurpose::FirstRound,
            (..=1, _) => ProbePurpose::LaterRound,
            _ => ProbePurpose::RepeatedPass,
        }
    }

    /// Records a healthy response to a probe; true if its upstream is chosen.
    pub fn record_probe_response(&mut self, key: UpstreamKey, pool: &Pool, now_us: u64) -> bool {
        self.answered.push(key);
        // Without load reports the first response decides: an upstream slow to respond is slow to do work,
        // too.
        let is_within_reach = || self.is_far_only || pool.is_within_reach(key, self.distance_criteria());
        let is_uncontended = || pool.is_uncontended(key, now_us) && is_within_reach();
        let is_chosen = !pool.reports_load(&self.request.service) || is_uncontended();
        is_chosen && pool.eligibility(key, now_us).is_ok()
    }

    /// Plans the rounds of probes; returns a result if no probe is needed.
    fn begin_pass(&mut self, pool: &mut Pool, now_us: u64) -> Option<Found> {
        if let Some(key) = self.limit_refresh_target(pool, now_us) {
            return Some(Found::Uncontended(key));
        }
        if !self.options.probes {
            let best = self.candidates(pool, now_us).first().map(|key| Found::Uncontended(*key));
            return best.or_else(|| Some(self.not_found(pool, now_us)));
        }
        let reports_load = pool.reports_load(&self.request.service);
        let mut plan =
            if reports_load { self.plan(pool, now_us) } else { self.plan_without_load_reports(pool, now_us) };
        // Upstreams that advertise a limit are not probed, since a probe is work for them as well.
        self.limited = plan.candidates.extract_if(.., |key| pool.is_limited(*key)).collect();
        self.answered.extend(plan.best_contended);
        if plan.candidates.is_empty() && self.answered.is_empty() {
            let best = self.limited.first().map(|key| Found::Contended(*key));
            return best.or_else(|| Some(self.not_found(pool, now_us)));
        }
        let is_known =
            |key: &&UpstreamKey| reports_load && self.is_known_uncontended(**key, &plan, pool, now_us);
        if let Some(key) = plan.candidates.iter().find(is_known) {
            return Some(Found::Uncontended(*key));
        }
        self.is_far_only = plan.is_far_only;
        self.round_sizes = plan.round_sizes;
        self.rounds_probed = 0;
        self.unprobed = plan.candidates;
        None
    }

    fn plan(&self, pool: &mut Pool, now_us: u64) -> SearchPlan {
        let criteria = self.criteria();
        let distance = self.distance_criteria();
        // Near upstreams that are contended only for a moment get a second pass, if there is time for one.
        let is_near_preferred = self.passes == 1
            && matches!(self.request.goal, SearchGoal::Best { until_us } if until_us >= now_us + FIRST_PASS_MIN_US);
        pool.plan_search(&self.request.service, &criteria, self.options, distance, is_near_preferred, now_us)
    }

    fn plan_without_load_reports(&self, pool: &mut Pool, now_us: u64) -> SearchPlan {
        let candidates = self.candidates(pool, now_us);
        SearchPlan { candidates, round_sizes: [ROUND_WITHOUT_LOAD_REPORTS, 0, 0], ..SearchPlan::default() }
    }

    /// Whether an upstream needs no probe. Other data centres are not used by earlier reports while the own
    /// one has room.
    fn is_known_uncontended(&self, key: UpstreamKey, plan: &SearchPlan, pool: &Pool, now_us: u64) -> bool {
        pool.is_uncontended(key, now_us)
            && (pool.is_near(key)
                || plan.is_far_only
                || plan.is_near_contended && pool.is_within_reach(key, self.distance_criteria()))
    }

    /// The upstreams of the next round; none after the last.
    fn next_round(&mut self) -> Option<Vec<UpstreamKey>> {
        let skipped = self.round_sizes.iter().skip(self.rounds_probed).position(|size| *size > 0)?;
        self.rounds_probed += skipped + 1;
        let size = self.round_sizes[self.rounds_probed - 1].min(self.unprobed.len());
        (size > 0).then(|| self.unprobed.drain(..size).collect())
    }

    /// The cheapest of the candidates that responded in this pass or advertise a limit; if there are none,
    /// the best-ranked candidate.
    fn end_pass(&mut self, pool: &mut Pool, now_us: u64) -> Found {
        self.in_pass = false;
        let distance = self.distance_criteria();
        let cost = |key: &UpstreamKey| pool.cost_at_distance(*key, distance, now_us);
        let contenders = self.answered.drain(..).chain(self.limited.drain(..));
        let usable = contenders.filter(|key| pool.is_usable(*key, now_us));
        let best = usable.min_by(|a, b| cost(a).total_cmp(&cost(b)));
        best.or_else(|| self.candidates(pool, now_us).first().copied())
            .map_or_else(|| self.not_found(pool, now_us), Found::Contended)
    }

    fn not_found(&self, pool: &Pool, now_us: u64) -> Found {
        Found::NoUpstream(pool.no_upstream_reason(&self.request.service, &self.criteria(), now_us))
    }

    fn candidates(&self, pool: &mut Pool, now_us: u64) -> Vec<UpstreamKey> {
        pool.candidates(&self.request.service, &self.criteria(), now_us)
    }

    fn criteria(&self) -> CandidateCriteria<'_> {
        let SearchRequest { tried, body_bytes, regions, priority, .. } = &self.request;
        let count = self.options.first_round + self.options.second_round;
        CandidateCriteria { tried, body_bytes: *body_bytes, count, regions, priority: *priority }
    }

    fn distance_criteria(&self) -> DistanceCriteria {
        DistanceCriteria { baseline_ms: self.baseline_ms, body_bytes: self.request.body_bytes }
    }

    /// An upstream that gets the request to find out whether its limit still applies. None for hedges, which
    /// need a fast upstream.
    fn limit_refresh_target(&self, pool: &Pool, now_us: u64) -> Option<UpstreamKey> {
        match self.request.goal {
            SearchGoal::Best { .. } => pool.limit_to_refresh(&self.request.service, &self.criteria(), now_us),
            SearchGoal::UncontendedOnly => None,
        }
    }

    fn may_continue(&self, now_us: u64) -> bool {
        matches!(self.request.goal, SearchGoal::Best { until_us } if now_us < until_us)
    }

    fn round_timeout_us(&self, round_size: usize, now_us: u64) -> u64 {
        if round_size == 1 && !self.unprobed.is_empty() {
            return ROUND_TIMEOUT_MIN_US;
        }
        match self.request.goal {
            SearchGoal::UncontendedOnly => ROUND_TIMEOUT_MAX_US,
            SearchGoal::Best { until_us } => {
                until_us.saturating_sub(now_us).clamp(ROUND_TIMEOUT_MIN_US, ROUND_TIMEOUT_MAX_US)
            }
        }
    }
}
