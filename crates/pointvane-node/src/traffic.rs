//! Callers' requests: classify, read the body, forward, answer.

use {
    crate::{
        answer::Refused,
        body::{Gathered, RelayBody, gather},
        forward::{forward, refuse},
        node::Node,
        request::{CallerRequest, CallerTimes, strip_hop_headers},
        stop::Stage,
    },
    hyper::{
        Request, Response, StatusCode,
        body::{Body, Incoming},
        header::{CONNECTION, HOST, HeaderValue},
        http::request::Parts,
    },
    pointvane_core::{ErrorKind, PlatformAdapter, US_PER_MS},
    pointvane_dispatch::RoutedRequest,
    pointvane_telemetry::EventKind,
    std::{
        cell::{Cell, RefCell},
        convert::Infallible,
        rc::Rc,
    },
};

/// Bytes of a request's body that are gathered before it is sent on, so that it can be sent again elsewhere.
const BODY_GATHERED_BYTES: usize = 512 << 10;
/// Deadline of a request that names none, in milliseconds.
const DEADLINE_DEFAULT_MS: u64 = 10_000;
/// Longest deadline that is heeded, in milliseconds.
const DEADLINE_MAX_MS: u64 = 86_400_000;

/// Serves one request of a caller.
pub async fn serve<A: PlatformAdapter + 'static>(
    node: Rc<Node<A>>,
    request: Request<Incoming>,
) -> Result<Response<RelayBody>, Infallible> {
    let (head, body) = request.into_parts();
    let id = head.headers.get(&node.headers.request_id).cloned();
    let arrived_at_us = node.now_us();
    let mut response = match read(&node, head, body, arrived_at_us).await {
        Ok(request) => {
            let request = Rc::new(request);
            let ended = forward(Rc::clone(&node), Rc::clone(&request)).await;
            report_end(&node, &request, &ended);
            ended.unwrap_or_else(|refused| refuse(&node, refused, id.as_ref()))
        }
        Err(refused) => {
            report_unrouted(&node, id.as_ref(), refused, arrived_at_us);
            refuse(&node, refused, id.as_ref())
        }
    };
    if *node.stage.borrow() != Stage::Running {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(response)
}

/// Reads a request and finds its route.
async fn read<A: PlatformAdapter>(
    node: &Node<A>,
    head: Parts,
    body: Incoming,
    arrived_at_us: u64,
) -> Result<CallerRequest, Refused> {
    let routed = routed(node, &head)?;
    let time_ms = deadline_ms(node, &head).min(routed.route.timeout_ms);
    let give_up_at_us = arrived_at_us + time_ms * US_PER_MS;
    let body_max = node.route_table().limits().body_bytes_max;
    if body.size_hint().exact().is_some_and(|length| length > body_max) {
        return Err(Refused { status: Some(StatusCode::PAYLOAD_TOO_LARGE), ..ErrorKind::BadRequest.into() });
    }
    let gathered = gather(body, BODY_GATHERED_BYTES).await.map_err(|_| ErrorKind::BadRequest)?;
    if node.now_us() >= give_up_at_us {
        return Err(ErrorKind::DeadlinePassed.into());
    }
    let times = CallerTimes { arrived_at_us, give_up_at_us };
    Ok(caller_request(head, gathered, routed, times))
}

fn report_end<A: PlatformAdapter>(
    node: &Node<A>,
    request: &CallerRequest,
    ended: &Result<Response<RelayBody>, Refused>,
) {
    let now_us = node.now_us();
    let spent_ms = now_us.saturating_sub(request.times.arrived_at_us) / US_PER_MS;
    let attempts = request.arrivals.get();
    let id = text(request.headers.get(&node.headers.request_id));
    let (route, version) = (request.routed.route.name.clone(), request.routed.version);
    match ended {
        Ok(response) => {
            let status = response.status().as_u16();
            node.report.answered(request, status, spent_ms);
            let line =
                || EventKind::RequestAnswered { request: id, route, version, status, attempts, spent_ms };
            if response.status().is_success() && attempts == 1 {
                node.report.well(line);
            } else {
                node.report.wrong(now_us, line);
            }
        }
        Err(refused) => {
            node.report.refused(refused.kind);
            let row = refused.kind.answer();
            node.report.wrong(now_us, || EventKind::RequestRefused {
                request: id,
                route: Some(route),
                version,
                error: row.name.into(),
                outcome: row.outcome.as_str().into(),
                attempts,
                spent_ms,
                come_back_ms: refused.come_back_ms,
            });
        }
    }
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
    node.report.wrong(now_us, || EventKind::RequestRefused {
        request: text(id),
        route: None,
        version: node.route_table().version(),
        error: row.name.into(),
        outcome: row.outcome.as_str().into(),
        attempts: 0,
        spent_ms: now_us.saturating_sub(arrived_at_us) / US_PER_MS,
        come_back_ms: refused.come_back_ms,
    });
}

fn routed<A: PlatformAdapter>(node: &Node<A>, head: &Parts) -> Result<RoutedRequest, Refused> {
    let routes = node.route_table();
    if routes.version() == 0 {
        return Err(ErrorKind::NotReady.into());
    }
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok()).or_else(|| head.uri.host());
    let mut rng = node.rng.borrow_mut();
    let routed = routes.route(host.unwrap_or_default(), head.uri.path(), &mut rng);
    routed.ok_or_else(|| ErrorKind::NoSuchService.into())
}

/// How long the caller will wait.
fn deadline_ms<A: PlatformAdapter>(node: &Node<A>, head: &Parts) -> u64 {
    let told = head.headers.get(&node.headers.deadline_ms).and_then(|told| told.to_str().ok());
    let told = told.and_then(|told| told.trim().parse().ok()).unwrap_or(DEADLINE_DEFAULT_MS);
    told.min(DEADLINE_MAX_MS)
}

fn caller_request(
    head: Parts,
    gathered: Gathered,
    routed: RoutedRequest,
    times: CallerTimes,
) -> CallerRequest {
    let mut headers = head.headers;
    strip_hop_headers(&mut headers);
    let (body, stream) = match gathered.rest.is_some() {
        true => (None, Some(gathered)),
        false => (Some(gathered.bytes), None),
    };
    CallerRequest {
        routed,
        method: head.method,
        uri: head.uri,
        headers,
        body,
        stream: RefCell::new(stream),
        times,
        tried: RefCell::default(),
        arrivals: Cell::new(0),
    }
}

fn text(id: Option<&HeaderValue>) -> String {
    id.and_then(|id| id.to_str().ok()).unwrap_or_default().into()
}
