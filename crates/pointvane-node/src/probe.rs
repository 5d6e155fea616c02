//! Runs searches for upstreams: sends probes, waits for responses and reports them to the search.
//!
//! A probe is a request to the health path of an upstream, whose response carries a load report. Concurrent
//! searches that probe the same upstream share one probe. All decisions are made by
//! [`pointvane_dispatch::Search`].

use {
    crate::{
        connections::{ConnectError, Connection, RelayBody},
        cross_traffic::{ExchangeTraffic, TrafficKind},
        node::Node,
        probe_table::ProbeAnswers,
        request::CallerRequest,
    },
    bytes::Bytes,
    hyper::{Request, Response, StatusCode, header::HOST},
    pointvane_core::{Name, PlatformAdapter, US_PER_MS},
    pointvane_dispatch::{
        AllowedRegions, ConnectionKind, ConnectionPurpose, Found, OpenReason, PROBE_TIMEOUT_US, ProbeOutcome,
        ProbePurpose, Search, SearchGoal, SearchRequest, SearchStep, UpstreamKey,
    },
    pointvane_serve::{CheckedBody, HEALTH_BODY_BYTES_MAX, skip_body},
    std::{net::SocketAddr, pin::pin, rc::Rc, time::Duration},
    tokio::{
        sync::mpsc::unbounded_channel,
        task::spawn_local,
        time::{Instant, error::Elapsed, sleep, timeout, timeout_at},
    },
};

/// Probe timeouts for which the response over a new connection is awaited: 0.9 s, about as long as that of a check.
const LATE_ANSWER_TIMEOUTS: usize = 6;
/// Timeout of the check of a lost service. Longer than that of other probes, since no request waits for it:
/// upstreams that are merely slow must not stay lost.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// Searches for an upstream for a request that is sent now.
pub async fn search<A: PlatformAdapter + 'static>(
    node: &Rc<Node<A>>,
    request: &CallerRequest,
    goal: SearchGoal,
) -> Found {
    let search_request = SearchRequest {
        service: request.routed.service.clone(),
        tried: request.tried.borrow().clone(),
        body_bytes: request.body_bytes(),
        goal,
        regions: AllowedRegions::of(&request.routed),
        priority: request.routed.route.priority,
    };
    let baseline_ms = node.dispatcher.route_latencies(&request.routed.route).baseline_ms();
    let mut search = Search::new(node.dispatcher.search, search_request).with_baseline_ms(baseline_ms);
    loop {
        let step = search.next(&mut node.dispatcher.pool_mut(), node.now_us());
        match step {
            SearchStep::Done(found) => return found,
            SearchStep::Pause { pause_us } => sleep(Duration::from_micros(pause_us)).await,
            SearchStep::Probe { upstreams, timeout_us } => {
                let deadline = Instant::now() + Duration::from_micros(timeout_us);
                let service = &request.routed.service;
                if let Some(key) = probe_round(node, service, &upstreams, deadline, &mut search).await {
                    return Found::Uncontended(key);
                }
            }
        }
    }
}

/// Probes several upstreams concurrently; returns the first that the search chooses.
async fn probe_round<A: PlatformAdapter + 'static>(
    node: &Rc<Node<A>>,
    service: &Name,
    keys: &[UpstreamKey],
    deadline: Instant,
    search: &mut Search,
) -> Option<UpstreamKey> {
    let (answers, mut answer) = unbounded_channel();
    let purpose = search.probe_purpose();
    let starts = |key: &&UpstreamKey| start_or_join(node, service, **key, purpose, answers.clone());
    let mut waiting = keys.iter().filter(starts).count();
    drop(answers);
    while waiting > 0 {
        let Ok(Some(key)) = timeout_at(deadline, answer.recv()).await else {
            break;
        };
        waiting -= 1;
        if search.record_probe_response(key, &node.dispatcher.pool(), node.now_us()) {
            return Some(key);
        }
    }
    None
}

/// Starts a probe, or joins one in progress; false if the probe budget is spent.
fn start_or_join<A: PlatformAdapter + 'static>(
    node: &Rc<Node<A>>,
    service: &Name,
    key: UpstreamKey,
    purpose: ProbePurpose,
    answers: ProbeAnswers,
) -> bool {
    let probes = &node.dispatcher.probes;
    if probes.join(key, &answers) {
        return true;
    }
    if !node.dispatcher.take_probe(node.now_us()) {
        return false;
    }
    node.report.probed(purpose, node.dispatcher.pool().is_near(key));
    probes.start(key, answers);
    spawn_local(probe(Rc::clone(node), service.clone(), key));
    true
}

/// Runs one probe and reports its outcome.
async fn probe<A: PlatformAdapter>(node: Rc<Node<A>>, service: Name, key: UpstreamKey) {
    let outcome = probe_outcome(&node, &service, key).await;
    outcome.into_iter().for_each(|outcome| record_outcome(&node, key, outcome));
    node.dispatcher.probes.end(key, outcome == Some(ProbeOutcome::Healthy));
}

