//! Handles a caller's request: finds its route, reads its body, forwards it, responds and reports the result.

use {
    crate::{
        answer::{Refused, refusal_response},
        body::BufferedBody,
        body_buffer::{RequestBodyError, buffer_request_body},
        connections::RelayBody,
        forward::{FinalAnswer, forward},
        node::Node,
        quota::QuotaCharge,
        request::{CallerRequest, requested_host, strip_hop_by_hop_headers},
    },
    hyper::{
        Response, StatusCode,
        body::{Body, Incoming},
        header::HeaderValue,
        http::request::Parts,
    },
    pointvane_core::{ErrorKind, KeyDigest, PlatformAdapter, RouteKind, US_PER_MS},
    pointvane_dispatch::{
        ForwardedRequest, RefusedBy, RoutedRequest, admission_pressure, answer_deadline_us,
        first_state_retry_after_ms, first_state_wait_ms,
    },
    pointvane_serve::has_unknown_coding,
    pointvane_telemetry::EventKind,
    std::{
        cell::{Cell, OnceCell, RefCell},
        net::IpAddr,
        rc::Rc,
        time::Duration,
    },
    tokio::time::timeout,
};

/// Longest request body that is buffered before it is sent, so that it can be retried at another upstream, in
/// bytes.
///
/// Bounds the memory of a request; longer bodies are streamed and sent only once.
const BODY_BUFFER_BYTES: usize = 512 << 10;

/// Where a request came from, and when.
#[derive(Clone, Debug)]
pub struct RequestOrigin {
    /// IP address of the connection: the caller's, or that of the node that forwarded the request.
    pub caller: IpAddr,
    /// When it arrived, in microseconds of the monotonic clock.
    pub at_us: u64,
    /// Metadata from the node that forwarded it, if one did.
    pub forwarded: Option<ForwardedRequest>,
}

/// Handles one request of a caller and builds its response.
pub async fn answer<A: PlatformAdapter + 'static>(
    node: Rc<Node<A>>,
    head: Parts,
    body: Option<Incoming>,
    origin: RequestOrigin,
) -> Response<RelayBody> {
    let id = head.headers.get(&node.headers.request_id).cloned();
    let answer = answer_or_refusal(Rc::clone(&node), head, body, origin).await;
    answer.unwrap_or_else(|refused| refusal_response(&node, refused, id))
}

/// Handles one request of a caller or of another node; returns the upstream's response, or the error that the
/// node responds with.
pub async fn answer_or_refusal<A: PlatformAdapter + 'static>(
    node: Rc<Node<A>>,
    head: Parts,
    body: Option<Incoming>,
    origin: RequestOrigin,
) -> FinalAnswer {
    let id = head.headers.get(&node.headers.request_id).cloned();
    let at_us = origin.at_us;
    match read_request(&node, head, body, origin).await {
        Ok(request) => {
            let request = Rc::new(request);
            let answer = forward(Rc::clone(&node), Rc::clone(&request)).await;
            report_end(&node, &request, &answer);
            answer
        }
        Err(refused) => {
            report_refused_before_forward(&node, id.as_ref(), refused, at_us);
            Err(refused)
        }
    }
}

/// Kind of the route that a request head matches, such as repeatable; none if it matches no route.
pub fn route_kind<A: PlatformAdapter>(node: &Node<A>, head: &Parts) -> Option<RouteKind> {
    // The error is reported to the caller when the request is served.
    find_route(node, head).ok().map(|routed| routed.route.kind)
}

/// Authorizes a request, finds its route and reads its body.
///
/// # Errors
/// Why the request is refused.
async fn read_request<A: PlatformAdapter>(
    node: &Node<A>,
    mut head: Parts,
    body: Option<Incoming>,
    origin: RequestOrigin,
) -> Result<CallerRequest, Refused> {
    // The body would be passed on in its coding, but without the header that names it.
    if has_unknown_coding(&head.headers) {
        return Err(Refused { is_body_unread: true, ..ErrorKind::UnsupportedCoding.into() });
    }
    let caller_timeout_ms = node.headers.caller_timeout_ms(&head.headers);
    wait_for_first_state(node, caller_timeout_ms).await;
    let key = node.presented_key(&head.headers);
    let routed = find_route(node, &head)?.handed_over(origin.forwarded.as_ref());
    let routed = node.authorize(routed, key.as_ref())?;
    // The node that forwarded a request has charged it.
    let charge = if origin.forwarded.is_some() { None } else { node.charge(&routed)? };
    let answer_deadline_us = answer_deadline_us(&routed.route, caller_timeout_ms, origin.at_us);
    let buffered = read_body(node, body, answer_deadline_us).await.map_err(|refused| {
        let retry_after_ms =
            node.dispatcher.retry_after_ms(&routed.route, refused.kind, RefusedBy::Node, None);
        Refused { retry_after_ms, ..refused }
    })?;
    if node.now_us() >= answer_deadline_us {
        return Err(ErrorKind::DeadlinePassed.into());
    }
    let id = node.headers.request_id_text(&head.headers);
    let spent_before_ms = spent_before_ms(node, &routed, &origin, caller_timeout_ms);
    node.headers.strip_account(&mut head.headers);
    let access = Access { routed, key, charge };
    let timing = Timing { answer_deadline_us, spent_before_ms };
    let request = caller_request(id, head, buffered, access, origin, timing);
    if request.body.is_none() {
        // Computed and cached now, since the first attempt takes the body, which the fingerprints depend on.
        request.fingerprints();
    }
    Ok(request)
}

