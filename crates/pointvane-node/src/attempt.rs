//! One attempt of a request: search an upstream, send, and record how it went.

use {
    crate::{
        connections::RelayBody,
        crash_check::has_crashed,
        exchange::{Exchanged, exchange},
        in_flight::InFlight,
        node::Node,
        probe::search,
        request::CallerRequest,
        snapshot::UpstreamSnapshot,
    },
    hyper::Response,
    pointvane_core::{PlatformAdapter, US_PER_MS},
    pointvane_dispatch::{
        AttemptEnd, AttemptOutcome, FinishEstimate, Found, Ineligible, SearchGoal, UpstreamKey,
        unresponsive_after_ms,
    },
    pointvane_telemetry::EventKind,
    std::rc::Rc,
};

/// What one attempt gave.
#[derive(Debug)]
pub struct AttemptReport {
    /// How it ended.
    pub end: AttemptEnd,
    /// The upstream's answer, if there is one.
    pub answer: Option<Response<RelayBody>>,
}

impl From<AttemptEnd> for AttemptReport {
    fn from(end: AttemptEnd) -> Self {
        Self { end, answer: None }
    }
}

/// Which attempt of its request it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptPlace {
    /// The first, or one in place of another that ended.
    Alone,
    /// One beside another that is under way.
    Hedge,
}

/// Times of an attempt, in milliseconds.
struct AttemptTimes {
    search_ms: u64,
    latency_ms: u64,
}

/// How an attempt ended, for its line.
struct AttemptEnding {
    outcome: AttemptOutcome,
    retry_after: Option<String>,
}

/// Makes one attempt.
pub async fn attempt<A: PlatformAdapter + 'static>(
    node: Rc<Node<A>>,
    request: Rc<CallerRequest>,
    goal: SearchGoal,
    place: AttemptPlace,
) -> AttemptReport {
    let began_us = node.now_us();
    let key = match admitted_upstream(&node, &request, goal).await {
        Ok(key) => key,
        Err(end) => return end.into(),
    };
    request.tried.borrow_mut().push(key);
    let Some(snapshot) = UpstreamSnapshot::of(&node, key) else {
        return AttemptEnd::Tried(AttemptOutcome::Withheld(Ineligible::Gone)).into();
    };
    let sent_at_us = node.now_us();
    let in_flight = InFlight::start(&node, &request, key, unresponsive_after(&node, &request, &snapshot));
    let Exchanged { answer, retry_after } = exchange(&node, &request, key).await;
    in_flight.ended();
    let ended_at_us = node.now_us();
    let latency_us = ended_at_us.saturating_sub(sent_at_us);
    let outcome = outcome(&answer, &snapshot).await;
    if outcome.is_unsent() {
        request.unreached_us.set(request.unreached_us.get() + latency_us);
    }
    record_outcome(&node, &request, key, &snapshot, outcome, latency_us as f64 / US_PER_MS as f64);
    // One that was withheld says nothing of the request that is on trial there.
    if outcome.was_begun() {
        node.note_return(key, outcome);
    }
    node.record_evidence(&request, outcome, sent_at_us, ended_at_us);
    let search_ms = sent_at_us.saturating_sub(began_us) / US_PER_MS;
    let times = AttemptTimes { search_ms, latency_ms: latency_us / US_PER_MS };
    report(&node, &request, place, &snapshot, AttemptEnding { outcome, retry_after }, &times);
    // Without an answer the outcome, recorded above, is all there is.
    AttemptReport { end: AttemptEnd::Tried(outcome), answer: answer.ok() }
}

/// What an exchange shows, in the light of what was known of the upstream when the request was sent.
async fn outcome(
    answer: &Result<Response<RelayBody>, AttemptOutcome>,
    snapshot: &UpstreamSnapshot,
) -> AttemptOutcome {
    match answer {
        Ok(response) => AttemptOutcome::Answered { failed: response.status().is_server_error() },
        Err(AttemptOutcome::Broken) if has_crashed(snapshot.address).await => AttemptOutcome::Crashed,
        Err(outcome) => outcome.in_light_of(&snapshot.load_when_sent),
    }
}

