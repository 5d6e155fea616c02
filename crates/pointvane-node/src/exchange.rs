//! Sends a request to one upstream and reads the response.

use {
    crate::{
        body_buffer::buffer_answer_body,
        connections::{Connection, RelayBody},
        cross_traffic::TrafficKind,
        end_check::with_end_check,
        head_wait::{self, AwaitedAnswer, SendResult},
        memory::BodyMemory,
        node::Node,
        quota::QuotaCharge,
        request::{CallerRequest, strip_hop_by_hop_headers},
    },
    hyper::{
        HeaderMap, Request, Response, StatusCode,
        header::{AUTHORIZATION, HeaderValue, RETRY_AFTER},
        http::response::Parts,
    },
    pointvane_core::{PlatformAdapter, US_PER_MS},
    pointvane_dispatch::{
        AttemptOutcome, ConnectionKind, ConnectionPurpose, Ineligible, NotRunReason, UpstreamKey,
    },
    pointvane_serve::{CheckedBody, FaultHandling, ResponseFault, SendError, skip_body},
    pointvane_telemetry::EventKind,
    std::rc::Rc,
    tokio::time::Instant,
};

/// Bytes of a response that are buffered before any is relayed, so that a request whose response breaks off
/// early can be retried. Bounds the memory of a response.
const ANSWER_BUFFER_BYTES: usize = 64 << 10;

/// Longest `Retry-After` value that a log line shows, in bytes: longer than any number of seconds or HTTP
/// date.
const RETRY_AFTER_SHOWN_BYTES: usize = 40;

/// Result of sending a request to an upstream.
#[derive(Debug)]
pub struct ExchangeResult {
    /// The response, or the outcome if there is none that can be relayed.
    pub answer: Result<Response<RelayBody>, AttemptOutcome>,
    /// `Retry-After` of the response as the upstream wrote it, for log lines.
    pub retry_after: Option<String>,
}

/// A response whose head was received.
struct Answer {
    head: Parts,
    body: CheckedBody,
    connection: Connection,
    /// When its request was sent, in microseconds of the monotonic clock.
    sent_at_us: u64,
}

/// Sends a request to an upstream and reads the response.
pub async fn exchange<A: PlatformAdapter + 'static>(
    node: &Rc<Node<A>>,
    request: &CallerRequest,
    key: UpstreamKey,
) -> ExchangeResult {
    match send(node, request, key).await {
        Ok(answer) => {
            let retry_after = retry_after_text(&answer.head);
            ExchangeResult { answer: read_answer(node, request, key, answer).await, retry_after }
        }
        Err(outcome) => ExchangeResult { answer: Err(outcome), retry_after: None },
    }
}

/// The value of `Retry-After`, truncated to [`RETRY_AFTER_SHOWN_BYTES`].
fn retry_after_text(head: &Parts) -> Option<String> {
    let value = head.headers.get(RETRY_AFTER)?.as_bytes();
    Some(String::from_utf8_lossy(&value[..value.len().min(RETRY_AFTER_SHOWN_BYTES)]).into())
}

/// Processes the head of a response, then reads its body.
async fn read_answer<A: PlatformAdapter + 'static>(
    node: &Rc<Node<A>>,
    request: &CallerRequest,
    key: UpstreamKey,
    answer: Answer,
) -> Result<Response<RelayBody>, AttemptOutcome> {
    node.record_load(key, node.load_report(&answer.head.headers));
    let id = request.headers.get(&node.headers.request_id);
    if answer.head.headers.get(&node.headers.request_id) != id {
        // The response belongs to another request; so may all that follows on this connection.
        answer.connection.refuse(ResponseFault::OtherRequest);
        report_malformed(node, request, key, ResponseFault::OtherRequest, FaultHandling::Refused);
        return Err(AttemptOutcome::Broken);
    }
    // Applied before the body is read, so that no other request is sent to an upstream that asked for a
    // pause.
    if node.is_own_answer(answer.head.status, &answer.head.headers, id) {
        node.apply_notices(key, answer.head.status, &answer.head.headers, Some(answer.sent_at_us));
    }
    // A streamed request body may still be in transit when the response arrives, so its connection is not
    // reused.
    let reusable = request.body.is_some();
    let not_run = answer.head.headers.contains_key(&node.headers.not_run);
    if not_run || answer.head.status == StatusCode::MISDIRECTED_REQUEST {
        node.dispatcher.pool_mut().record_valid_response(key);
        return Err(refusal_outcome(answer, reusable).await);
    }
    read_own_body(node, request, key, answer, reusable).await
}

