//! One attempt of a request: finds an upstream, sends the request and records the outcome.

use {
    crate::{
        admission::{is_refused_by_admission, record_admitted},
        connections::RelayBody,
        crash_check::has_crashed,
        exchange::{ExchangeResult, exchange},
        in_flight::InFlight,
        node::Node,
        probe::search,
        request::CallerRequest,
        snapshot::UpstreamSnapshot,
    },
    hyper::Response,
    pointvane_core::{PlatformAdapter, US_PER_MS},
    pointvane_dispatch::{
        AttemptEnd, AttemptOutcome, Found, Ineligible, SearchGoal, UpstreamKey, unresponsive_after_ms,
    },
    pointvane_telemetry::EventKind,
    std::rc::Rc,
};

/// Result of an attempt.
#[derive(Debug)]
pub struct AttemptReport {
    /// How the attempt ended.
    pub end: AttemptEnd,
    /// The upstream's response, if there is one.
    pub answer: Option<Response<RelayBody>>,
    /// Time after which the caller should retry, in milliseconds, if another node refused the request.
    pub retry_after_ms: Option<u32>,
}

impl From<AttemptEnd> for AttemptReport {
    fn from(end: AttemptEnd) -> Self {
        Self { end, answer: None, retry_after_ms: None }
    }
}

/// Role of an attempt among those of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptRole {
    /// The first attempt, or a retry after another ended.
    Primary,
    /// An attempt that runs in parallel with another.
    Hedge,
}

/// Durations of the phases of an attempt, in milliseconds.
struct AttemptTimes {
    search_ms: u64,
    latency_ms: u64,
}

/// How an attempt ended, for its log line.
struct AttemptEnding {
    outcome: AttemptOutcome,
    retry_after: Option<String>,
}

/// Runs one attempt to its end.
pub async fn attempt<A: PlatformAdapter + 'static>(
    node: Rc<Node<A>>,
    request: Rc<CallerRequest>,
    goal: SearchGoal,
    role: AttemptRole,
) -> AttemptReport {
    let began_us = node.now_us();
    let key = match find_admitting_upstream(&node, &request, goal).await {
        Ok(key) => key,
        Err(end) => return end.into(),
    };
    request.tried.borrow_mut().push(key);
    let Some(snapshot) = UpstreamSnapshot::of(&node, key) else {
        return AttemptEnd::Attempted(AttemptOutcome::Withheld(Ineligible::Gone)).into();
    };
    node.report.sent(node.dispatcher.pool().is_near(key));
    let sent_at_us = node.now_us();
    let in_flight = InFlight::start(&node, &request, key, unresponsive_after(&node, &request, &snapshot));
    let ExchangeResult { answer, retry_after } = exchange(&node, &request, key).await;
    in_flight.ended();
    let ended_at_us = node.now_us();
    let latency_us = ended_at_us.saturating_sub(sent_at_us);
    let outcome = outcome(&node, key, &answer, &snapshot).await;
    request.record_unsent(outcome, latency_us);
    record_outcome(&node, &request, key, &snapshot, outcome, latency_us as f64 / US_PER_MS as f64);
    // An attempt that was withheld gives no evidence about the trial request at this upstream.
    if outcome.send_started() {
        node.record_upstream_return(key, outcome);
    }
    node.record_attempt_outcome(&request, outcome, sent_at_us, ended_at_us);
    let search_ms = sent_at_us.saturating_sub(began_us) / US_PER_MS;
    let times = AttemptTimes { search_ms, latency_ms: latency_us / US_PER_MS };
    report(&node, &request, role, &snapshot, AttemptEnding { outcome, retry_after }, &times);
    // The error of an exchange is its outcome, which is recorded above.
    AttemptReport { answer: answer.ok(), ..AttemptEnd::Attempted(outcome).into() }
}

/// Classifies the result of an exchange, given the upstream's load when the request was sent.
async fn outcome<A: PlatformAdapter>(
    node: &Node<A>,
    key: UpstreamKey,
    answer: &Result<Response<RelayBody>, AttemptOutcome>,
    snapshot: &UpstreamSnapshot,
) -> AttemptOutcome {
    match answer {
        Ok(response) => AttemptOutcome::Answered { failed: response.status().is_server_error() },
        Err(AttemptOutcome::Broken) => {
            let references = node.dispatcher.pool_mut().path_references(key);
            let crashed = has_crashed(snapshot.address, references).await;
            if crashed { AttemptOutcome::Crashed } else { AttemptOutcome::Broken }
        }
        Err(outcome) => outcome.given_load(&snapshot.load_when_sent),
    }
}

