//! One request of a caller: find the route, read the body, forward, answer, report.

use {
    crate::{
        answer::{Refused, refusal},
        body::{Gathered, gather},
        connections::RelayBody,
        forward::{FinalAnswer, forward},
        node::Node,
        quota::QuotaCharge,
        request::{CallerRequest, requested_host, strip_hop_headers},
    },
    hyper::{
        Response, StatusCode,
        body::{Body, Incoming},
        header::HeaderValue,
        http::request::Parts,
    },
    pointvane_core::{ErrorKind, KeyDigest, PlatformAdapter, RouteKind, US_PER_MS},
    pointvane_dispatch::{RoutedRequest, answer_by_us, first_state_retry_after_ms, first_state_wait_ms},
    pointvane_telemetry::EventKind,
    std::{
        cell::{Cell, OnceCell, RefCell},
        net::IpAddr,
        rc::Rc,
        time::Duration,
    },
};

/// Bytes of a request's body that are gathered before it is sent, so that it can be sent again elsewhere.
///
/// Bounds the memory of a request; longer bodies are streamed and sent once.
const BODY_GATHERED_BYTES: usize = 512 << 10;

/// From where and when a request came.
#[derive(Clone, Copy, Debug)]
pub struct RequestOrigin {
    /// Where its caller's connection comes from.
    pub caller: IpAddr,
    /// When it arrived, in microseconds of the steady clock.
    pub at_us: u64,
}

/// Answers one request of a caller.
pub async fn answer<A: PlatformAdapter + 'static>(
    node: Rc<Node<A>>,
    head: Parts,
    body: Option<Incoming>,
    origin: RequestOrigin,
) -> Response<RelayBody> {
    let id = head.headers.get(&node.headers.request_id).cloned();
    let answer = match read(&node, head, body, origin).await {
        Ok(request) => {
            let request = Rc::new(request);
            let answer = forward(Rc::clone(&node), Rc::clone(&request)).await;
            report_end(&node, &request, &answer);
            answer
        }
        Err(refused) => {
            report_unrouted(&node, id.as_ref(), refused, origin.at_us);
            Err(refused)
        }
    };
    answer.unwrap_or_else(|refused| refusal(&node, refused, id))
}

/// What may be done with requests of the route that a head asks for; none if there is no such route.
pub fn route_kind<A: PlatformAdapter>(node: &Node<A>, head: &Parts) -> Option<RouteKind> {
    // Why there is none is told to the caller when the request is answered.
    routed(node, head).ok().map(|routed| routed.route.kind)
}

/// Finds the route of a request and reads its body.
async fn read<A: PlatformAdapter>(
    node: &Node<A>,
    mut head: Parts,
    body: Option<Incoming>,
    origin: RequestOrigin,
) -> Result<CallerRequest, Refused> {
    let caller_waits_ms = node.headers.caller_waits_ms(&head.headers);
    if !node.knows_platform() {
        let wait_ms = first_state_wait_ms(node.dispatcher.start_wait_ms, node.running_ms(), caller_waits_ms);
        node.platform.first_state(Duration::from_millis(wait_ms)).await;
    }
    let key = node.presented_key(&head.headers);
    let routed = node.authorize(routed(node, &head)?, key.as_ref())?;
    let charge = node.charge(&routed)?;
    let answer_by_us = answer_by_us(&routed.route, caller_waits_ms, origin.at_us);
    let gathered = read_body(node, body).await?;
    if node.now_us() >= answer_by_us {
        return Err(ErrorKind::DeadlinePassed.into());
    }
    let id = node.headers.request_id_text(&head.headers);
    node.headers.strip_account(&mut head.headers);
    let request = caller_request(id, head, gathered, Access { routed, key, charge }, origin, answer_by_us);
    if request.body.is_none() {
        // The first attempt takes the body, after which nothing could tell the request any more.
        request.fingerprints();
    }
    Ok(request)
}

/// Reads a request's body, or its first part if it is long.
async fn read_body<A: PlatformAdapter>(node: &Node<A>, body: Option<Incoming>) -> Result<Gathered, Refused> {
    let Some(body) = body else { return Ok(Gathered::empty()) };
    let body_bytes_max = node.dispatcher.routes().limits().body_bytes_max;
    if body.size_hint().exact().is_some_and(|length| length > body_bytes_max) {
        return Err(Refused { status: Some(StatusCode::PAYLOAD_TOO_LARGE), ..ErrorKind::BadRequest.into() });
    }
    // A caller that breaks its body off is not there to be told why.
    Ok(gather(body, BODY_GATHERED_BYTES).await.map_err(|_| ErrorKind::BadRequest)?)
}

fn report_end<A: PlatformAdapter>(node: &Node<A>, request: &CallerRequest, answer: &FinalAnswer) {
    let now_us = node.now_us();
    let spent_ms = now_us.saturating_sub(request.arrived_at_us) / US_PER_MS;
    let attempts = request.sends.get();
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

fn report_unrouted<A: PlatformAdapter>(
    node: &Node<A>,
    id: Option<&HeaderValue>,
    refused: Refused,
    arrived_at_us: u64,
) {
    let now_us = node.now_us();
    node.report.refused(refused.kind);
    let row = refused.kind.answer();
    node.report.failure(now_us, || EventKind::RequestRefused {
        request: text(id),
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

fn routed<A: PlatformAdapter>(node: &Node<A>, head: &Parts) -> Result<RoutedRequest, Refused> {
    if node.dispatcher.routes().version() == 0 {
        let retry_after_ms = Some(first_state_retry_after_ms(node.running_ms()));
        return Err(Refused { retry_after_ms, ..ErrorKind::NotReady.into() });
    }
    let routed = node.dispatcher.route(requested_host(&head.headers, &head.uri), head.uri.path());
    routed.ok_or_else(|| ErrorKind::NoSuchService.into())
}

/// Where a request goes, and by what right.
struct Access {
    routed: RoutedRequest,
    key: Option<KeyDigest>,
    charge: Option<QuotaCharge>,
}

fn caller_request(
    id: String,
    head: Parts,
    gathered: Gathered,
    access: Access,
    origin: RequestOrigin,
    answer_by_us: u64,
) -> CallerRequest {
    let mut headers = head.headers;
    strip_hop_headers(&mut headers);
    let (body, stream) = match gathered.rest.is_some() {
        true => (None, Some(gathered)),
        false => (Some(gathered.bytes), None),
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
        known_head: OnceCell::new(),
        known_fingerprints: OnceCell::new(),
        arrived_at_us: origin.at_us,
        answer_by_us,
        tried: RefCell::default(),
        sends: Cell::new(0),
        unreached_us: Cell::new(0),
    }
}

/// An id for a log line; empty if the caller gave none, or one that is no text.
fn text(id: Option<&HeaderValue>) -> String {
    id.and_then(|id| id.to_str().ok()).unwrap_or_default().into()
}