fn record_outcome<A: PlatformAdapter>(node: &Node<A>, key: UpstreamKey, outcome: ProbeOutcome) {
    node.report.probe_ended(outcome);
    if let Some(state) = node.dispatcher.pool_mut().get_mut(key) {
        state.record_probe(outcome, node.now_us());
    }
}

/// Sends a probe and classifies its outcome; none if the upstream or its service was removed.
async fn probe_outcome<A: PlatformAdapter>(
    node: &Node<A>,
    service: &Name,
    key: UpstreamKey,
) -> Option<ProbeOutcome> {
    let (address, id) = node.dispatcher.pool().get(key).map(|state| (state.address(), state.id().clone()))?;
    let path = node.dispatcher.routes().health_path(service).cloned()?;
    let sent_at_us = node.now_us();
    let target = ProbeTarget { key, address, path, traffic: node.upstream_traffic(key, TrafficKind::Probe) };
    Some(match request_health(node, &target).await {
        Ok((answer, connection)) => {
            let time_us = node.now_us().saturating_sub(sent_at_us);
            node.record_contact(key, connection);
            if connection == ConnectionKind::Reused {
                node.dispatcher.pool_mut().record_probe_round_trip(key, time_us);
            }
            read_answer(node, key, &id, &answer, time_us)
        }
        Err(NoAnswer::ReusedConnectionSilent) => {
            node.dispatcher.connections.discard(address);
            node.record_silence(key, ConnectionKind::Reused, sent_at_us);
            ProbeOutcome::ReusedConnectionSilent
        }
        Err(no_answer) => record_no_answer(node, key, &no_answer, sent_at_us),
    })
}

/// Records that an upstream sent no answer to a probe, and classifies that.
fn record_no_answer<A: PlatformAdapter>(
    node: &Node<A>,
    key: UpstreamKey,
    no_answer: &NoAnswer,
    sent_at_us: u64,
) -> ProbeOutcome {
    if let NoAnswer::Unreachable(error) = no_answer {
        node.report.connect_failed(*error);
    }
    let waited_us = node.now_us().saturating_sub(sent_at_us);
    let outcome = ProbeOutcome::NoAnswer { waited_us, timeout_us: PROBE_TIMEOUT_US };
    if outcome.is_evidence() {
        node.record_silence(key, no_answer.speaks_against(), sent_at_us);
    }
    outcome
}

/// Checks whether an upstream of a lost service responds on a new connection; false without a response.
///
/// A service without a health path is regained once a connection can be opened.
pub async fn check_reachability<A: PlatformAdapter>(node: Rc<Node<A>>, key: UpstreamKey) -> bool {
    let upstream = node.dispatcher.pool().get(key).map(|state| {
        let record = &state.record;
        (record.address, record.id.clone(), record.service.clone())
    });
    let Some((address, id, service)) = upstream else { return false };
    let path = node.dispatcher.routes().health_path(&service).cloned();
    let sent_at_us = node.now_us();
    let traffic = node.upstream_traffic(key, TrafficKind::Probe);
    let check = async {
        let connections = &node.dispatcher.connections;
        let connection = connections.open(address, ConnectionPurpose::Check, OpenReason::Required).await;
        let connection = connection.inspect_err(|error| node.report.connect_failed(*error)).ok()?;
        match &path {
            Some(path) => request_health_over(connection, address, path, &traffic).await.map(Some),
            None => Some(None),
        }
    };
    let Ok(Some(answer)) = timeout(CHECK_TIMEOUT, check).await else {
        let waited_us = node.now_us().saturating_sub(sent_at_us);
        let timeout_us = CHECK_TIMEOUT.as_micros() as u64;
        node.report.probe_ended(ProbeOutcome::NoAnswer { waited_us, timeout_us });
        return false;
    };
    node.record_contact(key, ConnectionKind::New);
    if let Some(answer) = answer {
        let time_us = node.now_us().saturating_sub(sent_at_us);
        let outcome = read_answer(&node, key, &id, &answer, time_us);
        node.report.probe_ended(outcome);
    }
    true
}

fn read_answer<A: PlatformAdapter>(
    node: &Node<A>,
    key: UpstreamKey,
    id: &Name,
    answer: &Response<()>,
    time_us: u64,
) -> ProbeOutcome {
    let headers = answer.headers();
    let answered_by = headers.get(&node.headers.upstream);
    if answered_by.is_some_and(|other| other.as_bytes() != id.as_str().as_bytes()) {
        return ProbeOutcome::OtherUpstream;
    }
    node.apply_notices(key, answer.status(), headers, None);
    let load = node.load_report(headers);
    node.record_load(key, load);
    if load.is_none() && answer.status() == StatusCode::OK {
        let time_ms = time_us as f64 / US_PER_MS as f64;
        node.dispatcher.pool_mut().record_probe_time(key, time_ms, node.now_us());
    }
    if let Some(left_ms) = node.headers.warm_up_left_ms(headers) {
        node.dispatcher.pool_mut().record_warm_up(key, left_ms, node.now_us());
    }
    let busy = headers.contains_key(&node.headers.not_run);
    if busy || answer.status() == StatusCode::OK { ProbeOutcome::Healthy } else { ProbeOutcome::Unhealthy }
}

