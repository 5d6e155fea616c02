//! One attempt of a request: choose an upstream, send, read the answer.

use {
    crate::{
        body::{Gathered, RelayBody, gather},
        connections::{Purpose, SendError},
        node::Node,
        probe::{Choice, Chosen, choose},
    },
    bytes::Bytes,
    hyper::{
        HeaderMap, Method, Request, Response, StatusCode, Uri,
        body::Incoming,
        header::{
            CONNECTION, HeaderName, HeaderValue, PROXY_AUTHENTICATE, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
        },
    },
    pointvane_core::{Name, PlatformAdapter, US_PER_MS},
    pointvane_dispatch::{
        AdmissionOptions, AttemptOutcome, LoadSample, Outlook, Refusal, RoutedRequest, UpstreamKey,
    },
    pointvane_telemetry::EventKind,
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
    },
};

/// Bytes of an answer that are gathered before any is passed on, so that one that breaks off early can be asked for
/// again.
const ANSWER_GATHERED_BYTES: usize = 64 << 10;
/// Times the expected time after which an unanswered request that is given up speaks against its upstream.
const SILENT_AFTER: f64 = 3.0;
/// Most that the cost of an upstream lengthens that time.
const SILENT_COST_MAX: f32 = 2.0;
/// Headers that concern one connection only.
static HOP_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    PROXY_AUTHENTICATE,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Times of a caller's request, on the steady clock.
#[derive(Clone, Copy, Debug)]
pub struct CallerTimes {
    /// When it came.
    pub arrived_at_us: u64,
    /// When its caller stops waiting.
    pub deadline_at_us: u64,
    /// When it must be answered.
    pub give_up_at_us: u64,
}

/// A caller's request, with what its attempts share.
#[derive(Debug)]
pub struct CallerRequest {
    /// Where it goes.
    pub routed: RoutedRequest,
    /// Its method.
    pub method: Method,
    /// Its target.
    pub uri: Uri,
    /// Its headers, without those of one connection only.
    pub headers: HeaderMap,
    /// Its body, if it is whole.
    pub body: Option<Bytes>,
    /// The first part and the rest of a body that is not; taken by the first attempt.
    pub stream: RefCell<Option<Gathered>>,
    /// Its times.
    pub times: CallerTimes,
    /// Upstreams that it was sent to, or is about to be.
    pub tried: RefCell<Vec<UpstreamKey>>,
    /// Attempts that may have arrived at an upstream.
    pub arrivals: Cell<u32>,
}

impl CallerRequest {
    /// Size of the body, as far as it has come.
    pub fn body_bytes(&self) -> usize {
        let streamed = || self.stream.borrow().as_ref().map_or(0, |gathered| gathered.bytes.len());
        self.body.as_ref().map_or_else(streamed, Bytes::len)
    }
}

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
    fn new(outcome: AttemptOutcome, upstream: Option<UpstreamKey>) -> Self {
        Self { outcome, answer: None, upstream, refused: false }
    }
}

/// Counts a request at its upstream for as long as it lives; one that is given up long after its time speaks against
/// the upstream.
struct InFlight<A: PlatformAdapter> {
    node: Rc<Node<A>>,
    key: UpstreamKey,
    /// When silence begins to speak against the upstream; never, once it has answered.
    silent_at_us: u64,
}

impl<A: PlatformAdapter> InFlight<A> {
    fn new(node: &Rc<Node<A>>, key: UpstreamKey, silent_at_us: u64) -> Self {
        if let Some(state) = node.pool.borrow_mut().get_mut(key) {
            state.sent();
        }
        Self { node: Rc::clone(node), key, silent_at_us }
    }
}