/// Waits for the state needed to route requests, if this node has just started.
async fn wait_for_first_state<A: PlatformAdapter>(node: &Node<A>, caller_timeout_ms: Option<u64>) {
    if !node.has_platform_state() {
        let wait_ms = first_state_wait_ms(node.dispatcher.start_wait_ms, node.uptime_ms(), caller_timeout_ms);
        node.platform.wait_for_first_state(Duration::from_millis(wait_ms)).await;
    }
}

/// Reads a request's body, or its first part if it exceeds the buffer.
async fn read_body<A: PlatformAdapter>(
    node: &Node<A>,
    body: Option<Incoming>,
    answer_deadline_us: u64,
) -> Result<BufferedBody, Refused> {
    let Some(body) = body else { return Ok(BufferedBody::empty()) };
    let body_bytes_max = node.dispatcher.routes().limits().body_bytes_max;
    if body.size_hint().exact().is_some_and(|length| length > body_bytes_max) {
        let status = Some(StatusCode::PAYLOAD_TOO_LARGE);
        return Err(Refused { status, is_body_unread: true, ..ErrorKind::BadRequest.into() });
    }
    if body.is_end_stream() {
        return Ok(BufferedBody::empty());
    }
    let left = Duration::from_micros(answer_deadline_us.saturating_sub(node.now_us()));
    let buffering = buffer_request_body(body, BODY_BUFFER_BYTES, &node.body_memory);
    match timeout(left, buffering).await {
        Ok(Ok(buffered)) => Ok(buffered),
        // A caller whose body breaks off has disconnected, so the error does not reach it.
        Ok(Err(RequestBodyError::Broken)) => Err(ErrorKind::BadRequest.into()),
        Ok(Err(RequestBodyError::NoMemory(reason))) => {
            node.report.refused_for_memory(reason);
            Err(Refused { is_body_unread: true, ..ErrorKind::MemoryExhausted.into() })
        }
        Err(_) => Err(Refused { is_body_unread: true, ..ErrorKind::DeadlinePassed.into() }),
    }
}

fn report_end<A: PlatformAdapter>(node: &Node<A>, request: &CallerRequest, answer: &FinalAnswer) {
    let now_us = node.now_us();
    let spent_ms = now_us.saturating_sub(request.arrived_at_us) / US_PER_MS;
    let attempts = request.sends.get();
    if request.has_returned() {
        node.report.returned_request_ended(answer.is_ok());
    }
    let id = request.id.clone();
    let (route, version) = (request.routed.route.name.clone(), request.routed.version);
    match answer {
        Ok(response) => {
            let status = response.status().as_u16();
            node.report.answered(&route, status, spent_ms);
            let line =
                || EventKind::RequestAnswered { request: id, route, version, status, attempts, spent_ms };
            if response.status().is_success() && attempts == 1 {
                node.report.success(line);
            } else {
                node.report.failure(now_us, line);
            }
        }
        Err(refused) => report_refused(node, request, *refused, now_us),
    }
}

