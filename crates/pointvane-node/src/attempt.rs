//! One attempt of a request: choose an upstream, send, note how it went.

use {
    crate::{
        belief::Belief,
        body::RelayBody,
        exchange::exchange,
        in_flight::InFlight,
        node::Node,
        probe::{Choice, Chosen, choose},
        request::CallerRequest,
    },
    hyper::Response,
    pointvane_core::{PlatformAdapter, US_PER_MS},
    pointvane_dispatch::{AttemptOutcome, Outlook, Refusal, UpstreamKey},
    pointvane_telemetry::EventKind,
    std::rc::Rc,
};

/// Times the expected time after which an unanswered request that is given up speaks against its upstream.
const SILENT_AFTER: f64 = 3.0;
/// Most that the cost of an upstream lengthens that time.
const SILENT_COST_MAX: f32 = 2.0;

/// An upstream's answer.
#[derive(Debug)]
pub struct UpstreamAnswer {
    /// The answer, ready for the caller.
    pub response: Response<RelayBody>,
}

/// The end of an attempt.
#[derive(Debug)]
pub struct AttemptEnd {
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The answer, if there is one.
    pub answer: Option<UpstreamAnswer>,
    /// The upstream; none if there was none to choose.
    pub upstream: Option<UpstreamKey>,
    /// Whether the request is to come back later, since it would be late anyway.
    pub refused: bool,
}

impl AttemptEnd {
    /// An end without an answer.
    pub fn new(outcome: AttemptOutcome, upstream: Option<UpstreamKey>) -> Self {
        Self { outcome, answer: None, upstream, refused: false }
    }
}

/// Times of an attempt.
struct AttemptTimes {
    choose_ms: u64,
    took_ms: u64,
}

/// Makes one attempt.
pub async fn attempt<A: PlatformAdapter + 'static>(
    node: Rc<Node<A>>,
    request: Rc<CallerRequest>,
    choice: Choice,
) -> AttemptEnd {
    let began_us = node.now_us();
    let key = match choose(&node, &request, choice).await {
        Chosen::Good(key) => key,
        Chosen::Best(key) if choice == Choice::GoodOnly || is_late(&node, &request, key) => {
            return AttemptEnd { refused: true, ..AttemptEnd::new(AttemptOutcome::Unsent, None) };
        }
        Chosen::Best(key) => key,
        Chosen::Nothing => return AttemptEnd::new(AttemptOutcome::Unsent, None),
    };
    request.tried.borrow_mut().push(key);
    let Some(belief) = Belief::of(&node, key) else {
        return AttemptEnd::new(AttemptOutcome::Unsent, Some(key));
    };
    let sent_at_us = node.now_us();
    let usual_ms = node.route_times(&request.routed.route, |times| times.usual.get_ms());
    let silent_after_ms = usual_ms * f64::from(belief.cost.clamp(1.0, SILENT_COST_MAX)) * SILENT_AFTER;
    let in_flight = InFlight::new(&node, &request, key, silent_after_ms);
    let end = exchange(&node, &request, key).await;
    in_flight.ended();
    note(&node, &end, key);
    let took_ms = node.now_us().saturating_sub(sent_at_us) / US_PER_MS;
    if end.outcome == (AttemptOutcome::Answered { failed: false }) {
        note_time(&node, &request, key, took_ms as f64, f64::from(belief.cost));
    }
    let times = AttemptTimes { choose_ms: sent_at_us.saturating_sub(began_us) / US_PER_MS, took_ms };
    report(&node, &request, choice, &belief, end.outcome, times);
    end
}

fn report<A: PlatformAdapter>(
    node: &Node<A>,
    request: &CallerRequest,
    choice: Choice,
    belief: &Belief,
    outcome: AttemptOutcome,
    times: AttemptTimes,
) {
    node.report.attempted(&belief.upstream, outcome.as_str(), times.took_ms);
    let load = belief.load();
    let line = || EventKind::AttemptEnded {
        request: request.id(node),
        service: request.routed.service.clone(),
        upstream: belief.upstream.clone(),
        outcome: outcome.as_str().into(),
        hedge: choice == Choice::GoodOnly,
        cost_percent: belief.cost_percent(),
        running: load.running,
        waiting: load.waiting,
        pace_percent: load.pace_percent,
        load_age_ms: belief.load_age_ms(),
        choose_ms: times.choose_ms,
        took_ms: times.took_ms,
    };
    if outcome == (AttemptOutcome::Answered { failed: false }) {
        node.report.well(line);
    } else {
        node.report.wrong(node.now_us(), line);
    }
}

/// Notes how long an upstream took.
fn note_time<A: PlatformAdapter>(
    node: &Node<A>,
    request: &CallerRequest,
    key: UpstreamKey,
    took_ms: f64,
    cost: f64,
) {
    let usual_ms = node.route_times(&request.routed.route, |times| {
        times.usual.note(took_ms / cost);
        times.usual.get_ms()
    });
    if let Some(state) = node.pool.borrow_mut().get_mut(key) {
        state.took((took_ms / usual_ms) as f32, node.now_us());
    }
}

/// Whether a request that was not sent yet would be late at this upstream and may come back instead.
fn is_late<A: PlatformAdapter>(node: &Node<A>, request: &CallerRequest, key: UpstreamKey) -> bool {
    let Some(belief) = Belief::of(node, key).filter(|_| request.arrivals.get() == 0) else {
        return false;
    };
    let ms = |us: u64| us as f64 / US_PER_MS as f64;
    let route = &request.routed.route;
    let outlook = node.route_times(route, |times| Outlook {
        spent_ms: ms(belief.at_us.saturating_sub(request.times.arrived_at_us)),
        expected_ms: f64::from(belief.cost) * times.usual.get_ms(),
    });
    let late = node.admission().refuses(route, &outlook);
    if late {
        let load = belief.load();
        node.report.wrong(belief.at_us, || EventKind::RequestWouldBeLate {
            request: request.id(node),
            upstream: belief.upstream.clone(),
            cost_percent: belief.cost_percent(),
            running: load.running,
            waiting: load.waiting,
            pace_percent: load.pace_percent,
            load_age_ms: belief.load_age_ms(),
            expected_ms: outlook.expected_ms as u64,
            spent_ms: outlook.spent_ms as u64,
        });
    }
    late
}

/// Notes what the end says of the upstream.
fn note<A: PlatformAdapter>(node: &Node<A>, end: &AttemptEnd, key: UpstreamKey) {
    let now_us = node.now_us();
    let mut pool = node.pool.borrow_mut();
    let Some(state) = pool.get_mut(key) else { return };
    match end.outcome {
        AttemptOutcome::Answered { failed: false } => state.succeeded(),
        AttemptOutcome::NotRun(Refusal::Misdirected) => _ = state.eject(now_us),
        AttemptOutcome::NotRun(_) => {}
        AttemptOutcome::Answered { failed: true }
        | AttemptOutcome::Unsent
        | AttemptOutcome::Broken
        | AttemptOutcome::TimedOut => _ = state.failed(now_us),
    }
}
