//! Requests with an idempotency key: the key decides whether and on which VM the request runs.
//!
//! Each run is a separate task, so that a caller that disconnects does not cancel a run that a repeat may
//! join.

use {
    crate::{
        admit::admit,
        classify::ClassifiedRequest,
        entry::Entry,
        forward::forward,
        outgoing::OutgoingRequest,
        request_body::RequestBody,
        response::{mark_answered, proxy_entry_response},
        response_body::{ResponseBody, UpstreamBody},
        stored_response::{ResponseSender, STORED_RESPONSE_LIMIT_BYTES, StoredResponse},
    },
    bytes::{Bytes, BytesMut},
    http_body_util::BodyExt,
    hyper::{Response, http::request::Parts},
    pointvane_balance::{KeyDecision, KeyOutcome},
    pointvane_core::{ErrorKind, IdempotencyKey, Incarnation, Name, Outcome, header},
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
    },
    tokio::{
        sync::oneshot,
        time::{Instant, timeout_at},
    },
};

/// Serves a request that carries a key.
///
/// # Errors
/// The reason for which there is no response.
pub async fn serve_keyed(
    entry: &Arc<Entry>,
    request: ClassifiedRequest,
    head: Parts,
    body: RequestBody,
    key: IdempotencyKey,
) -> Result<Response<ResponseBody>, ErrorKind> {
    let (sender, receiver) = oneshot::channel();
    let decision = entry.keys().begin(&key, sender, entry.clock.since_start_ms());
    match decision {
        KeyDecision::Run(sender) => {
            entry.keyed_in_flight.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(run(Arc::clone(entry), request, head, body, key, sender));
            receiver.await.unwrap_or(Err(ErrorKind::UpstreamBroken))
        }
        KeyDecision::Joined => receiver.await.unwrap_or(Err(ErrorKind::UpstreamBroken)),
        KeyDecision::Replay(stored) => Ok(stored.response()),
        KeyDecision::Refuse(kind) => Err(kind),
        KeyDecision::Forward { vm, incarnation } => {
            forward_to_owner(entry, &request, head, body, &vm, incarnation).await
        }
    }
}

/// Refuses a request with a key for `kind` and fences the key, so that no later copy of the request runs.
///
/// Returns the error for the caller. It differs from `kind` if a copy may have run already or if another VM
/// owns the key.
pub fn reject_keyed(entry: &Entry, key: &IdempotencyKey, kind: ErrorKind) -> ErrorKind {
    let (sender, _) = oneshot::channel();
    entry.keys().refuse(key, sender, kind, entry.clock.since_start_ms())
}

async fn run(
    entry: Arc<Entry>,
    request: ClassifiedRequest,
    head: Parts,
    body: RequestBody,
    key: IdempotencyKey,
    first_sender: ResponseSender,
) {
    let outgoing = OutgoingRequest::new(&request, head);
    let result = match admit(&request).await {
        Ok(attempt) => forward(&outgoing, body, attempt, &entry.connections, &entry.counters).await,
        Err(kind) => Err(kind),
    };
    match result {
        Ok(response) => {
            finish_answered(&entry, &key, first_sender, response, outgoing.give_up_at(false)).await
        }
        Err(kind) => finish_refused(&entry, &key, first_sender, kind),
    }
    entry.keyed_in_flight.fetch_sub(1, Ordering::Relaxed);
}

fn finish_refused(entry: &Entry, key: &IdempotencyKey, first_sender: ResponseSender, kind: ErrorKind) {
    let end = match kind.answer().outcome {
        Outcome::NotRun => KeyOutcome::NotRun(kind),
        Outcome::Unknown | Outcome::Answered => KeyOutcome::Ran(None),
    };
    let waiters = entry.keys().finish(key, end);
    for sender in waiters.into_iter().chain([first_sender]) {
        // Sending fails if the caller has disconnected.
        let _ = sender.send(Err(kind));
    }
}