/// Finds an upstream that admits the request.
///
/// # Errors
/// Why the request is not sent.
async fn find_admitting_upstream<A: PlatformAdapter + 'static>(
    node: &Rc<Node<A>>,
    request: &CallerRequest,
    goal: SearchGoal,
) -> Result<UpstreamKey, AttemptEnd> {
    if cannot_finish(node, request, node.now_us()) {
        return Err(AttemptEnd::DeadlineTooNear);
    }
    if node.is_quarantined(request) {
        return Err(AttemptEnd::Quarantined);
    }
    let found = search(node, request, goal).await;
    request.record_search_end(goal, node.now_us());
    match found {
        Found::Uncontended(key) => {
            record_admitted(node, request);
            Ok(key)
        }
        Found::Contended(_) if goal == SearchGoal::UncontendedOnly => Err(AttemptEnd::NotAdmitted),
        Found::Contended(key) if is_refused_by_admission(node, request, key) => Err(AttemptEnd::NotAdmitted),
        Found::Contended(key) => Ok(key),
        Found::NoUpstream(reason) => Err(AttemptEnd::NoUpstream(reason)),
    }
}

/// Whether the deadline is closer than the shortest service time of the route; sending the request would only
/// waste the upstream's capacity.
fn cannot_finish<A: PlatformAdapter>(node: &Node<A>, request: &CallerRequest, now_us: u64) -> bool {
    let left_ms = request.answer_deadline_us.saturating_sub(now_us) as f64 / US_PER_MS as f64;
    node.dispatcher.route_latencies(&request.routed.route).cannot_finish_within(left_ms)
}

fn unresponsive_after<A: PlatformAdapter>(
    node: &Node<A>,
    request: &CallerRequest,
    snapshot: &UpstreamSnapshot,
) -> f64 {
    let baseline_ms = node.dispatcher.route_latencies(&request.routed.route).baseline_ms();
    unresponsive_after_ms(baseline_ms, snapshot.cost)
}

/// Records the outcome of an attempt and its latency in the upstream's state.
fn record_outcome<A: PlatformAdapter>(
    node: &Node<A>,
    request: &CallerRequest,
    key: UpstreamKey,
    snapshot: &UpstreamSnapshot,
    outcome: AttemptOutcome,
    latency_ms: f64,
) {
    let now_us = node.now_us();
    let slowdown = (outcome == AttemptOutcome::Answered { failed: false }).then(|| {
        let mut times = node.dispatcher.route_latencies(&request.routed.route);
        let load = &snapshot.load_when_sent;
        if load.occupancy > 1.0 {
            let expected_latency_ms = f64::from(load.expected_latency) * times.baseline_ms();
            times.record_queued(latency_ms, expected_latency_ms);
        }
        times.record_attempt(latency_ms, f64::from(load.expected_latency))
    });
    let mut pool = node.dispatcher.pool_mut();
    let Some(state) = pool.get_mut(key) else { return };
    state.record_attempt(outcome, now_us);
    if let Some(slowdown) = slowdown {
        pool.record_latency(key, slowdown, &snapshot.load_when_sent, now_us);
    }
}

fn report<A: PlatformAdapter>(
    node: &Node<A>,
    request: &CallerRequest,
    role: AttemptRole,
    snapshot: &UpstreamSnapshot,
    ending: AttemptEnding,
    times: &AttemptTimes,
) {
    let AttemptEnding { outcome, retry_after } = ending;
    node.report.attempted(&snapshot.upstream, outcome.as_str(), times.latency_ms);
    let load = snapshot.load();
    let succeeded = outcome == (AttemptOutcome::Answered { failed: false });
    let line = || EventKind::AttemptEnded {
        request: request.id.clone(),
        fingerprint: (!succeeded).then(|| request.fingerprints().exact.to_string()),
        caller: (!succeeded).then_some(request.caller),
        service: request.routed.service.clone(),
        upstream: snapshot.upstream.clone(),
        outcome: outcome.as_str().into(),
        retry_after: retry_after.filter(|_| !succeeded),
        hedge: role == AttemptRole::Hedge,
        cost_percent: snapshot.cost_percent(),
        running: load.running,
        waiting: load.waiting,
        pace_percent: load.slowdown_percent,
        load_age_ms: snapshot.load_age_ms(),
        choose_ms: times.search_ms,
        took_ms: times.latency_ms,
    };
    if succeeded {
        node.report.success(line);
    } else {
        node.report.failure(node.now_us(), line);
    }
}