impl<A: PlatformAdapter> Drop for InFlight<A> {
    fn drop(&mut self) {
        if let Some(state) = self.node.pool.borrow_mut().get_mut(self.key) {
            state.done();
            let now_us = self.node.now_us();
            if now_us >= self.silent_at_us {
                state.failed(now_us);
            }
        }
    }
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
    let mut in_flight = InFlight::new(&node, key, sent_at_us + (silent_after_ms * US_PER_MS as f64) as u64);
    let end = exchange(&node, &request, key).await;
    in_flight.silent_at_us = u64::MAX;
    drop(in_flight);
    note(&node, &end, key);
    let took_ms = node.now_us().saturating_sub(sent_at_us) / US_PER_MS;
    if end.outcome == (AttemptOutcome::Answered { failed: false }) {
        node.route_times(&request.routed.route, |times| {
            times.usual.note(took_ms as f64 / f64::from(belief.cost))
        });
    }
    let times = AttemptTimes { choose_ms: sent_at_us.saturating_sub(began_us) / US_PER_MS, took_ms };
    report(&node, &request, choice, &belief, end.outcome, times);
    end
}

/// What was believed of an upstream when it was chosen.
struct Belief {
    upstream: Name,
    cost: f32,
    sample: Option<LoadSample>,
    at_us: u64,
}

/// Times of an attempt.
struct AttemptTimes {
    choose_ms: u64,
    took_ms: u64,
}

impl Belief {
    fn of<A: PlatformAdapter>(node: &Node<A>, key: UpstreamKey) -> Option<Self> {
        let at_us = node.now_us();
        let pool = node.pool.borrow();
        let state = pool.get(key)?;
        Some(Self {
            upstream: state.id().clone(),
            cost: pool.cost(key, at_us),
            sample: state.sample(),
            at_us,
        })
    }
}

const PERCENT: f32 = 100.0;

fn report<A: PlatformAdapter>(
    node: &Node<A>,
    request: &CallerRequest,
    choice: Choice,
    belief: &Belief,
    outcome: AttemptOutcome,
    times: AttemptTimes,
) {
    node.report.attempted(&belief.upstream, outcome.as_str(), times.took_ms);
    let load = belief.sample.map(|sample| sample.load);
    let id = request.headers.get(&node.headers.request_id).and_then(|id| id.to_str().ok());
    let line = || EventKind::AttemptEnded {
        request: id.unwrap_or_default().into(),
        service: request.routed.service.clone(),
        upstream: belief.upstream.clone(),
        outcome: outcome.as_str().into(),
        hedge: choice == Choice::GoodOnly,
        cost_percent: (belief.cost * PERCENT) as u32,
        running: load.map_or(0, |load| load.running),
        waiting: load.map_or(0, |load| load.waiting),
        pace_percent: load.map_or(0, |load| load.pace_percent),
        load_age_ms: belief
            .sample
            .map_or(0, |sample| belief.at_us.saturating_sub(sample.heard_at_us) / US_PER_MS),
        choose_ms: times.choose_ms,
        took_ms: times.took_ms,
    };
    if outcome == (AttemptOutcome::Answered { failed: false }) {
        node.report.well(line);
    } else {
        node.report.wrong(node.now_us(), line);
    }
}