/// The upstream that the request is sent to, or why it is not sent.
async fn admitted_upstream<A: PlatformAdapter + 'static>(
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
    match search(node, request, goal).await {
        Found::Uncontended(key) => Ok(key),
        Found::Contended(_) if goal == SearchGoal::UncontendedOnly => Err(AttemptEnd::NotAdmitted),
        Found::Contended(key) if is_refused(node, request, key) => Err(AttemptEnd::NotAdmitted),
        Found::Contended(key) => Ok(key),
        Found::Nothing(reason) => Err(AttemptEnd::NoUpstream(reason)),
    }
}

/// Whether its deadline is nearer than the least time of service: sending it would only take the upstream's time.
fn cannot_finish<A: PlatformAdapter>(node: &Node<A>, request: &CallerRequest, now_us: u64) -> bool {
    let left_ms = request.answer_by_us.saturating_sub(now_us) as f64 / US_PER_MS as f64;
    node.dispatcher.route_times(&request.routed.route).cannot_finish(left_ms)
}

fn unresponsive_after<A: PlatformAdapter>(
    node: &Node<A>,
    request: &CallerRequest,
    snapshot: &UpstreamSnapshot,
) -> f64 {
    let baseline_ms = node.dispatcher.route_times(&request.routed.route).baseline_ms();
    unresponsive_after_ms(baseline_ms, snapshot.cost)
}

/// Records what the end says of the upstream.
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
        let mut times = node.dispatcher.route_times(&request.routed.route);
        times.record_attempt(latency_ms, f64::from(snapshot.load_when_sent.expected_latency))
    });
    let mut pool = node.dispatcher.pool_mut();
    let Some(state) = pool.get_mut(key) else { return };
    state.attempt_ended(outcome, now_us);
    if let Some(slowdown) = slowdown {
        pool.record_latency(key, slowdown, &snapshot.load_when_sent, now_us);
    }
}

fn report<A: PlatformAdapter>(
    node: &Node<A>,
    request: &CallerRequest,
    place: AttemptPlace,
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
        hedge: place == AttemptPlace::Hedge,
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

/// Whether a request that was not sent yet is refused, since its best upstream has no room or it would be too late there.
fn is_refused<A: PlatformAdapter>(node: &Node<A>, request: &CallerRequest, key: UpstreamKey) -> bool {
    let snapshot = UpstreamSnapshot::of(node, key).filter(|_| request.sends.get() == 0);
    let Some(snapshot) = snapshot else {
        return false;
    };
    let route = &request.routed.route;
    let estimate = FinishEstimate {
        elapsed_ms: request.elapsed_at_reached_ms(snapshot.taken_at_us),
        expected_ms: f64::from(snapshot.load_when_sent.expected_latency)
            * node.dispatcher.route_times(route).baseline_ms(),
        occupancy: f64::from(snapshot.load_when_sent.occupancy),
        full_factor: node.dispatcher.pool().full_factor(&request.routed.service).into(),
    };
    let has_room = node.dispatcher.pool_mut().has_room(key, snapshot.taken_at_us);
    let refused = !node.dispatcher.admission.admits(route, &estimate, has_room);
    if refused {
        let load = snapshot.load();
        node.report.failure(snapshot.taken_at_us, || EventKind::RequestWouldBeLate {
            request: request.id.clone(),
            upstream: snapshot.upstream.clone(),
            cost_percent: snapshot.cost_percent(),
            running: load.running,
            waiting: load.waiting,
            pace_percent: load.slowdown_percent,
            load_age_ms: snapshot.load_age_ms(),
            expected_ms: estimate.expected_ms as u64,
            spent_ms: estimate.elapsed_ms as u64,
        });
    }
    refused
}
