//! One request sent to one upstream, and its answer read.

use {
    crate::{
        attempt::{AttemptEnd, UpstreamAnswer},
        body::{Gathered, RelayBody, gather},
        connections::{Purpose, SendError},
        node::Node,
        request::{CallerRequest, strip_hop_headers},
    },
    hyper::{HeaderMap, Request, Response, StatusCode, header::HeaderValue},
    pointvane_core::{PlatformAdapter, US_PER_MS},
    pointvane_dispatch::{AttemptOutcome, Refusal, UpstreamKey},
    std::rc::Rc,
};

/// Bytes of an answer that are gathered before any is passed on, so that one that breaks off early can be asked for
/// again.
const ANSWER_GATHERED_BYTES: usize = 64 << 10;

/// Sends a request to an upstream and reads its answer.
pub async fn exchange<A: PlatformAdapter>(
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
    match told.and_then(|told| node.adapter.load(told)) {
        Some(load) => node.hear_load(key, load),
        None => node.pool.borrow_mut().heard_nothing(key),
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