fn report_refused<A: PlatformAdapter>(
    node: &Node<A>,
    request: &CallerRequest,
    refused: Refused,
    now_us: u64,
) {
    node.report.refused(refused.kind);
    refused.retry_after_ms.iter().for_each(|after_ms| node.report.return_time_set(*after_ms));
    let row = refused.kind.answer();
    let is_quarantined = refused.kind == ErrorKind::RequestQuarantined;
    node.report.failure(now_us, || EventKind::RequestRefused {
        request: request.id.clone(),
        route: Some(request.routed.route.name.clone()),
        version: request.routed.version,
        error: row.name.into(),
        outcome: row.outcome.as_str().into(),
        attempts: request.sends.get(),
        spent_ms: now_us.saturating_sub(request.arrived_at_us) / US_PER_MS,
        come_back_ms: refused.retry_after_ms,
        upstreams: refused.withheld.map(|withheld| withheld.upstreams as u64),
        backing_off: refused.withheld.map(|withheld| withheld.backing_off as u64),
        limited: refused.withheld.map(|withheld| withheld.limited as u64).filter(|limited| *limited > 0),
        back_in_ms: refused.withheld.and_then(|withheld| withheld.back_in_ms),
        fingerprint: is_quarantined.then(|| request.fingerprints().exact.to_string()),
    });
}

fn report_refused_before_forward<A: PlatformAdapter>(
    node: &Node<A>,
    id: Option<&HeaderValue>,
    refused: Refused,
    arrived_at_us: u64,
) {
    let now_us = node.now_us();
    node.report.refused(refused.kind);
    let row = refused.kind.answer();
    node.report.failure(now_us, || EventKind::RequestRefused {
        request: header_text(id),
        route: None,
        version: node.dispatcher.routes().version(),
        error: row.name.into(),
        outcome: row.outcome.as_str().into(),
        attempts: 0,
        spent_ms: now_us.saturating_sub(arrived_at_us) / US_PER_MS,
        come_back_ms: refused.retry_after_ms,
        upstreams: None,
        backing_off: None,
        limited: None,
        back_in_ms: None,
        fingerprint: None,
    });
}

fn find_route<A: PlatformAdapter>(node: &Node<A>, head: &Parts) -> Result<RoutedRequest, Refused> {
    if node.dispatcher.routes().version() == 0 {
        let retry_after_ms = Some(first_state_retry_after_ms(node.uptime_ms()));
        return Err(Refused { retry_after_ms, ..ErrorKind::NotReady.into() });
    }
    let routed = node.dispatcher.route(requested_host(&head.headers, &head.uri), head.uri.path());
    routed.ok_or_else(|| ErrorKind::NoSuchService.into())
}

/// Route of a request, with its authorization and quota charge.
struct Access {
    routed: RoutedRequest,
    key: Option<KeyDigest>,
    charge: Option<QuotaCharge>,
}

/// Deadline of a request, and the time that its caller had spent before.
struct Timing {
    answer_deadline_us: u64,
    spent_before_ms: f64,
}

/// Time that the caller of a request has spent on earlier tries, in milliseconds. Nodes that forward requests
/// state what is left of them, which says nothing of their callers.
fn spent_before_ms<A: PlatformAdapter>(
    node: &Node<A>,
    routed: &RoutedRequest,
    origin: &RequestOrigin,
    caller_timeout_ms: Option<u64>,
) -> f64 {
    if origin.forwarded.is_some() {
        return 0.0;
    }
    let contention = node.dispatcher.pool().service_contention(&routed.service, node.now_us());
    let is_contended = admission_pressure(contention) > 0.0;
    node.dispatcher.caller_progress(&routed.route.name).record(caller_timeout_ms, is_contended)
}

fn caller_request(
    id: String,
    head: Parts,
    buffered: BufferedBody,
    access: Access,
    origin: RequestOrigin,
    timing: Timing,
) -> CallerRequest {
    let mut headers = head.headers;
    strip_hop_by_hop_headers(&mut headers);
    let (body, stream) = match buffered.rest.is_some() {
        true => (None, Some(buffered)),
        false => (Some(buffered.bytes), None),
    };
    let Access { routed, key, charge } = access;
    CallerRequest {
        routed,
        key,
        charge,
        id,
        caller: origin.caller,
        method: head.method,
        uri: head.uri,
        headers,
        body,
        stream: RefCell::new(stream),
        head_fingerprint_cache: OnceCell::new(),
        fingerprints_cache: OnceCell::new(),
        arrived_at_us: origin.at_us,
        answer_deadline_us: timing.answer_deadline_us,
        spent_before_ms: timing.spent_before_ms,
        expected_latency_ms: Cell::default(),
        tried: RefCell::default(),
        sends: Cell::new(0),
        forwarded: origin.forwarded,
        tried_peers: RefCell::default(),
        unreachable_attempts: Cell::new(0),
        lacks_reachable_capacity: Cell::new(false),
        uncharged_us: Cell::new(0),
    }
}

/// A request id for a log line; empty if the caller sent none, or it is not visible ASCII.
fn header_text(id: Option<&HeaderValue>) -> String {
    id.and_then(|id| id.to_str().ok()).unwrap_or_default().into()
}