/// Whether a request that was not sent yet would be late at this upstream and may come back instead.
fn is_late<A: PlatformAdapter>(node: &Node<A>, request: &CallerRequest, key: UpstreamKey) -> bool {
    if request.arrivals.get() > 0 {
        return false;
    }
    let now_us = node.now_us();
    let ms = |us: u64| us as f64 / US_PER_MS as f64;
    let cost = f64::from(node.pool.borrow().cost(key, now_us));
    let route = &request.routed.route;
    let outlook = node.route_times(route, |times| Outlook {
        spent_ms: ms(now_us.saturating_sub(request.times.arrived_at_us)),
        expected_ms: cost * times.usual.get_ms(),
        left_ms: ms(request.times.deadline_at_us.saturating_sub(now_us)),
        whole_ms: times.whole.get_ms(),
    });
    AdmissionOptions::default().refuses(route, &outlook)
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

async fn exchange<A: PlatformAdapter>(
    node: &Rc<Node<A>>,
    request: &CallerRequest,
    key: UpstreamKey,
) -> AttemptEnd {
    let end = |outcome| AttemptEnd::new(outcome, Some(key));
    let Some(address) = node.pool.borrow().get(key).map(|state| state.address()) else {
        return end(AttemptOutcome::Unsent);
    };
    let Ok(mut connection) = node.connections.get(address, Purpose::Request).await else {
        return end(AttemptOutcome::Unsent);
    };
    // Read again right before the first byte goes out: this process may have been paused meanwhile.
    let now_us = node.now_us();
    if request.times.give_up_at_us <= now_us {
        return end(AttemptOutcome::TimedOut);
    }
    let Some(outgoing) = outgoing(node, request, key, now_us) else {
        return end(AttemptOutcome::Unsent);
    };
    request.arrivals.set(request.arrivals.get() + 1);
    let whole = request.body.is_some();
    let (head, body) = match connection.send(outgoing).await {
        Ok(response) => response.into_parts(),
        Err(SendError::Unsent) if whole => {
            request.arrivals.set(request.arrivals.get() - 1);
            return end(AttemptOutcome::Unsent);
        }
        Err(_) => return end(AttemptOutcome::Broken),
    };
    hear_load(node, key, &head.headers);
    let id = &node.headers.request_id;
    if head.headers.get(id) != request.headers.get(id) {
        return end(AttemptOutcome::Broken);
    }
    if head.headers.contains_key(&node.headers.not_run) || head.status == StatusCode::MISDIRECTED_REQUEST {
        if whole && let Ok(Gathered { rest: None, .. }) = gather(body, ANSWER_GATHERED_BYTES).await {
            connection.keep(&head.headers);
        }
        return end(AttemptOutcome::NotRun(refusal(head.status)));
    }
    let Ok(gathered) = gather(body, ANSWER_GATHERED_BYTES).await else {
        return end(AttemptOutcome::Broken);
    };
    let response = match gathered.rest {
        None => {
            if whole {
                connection.keep(&head.headers);
            }
            RelayBody::whole(gathered.bytes)
        }
        Some(_) => RelayBody::streamed(gathered, Some(connection)),
    };
    let failed = head.status.is_server_error();
    let mut response = Response::from_parts(head, response);
    strip_hop_headers(response.headers_mut());
    let answer = Some(UpstreamAnswer { response });
    AttemptEnd { answer, ..end(AttemptOutcome::Answered { failed }) }
}

fn hear_load<A: PlatformAdapter>(node: &Node<A>, key: UpstreamKey, headers: &HeaderMap) {
    let told = headers.get(&node.headers.load).and_then(|told| told.to_str().ok());
    if let Some(load) = told.and_then(|told| node.adapter.load(told)) {
        node.hear_load(key, load);
    }
}

fn refusal(status: StatusCode) -> Refusal {
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Refusal::Busy,
        StatusCode::MISDIRECTED_REQUEST => Refusal::Misdirected,
        _ => Refusal::Other,
    }
}

/// The request as it goes to an upstream; none when its body is gone.
fn outgoing<A: PlatformAdapter>(
    node: &Node<A>,
    request: &CallerRequest,
    key: UpstreamKey,
    now_us: u64,
) -> Option<Request<RelayBody>> {
    let body = match &request.body {
        Some(bytes) => RelayBody::whole(bytes.clone()),
        None => RelayBody::streamed(request.stream.borrow_mut().take()?, None),
    };
    let mut outgoing = Request::new(body);
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = request.uri.clone();
    let headers = outgoing.headers_mut();
    headers.clone_from(&request.headers);
    let left_ms = request.times.give_up_at_us.saturating_sub(now_us) / US_PER_MS;
    headers.insert(node.headers.deadline_ms.clone(), HeaderValue::from(left_ms.max(1)));
    let pool = node.pool.borrow();
    let id = HeaderValue::from_str(pool.get(key)?.id().as_str()).ok()?;
    headers.insert(node.headers.expect_upstream.clone(), id);
    Some(outgoing)
}

/// Takes out the headers that concern one connection only.
pub fn strip_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_HEADERS) {
        headers.remove(name);
    }
}

/// The body of a request that goes on arriving.
pub fn is_streamed(body: &Gathered) -> bool {
    let rest: &Option<Incoming> = &body.rest;
    rest.is_some()
}