/// Why a probe has no response.
enum NoAnswer {
    /// No response within the timeout on a reused connection.
    ReusedConnectionSilent,
    /// No connection could be opened.
    Unreachable(ConnectError),
    /// No response within the timeout on a new connection.
    NewConnectionSilent,
    /// A new connection broke.
    Broken,
}

impl NoAnswer {
    /// The kind of connection that the missing response speaks against. A new one that opened shows that the path is
    /// there and the upstream may merely be slow, so its silence counts like that of a reused one.
    fn speaks_against(&self) -> ConnectionKind {
        match self {
            Self::ReusedConnectionSilent | Self::NewConnectionSilent => ConnectionKind::Reused,
            Self::Unreachable(_) | Self::Broken => ConnectionKind::New,
        }
    }
}

/// An upstream that is probed.
struct ProbeTarget {
    key: UpstreamKey,
    address: SocketAddr,
    path: Name,
    traffic: ExchangeTraffic,
}

/// Requests the health path over a pooled connection, then over a new one if the pooled one broke. A connection
/// is opened, and a pooled one used, within [`PROBE_TIMEOUT_US`].
async fn request_health<A: PlatformAdapter>(
    node: &Node<A>,
    target: &ProbeTarget,
) -> Result<(Response<()>, ConnectionKind), NoAnswer> {
    let deadline = Instant::now() + Duration::from_micros(PROBE_TIMEOUT_US);
    let ProbeTarget { address, path, traffic, .. } = target;
    let connections = &node.dispatcher.connections;
    let connection = connections.get(*address, ConnectionPurpose::Probe);
    let mut connection = connected(timeout_at(deadline, connection).await)?;
    if connection.kind() == ConnectionKind::Reused {
        match timeout_at(deadline, request_health_over(connection, *address, path, traffic)).await {
            Ok(Some(answer)) => return Ok((answer, ConnectionKind::Reused)),
            Ok(None) => {}
            Err(_) => return Err(NoAnswer::ReusedConnectionSilent),
        }
        let opened = connections.open(*address, ConnectionPurpose::Probe, OpenReason::ReusedBroke);
        connection = connected(timeout_at(deadline, opened).await)?;
    }
    let answer = await_late_answer(node, target, connection, deadline).await?;
    Ok((answer, ConnectionKind::New))
}

fn connected(result: Result<Result<Connection, ConnectError>, Elapsed>) -> Result<Connection, NoAnswer> {
    result.unwrap_or(Err(ConnectError::TimedOut)).map_err(NoAnswer::Unreachable)
}

/// Requests the health path over a new connection. After `deadline` the probe counts as failed, again after each
/// further timeout, but the response is awaited up to [`LATE_ANSWER_TIMEOUTS`]: an upstream that is slow to accept
/// connections would have to accept another one for each probe that was abandoned.
async fn await_late_answer<A: PlatformAdapter>(
    node: &Node<A>,
    target: &ProbeTarget,
    connection: Connection,
    deadline: Instant,
) -> Result<Response<()>, NoAnswer> {
    let ProbeTarget { key, address, path, traffic } = target;
    let mut answer = pin!(request_health_over(connection, *address, path, traffic));
    let mut deadline = deadline;
    let mut sent_at_us = node.now_us();
    for _ in 1..LATE_ANSWER_TIMEOUTS {
        match timeout_at(deadline, &mut answer).await {
            Ok(answer) => return answer.ok_or(NoAnswer::Broken),
            Err(_) => {
                let outcome = record_no_answer(node, *key, &NoAnswer::NewConnectionSilent, sent_at_us);
                record_outcome(node, *key, outcome);
            }
        }
        sent_at_us = node.now_us();
        deadline = Instant::now() + Duration::from_micros(PROBE_TIMEOUT_US);
    }
    let answer = timeout_at(deadline, answer).await;
    answer.map_err(|_| NoAnswer::NewConnectionSilent)?.ok_or(NoAnswer::Broken)
}

async fn request_health_over(
    mut connection: Connection,
    address: SocketAddr,
    path: &Name,
    traffic: &ExchangeTraffic,
) -> Option<Response<()>> {
    let request = Request::get(path.as_str()).header(HOST, address.to_string());
    let request = request.body(RelayBody::whole(Bytes::new())).ok()?;
    traffic.sent(&connection, &request);
    let response = connection.send(request).await.ok()?;
    traffic.received(&response);
    let (head, body): (_, CheckedBody) = response.into_parts();
    if skip_body(body, HEALTH_BODY_BYTES_MAX).await.ok()? {
        connection.keep(&head.headers);
    }
    Some(Response::from_parts(head, ()))
}