/// Reads the body of a response to this request. A connection that is `reusable` returns to the pool after it.
async fn read_own_body<A: PlatformAdapter + 'static>(
    node: &Rc<Node<A>>,
    request: &CallerRequest,
    key: UpstreamKey,
    answer: Answer,
    reusable: bool,
) -> Result<Response<RelayBody>, AttemptOutcome> {
    let Answer { head, body, connection, .. } = answer;
    let body = with_end_check(node, key, &connection, body);
    let deadline = node.instant_of(request.answer_deadline_us);
    let response = read_body(head, body, connection, reusable, &node.body_memory, deadline).await;
    match response {
        Ok(response) => {
            node.dispatcher.pool_mut().record_valid_response(key);
            Ok(response)
        }
        Err(fault) => {
            report_malformed(node, request, key, fault, FaultHandling::Refused);
            Err(AttemptOutcome::Broken)
        }
    }
}

/// Sends a request and waits for the head of the response.
async fn send<A: PlatformAdapter + 'static>(
    node: &Rc<Node<A>>,
    request: &CallerRequest,
    key: UpstreamKey,
) -> Result<Answer, AttemptOutcome> {
    let address = node.dispatcher.pool().get(key).map(|state| state.address());
    let address = address.ok_or(AttemptOutcome::Withheld(Ineligible::Gone))?;
    let is_repeatable = request.routed.route.kind.is_repeatable();
    let purpose = ConnectionPurpose::request(is_repeatable, request.sends.get());
    let began_us = node.now_us();
    let connection = node.dispatcher.connections.get(address, purpose).await;
    let connection = connection.map_err(|error| {
        node.report.connect_failed(error);
        node.record_silence(key, ConnectionKind::New, began_us);
        AttemptOutcome::Unreachable
    })?;
    let kind = connection.kind();
    // The clock is read again right before the first byte is sent, since the process may have been suspended.
    let now_us = node.now_us();
    if request.answer_deadline_us <= now_us {
        return Err(AttemptOutcome::Expired);
    }
    // Checked before a streamed body is taken, after which the request cannot go to another upstream.
    begin_send(node, request, key, now_us)?;
    let outgoing = outgoing(node, request, key, now_us).ok_or(AttemptOutcome::Unsent)?;
    request.charge.iter().for_each(QuotaCharge::commit);
    request.sends.set(request.sends.get() + 1);
    let sent = send_over(node, request, key, connection, outgoing).await;
    if matches!(&sent, Some((_, Err(_)))) && kind == ConnectionKind::New {
        // An upstream that closes a reused connection may only have forgotten it.
        node.record_silence(key, kind, now_us);
    }
    sent.ok_or(AttemptOutcome::Broken).and_then(|sent| send_result(sent, request, now_us))
}

/// Sends a request over a connection and waits for the head of the response; none if the wait was abandoned.
async fn send_over<A: PlatformAdapter + 'static>(
    node: &Rc<Node<A>>,
    request: &CallerRequest,
    key: UpstreamKey,
    connection: Connection,
    outgoing: Request<RelayBody>,
) -> Option<SendResult> {
    let kind = connection.kind();
    let id = request.headers.get(&node.headers.request_id).cloned();
    let awaited = AwaitedAnswer { key, id, answer_deadline_us: request.answer_deadline_us };
    let traffic = node.upstream_traffic(key, TrafficKind::Request);
    traffic.sent(&connection, &outgoing);
    let sent = head_wait::send(node, connection, outgoing, awaited).await;
    match &sent {
        Some((connection, Ok(response))) => {
            traffic.received(response);
            node.record_contact(key, kind);
            if let Some(fault) = connection.repaired() {
                report_malformed(node, request, key, fault, FaultHandling::Repaired);
            }
        }
        Some((_, Err(SendError::Malformed(fault)))) => {
            report_malformed(node, request, key, *fault, FaultHandling::Refused)
        }
        Some((_, Err(_))) | None => {}
    }
    sent
}

/// Writes a line on a malformed response to a request, and records it if it was refused.
fn report_malformed<A: PlatformAdapter>(
    node: &Node<A>,
    request: &CallerRequest,
    key: UpstreamKey,
    fault: ResponseFault,
    handling: FaultHandling,
) {
    if handling == FaultHandling::Refused {
        node.record_malformed(key, fault);
    }
    let Some((service, upstream)) = node.service_and_id(key) else { return };
    node.report.failure(node.now_us(), || EventKind::ResponseMalformed {
        request: request.id.clone(),
        service,
        upstream,
        reason: fault.as_str().into(),
        refused: handling == FaultHandling::Refused,
    });
}