/// Stores a response for repeats if its body fits the limit and is complete by `until`. Otherwise the
/// response is streamed to the first caller only.
async fn finish_answered(
    entry: &Entry,
    key: &IdempotencyKey,
    first_sender: ResponseSender,
    response: Response<UpstreamBody>,
    until: Instant,
) {
    let (mut parts, mut body) = response.into_parts();
    mark_answered(&mut parts.headers);
    let (stored, first_result) = match read_prefix(&mut body, until).await {
        BodyPrefix::Complete(bytes) => {
            let stored = StoredResponse { status: parts.status, headers: parts.headers, body: bytes };
            let first_result = stored.response();
            (Some(Arc::new(stored)), Ok(first_result))
        }
        BodyPrefix::Partial(bytes) => {
            (None, Ok(Response::from_parts(parts, ResponseBody::Prefixed(Some(bytes), body))))
        }
        BodyPrefix::Failed => (None, Err(ErrorKind::UpstreamBroken)),
    };
    let waiters = entry.keys().finish(key, KeyOutcome::Ran(stored.clone()));
    for sender in waiters {
        let result = stored.as_ref().map(|stored| stored.response()).ok_or(ErrorKind::AnswerNotKept);
        let _ = sender.send(result);
    }
    let _ = first_sender.send(first_result);
}

enum BodyPrefix {
    Complete(Bytes),
    Partial(Bytes),
    Failed,
}

/// Reads a body until it ends, exceeds the limit for stored responses, or `until` is reached.
async fn read_prefix(body: &mut UpstreamBody, until: Instant) -> BodyPrefix {
    let mut bytes = BytesMut::new();
    while bytes.len() <= STORED_RESPONSE_LIMIT_BYTES {
        let frame = match timeout_at(until, body.frame()).await {
            Err(_) => break,
            Ok(None) => return BodyPrefix::Complete(bytes.freeze()),
            Ok(Some(Err(_))) => return BodyPrefix::Failed,
            Ok(Some(Ok(frame))) => frame,
        };
        if let Ok(data) = frame.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    BodyPrefix::Partial(bytes.freeze())
}

/// Forwards a request to the entry VM that owns its key; only the owner may run it.
///
/// A request that has already been forwarded is not forwarded again.
async fn forward_to_owner(
    entry: &Arc<Entry>,
    request: &ClassifiedRequest,
    mut head: Parts,
    body: RequestBody,
    vm: &Name,
    incarnation: Incarnation,
) -> Result<Response<ResponseBody>, ErrorKind> {
    if head.headers.contains_key(header::FORWARDED_BY) {
        return Err(ErrorKind::KeyOwnerGone);
    }
    let owner = entry.members().entry_address(vm, incarnation).ok_or(ErrorKind::KeyOwnerGone)?;
    let own_name = entry.settings.vm.name.as_str().parse().map_err(|_| ErrorKind::BadRequest)?;
    head.headers.insert(header::FORWARDED_BY, own_name);
    let outgoing = OutgoingRequest::new(request, head);
    send_to_owner(entry, &outgoing, body, owner).await
}

async fn send_to_owner(
    entry: &Entry,
    outgoing: &OutgoingRequest<'_>,
    body: RequestBody,
    owner: SocketAddr,
) -> Result<Response<ResponseBody>, ErrorKind> {
    let connection = entry.connections.acquire(owner).await;
    let mut connection = connection.map_err(|_| ErrorKind::KeyOwnerGone)?;
    let streaming = !body.is_empty();
    let pending = connection.send(outgoing.build(body));
    let result = timeout_at(outgoing.give_up_at(streaming), pending).await;
    // An earlier copy may have run at the owner, so the outcome is unknown even if this request was not sent.
    let response = result.map_err(|_| ErrorKind::UpstreamTimeout)?.map_err(|_| ErrorKind::KeyOwnerGone)?;
    let response = response
        .map(|body| UpstreamBody::new(body, connection, None, pointvane_balance::AttemptOutcome::Answered));
    Ok(proxy_entry_response(response))
}