/// Converts the result of a send to the head of the response, or the outcome if there is none.
fn send_result(
    (connection, answer): SendResult,
    request: &CallerRequest,
    sent_at_us: u64,
) -> Result<Answer, AttemptOutcome> {
    match answer {
        Ok(response) => {
            let (head, body) = response.into_parts();
            Ok(Answer { head, body, connection, sent_at_us })
        }
        Err(SendError::Unsent(_)) if request.body.is_some() => {
            request.sends.set(request.sends.get() - 1);
            Err(AttemptOutcome::Unsent)
        }
        // Part of a streamed body may already be consumed, so the request counts as sent.
        Err(SendError::Unsent(_) | SendError::Broken | SendError::Malformed(_)) => {
            Err(AttemptOutcome::Broken)
        }
    }
}

/// Replaces the API key by the name of its account; none if the name is not a valid header value.
fn set_account<A: PlatformAdapter>(
    node: &Node<A>,
    request: &CallerRequest,
    headers: &mut HeaderMap,
) -> Option<()> {
    if request.key.is_some() && node.dispatcher.routes().has_accounts() {
        headers.remove(AUTHORIZATION);
    }
    if let Some(account) = &request.routed.account {
        let name = HeaderValue::from_str(account.name.as_str()).ok()?;
        headers.insert(node.headers.account.clone(), name);
    }
    Some(())
}

/// Checks again whether the request may be sent to the upstream, since the state may have changed during the
/// search.
fn begin_send<A: PlatformAdapter>(
    node: &Node<A>,
    request: &CallerRequest,
    key: UpstreamKey,
    now_us: u64,
) -> Result<(), AttemptOutcome> {
    // The key may have been revoked.
    if !node.is_key_still_valid(request) {
        return Err(AttemptOutcome::Unauthorized);
    }
    // The request may have crashed upstreams that other nodes sent it to.
    if !node.try_begin_send(request, now_us) {
        return Err(AttemptOutcome::Quarantined);
    }
    // The upstream may have been evacuated or have started to drain.
    node.dispatcher.pool_mut().begin_send(key, now_us).map_err(AttemptOutcome::Withheld)
}

/// Reads the body of a response that marks the request as not run, so that its connection can be reused.
async fn refusal_outcome(answer: Answer, reusable: bool) -> AttemptOutcome {
    let Answer { head, body, connection, .. } = answer;
    if reusable && skip_body(body, ANSWER_BUFFER_BYTES).await.is_ok_and(|is_complete| is_complete) {
        connection.keep(&head.headers);
    }
    AttemptOutcome::NotRun(match head.status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => NotRunReason::Busy,
        StatusCode::MISDIRECTED_REQUEST => NotRunReason::Misdirected,
        _ => NotRunReason::Other,
    })
}

/// Reads the body of a response, or its first part if it exceeds the buffer. A connection that is `reusable`
/// returns to the pool after the whole body. The rest must be sent on by the `deadline`.
///
/// # Errors
/// When the connection breaks before the buffered part is complete, or a chunk is invalid.
pub async fn read_body(
    head: Parts,
    body: CheckedBody,
    connection: Connection,
    reusable: bool,
    memory: &BodyMemory,
    deadline: Instant,
) -> Result<Response<RelayBody>, ResponseFault> {
    let buffered = match buffer_answer_body(body, ANSWER_BUFFER_BYTES, memory).await {
        Ok(buffered) => buffered,
        Err(error) => {
            let fault = ResponseFault::of_body_error(&error);
            connection.refuse(fault);
            return Err(fault);
        }
    };
    let body = match buffered.rest {
        Some(_) => RelayBody::streamed(buffered, Some(connection)).with_deadline(deadline),
        None => {
            if reusable {
                connection.keep(&head.headers);
            }
            RelayBody::whole(buffered.bytes)
        }
    };
    let mut response = Response::from_parts(head, body);
    strip_hop_by_hop_headers(response.headers_mut());
    Ok(response)
}

/// Builds the request for an upstream; none if its streamed body was already taken, or the upstream was
/// removed.
fn outgoing<A: PlatformAdapter>(
    node: &Node<A>,
    request: &CallerRequest,
    key: UpstreamKey,
    now_us: u64,
) -> Option<Request<RelayBody>> {
    let mut outgoing = request.to_outgoing()?;
    let headers = outgoing.headers_mut();
    set_account(node, request, headers)?;
    let left_ms = request.answer_deadline_us.saturating_sub(now_us) / US_PER_MS;
    headers.insert(node.headers.deadline_ms.clone(), HeaderValue::from(left_ms.max(1)));
    let pool = node.dispatcher.pool();
    // Without a valid header value for the id the upstream cannot verify the target, so nothing is sent.
    let id = HeaderValue::from_str(pool.get(key)?.id().as_str()).ok()?;
    headers.insert(node.headers.expect_upstream.clone(), id);
    Some(outgoing)
}
