//! An attempt through another node: forwards a request to a node that reaches its service, and reads the
//! response.
//!
//! The other node answers with an upstream's response, or refuses the request and names the kind of error in
//! a header. It declines, before it reads the body, if it does not reach the service either.

use {
    crate::{
        attempt::{AttemptReport, AttemptRole},
        connections::{Connection, RelayBody},
        exchange::read_body,
        fleet::ForwardChoice,
        node::Node,
        request::CallerRequest,
    },
    hyper::{
        HeaderMap, Request, Response,
        header::{HeaderName, HeaderValue, RETRY_AFTER},
        http::response::Parts,
    },
    pointvane_core::{ErrorKind, Outcome, PlatformAdapter, US_PER_MS},
    pointvane_dispatch::{
        AllowedRegions, AttemptEnd, AttemptOutcome, ConnectionPurpose, ForwardedRequest, PeerOutcome,
        attempts_to_hand_over,
    },
    pointvane_serve::{CheckedBody, SendError},
    pointvane_telemetry::EventKind,
    std::{net::SocketAddr, rc::Rc},
};

/// Header with the [`ForwardedRequest`], between nodes only.
pub const FORWARDED: HeaderName = HeaderName::from_static("pointvane-forwarded");
/// Header with the name of the [`ErrorKind`] for which a node refused a forwarded request, between nodes
/// only.
pub const REFUSED: HeaderName = HeaderName::from_static("pointvane-refused");

/// Header with the version of the configuration by which a node handled a forwarded request, between nodes
/// only.
pub const VERSION: HeaderName = HeaderName::from_static("pointvane-version");

/// Time after which a node that has not responded counts as failed when its attempt is abandoned, in
/// microseconds, in addition to the target latency of the route.
const UNRESPONSIVE_US: u64 = 500_000;
const MS_PER_S: f64 = 1_000.0;

/// The result of forwarding a request to another node.
enum PeerResult {
    /// The response of an upstream.
    Answered(Box<Response<RelayBody>>),
    /// The other node did not send the request to an upstream; another node may be tried.
    Declined,
    /// The other node handled the request and refused it.
    Refused { error: ErrorKind, retry_after_ms: Option<u32> },
    /// Nothing was sent: the node could not be reached.
    Unreachable,
    /// Nothing was sent: the deadline has passed, or the request cannot be forwarded.
    Unsent,
    /// The connection broke after part of the request may have been sent.
    Broken,
}

impl PeerResult {
    fn peer_outcome(&self) -> Option<PeerOutcome> {
        match self {
            Self::Answered(_) => Some(PeerOutcome::Accepted),
            Self::Refused { error: ErrorKind::Overloaded, .. } | Self::Declined => {
                Some(PeerOutcome::Declined)
            }
            Self::Refused { .. } => Some(PeerOutcome::Accepted),
            Self::Unreachable | Self::Broken => Some(PeerOutcome::Failed),
            Self::Unsent => None,
        }
    }

    const fn as_str(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Declined => "declined",
            Self::Refused { .. } => "refused",
            Self::Unreachable => "unreachable",
            Self::Unsent => "unsent",
            Self::Broken => "broken",
        }
    }

    fn into_report(self) -> AttemptReport {
        match self {
            Self::Answered(response) => {
                let failed = response.status().is_server_error();
                let end = AttemptEnd::Attempted(AttemptOutcome::Answered { failed });
                AttemptReport { answer: Some(*response), ..end.into() }
            }
            Self::Refused { error, retry_after_ms } => {
                AttemptReport { retry_after_ms, ..AttemptEnd::RefusedByPeer(error).into() }
            }
            Self::Declined | Self::Unreachable | Self::Unsent => {
                AttemptEnd::Attempted(AttemptOutcome::Declined).into()
            }
            Self::Broken => AttemptEnd::Attempted(AttemptOutcome::Broken).into(),
        }
    }
}

impl<A: PlatformAdapter> Node<A> {
    /// Chooses the node to forward a request to; none if there is none left.
    pub fn choose_peer(&self, request: &CallerRequest) -> Option<SocketAddr> {
        let tried = request.tried_peers.borrow();
        let choice = ForwardChoice {
            service: &request.routed.service,
            regions: AllowedRegions::of(&request.routed),
            tried: &tried,
        };
        let experience = self.dispatcher.peers_mut();
        self.fleet.choose_forward_peer(&self.settings(), &experience, choice, self.now_us())
    }
}

/// Counts a request as in flight at another node until it is dropped.
///
/// If it is dropped without [`Self::ended`] long after the request was sent, the node counts as failed.
struct PeerInFlight<A: PlatformAdapter> {
    node: Rc<Node<A>>,
    request: Rc<CallerRequest>,
    peer: SocketAddr,
    unresponsive_at_us: u64,
}

impl<A: PlatformAdapter> PeerInFlight<A> {
    fn start(node: &Rc<Node<A>>, request: &Rc<CallerRequest>, peer: SocketAddr) -> Self {
        node.dispatcher.peers_mut().started(peer);
        let target_us = request.routed.route.target_latency_ms * US_PER_MS;
        let unresponsive_at_us = node.now_us() + target_us + UNRESPONSIVE_US;
        Self { node: Rc::clone(node), request: Rc::clone(request), peer, unresponsive_at_us }
    }

    fn ended(mut self) {
        self.unresponsive_at_us = u64::MAX;
    }
}

impl<A: PlatformAdapter> Drop for PeerInFlight<A> {
    fn drop(&mut self) {
        let now_us = self.node.now_us();
        let mut peers = self.node.dispatcher.peers_mut();
        peers.finished(self.peer);
        if now_us >= self.unresponsive_at_us {
            peers.record(self.peer, &self.request.routed.service, PeerOutcome::Failed, now_us);
        }
    }
}

/// Forwards a request to another node, and reports the end of the attempt.
pub async fn peer_attempt<A: PlatformAdapter + 'static>(
    node: Rc<Node<A>>,
    request: Rc<CallerRequest>,
    peer: SocketAddr,
    role: AttemptRole,
) -> AttemptReport {
    request.tried_peers.borrow_mut().push(peer);
    let began_us = node.now_us();
    let in_flight = PeerInFlight::start(&node, &request, peer);
    let forwarded = forward(&node, &request, peer).await;
    in_flight.ended();
    let now_us = node.now_us();
    if let Some(outcome) = forwarded.peer_outcome() {
        node.dispatcher.peers_mut().record(peer, &request.routed.service, outcome, now_us);
    }
    node.report.forwarded_to_peer(forwarded.as_str());
    node.report.failure(now_us, || EventKind::RequestForwarded {
        request: request.id.clone(),
        service: request.routed.service.clone(),
        peer,
        outcome: forwarded.as_str().into(),
        hedge: role == AttemptRole::Hedge,
        took_ms: now_us.saturating_sub(began_us) / US_PER_MS,
    });
    forwarded.into_report()
}

async fn forward<A: PlatformAdapter>(
    node: &Node<A>,
    request: &CallerRequest,
    peer: SocketAddr,
) -> PeerResult {
    let is_repeatable = request.routed.route.kind.is_repeatable();
    let purpose = ConnectionPurpose::forward(is_repeatable, request.sends.get());
    let Ok(mut connection) = node.dispatcher.connections.get(peer, purpose).await else {
        return PeerResult::Unreachable;
    };
    let attempts_left = request.routed.route.attempts_max.saturating_sub(request.sends.get());
    let handed_over = attempts_to_hand_over(attempts_left, is_repeatable);
    let Some(outgoing) = outgoing(node, request, handed_over) else { return PeerResult::Unsent };
    request.charge.iter().for_each(crate::quota::QuotaCharge::commit);
    request.sends.set(request.sends.get() + handed_over);
    let traffic = node.forward_traffic(peer);
    traffic.sent(&connection, &outgoing);
    let response = connection.send(outgoing).await.inspect(|response| traffic.received(response));
    let forwarded = match response {
        Ok(response) => read_response(node, request, connection, response).await,
        Err(SendError::Unsent(_)) if request.body.is_some() => PeerResult::Unreachable,
        // Part of a streamed body may already be consumed, so the request counts as sent.
        Err(SendError::Unsent(_) | SendError::Broken | SendError::Malformed(_)) => PeerResult::Broken,
    };
    let is_unsent = match &forwarded {
        PeerResult::Declined | PeerResult::Unreachable | PeerResult::Unsent => true,
        PeerResult::Refused { error, .. } => error.answer().outcome == Outcome::NotRun,
        PeerResult::Answered(_) | PeerResult::Broken => false,
    };
    if is_unsent {
        request.sends.set(request.sends.get().saturating_sub(handed_over));
    }
    forwarded
}

/// Builds the request for another node; none if its deadline has passed, its streamed body was already taken,
/// or the name of its service is not a valid header value.
fn outgoing<A: PlatformAdapter>(
    node: &Node<A>,
    request: &CallerRequest,
    attempts_left: u32,
) -> Option<Request<RelayBody>> {
    let left_us = request.answer_deadline_us.checked_sub(node.now_us()).filter(|left_us| *left_us > 0)?;
    let routed = &request.routed;
    let forwarded = ForwardedRequest {
        version: routed.version.max(node.dispatcher.peer_version()),
        attempts_left,
        service: routed.service.clone(),
    };
    let forwarded = HeaderValue::from_str(&forwarded.to_string()).ok()?;
    let mut outgoing = request.to_outgoing()?;
    let headers = outgoing.headers_mut();
    headers.insert(FORWARDED, forwarded);
    headers.insert(node.headers.deadline_ms.clone(), HeaderValue::from((left_us / US_PER_MS).max(1)));
    Some(outgoing)
}

async fn read_response<A: PlatformAdapter>(
    node: &Node<A>,
    request: &CallerRequest,
    connection: Connection,
    response: Response<CheckedBody>,
) -> PeerResult {
    let (mut head, body) = response.into_parts();
    let error = refusal_kind(&mut head);
    if let Some(version) =
        head.headers.remove(VERSION).and_then(|version| version.to_str().ok()?.parse().ok())
    {
        node.dispatcher.record_peer_version(version);
    }
    // A streamed request body may still be in transit when the response arrives, so its connection is not
    // reused.
    let reusable = request.body.is_some();
    let deadline = node.instant_of(request.answer_deadline_us);
    let Ok(response) = read_body(head, body, connection, reusable, &node.body_memory, deadline).await else {
        return PeerResult::Broken;
    };
    match error {
        None => PeerResult::Answered(Box::new(response)),
        Some(
            ErrorKind::UpstreamUnreachable
            | ErrorKind::NoUpstream
            | ErrorKind::NotReady
            | ErrorKind::Stopping
            | ErrorKind::MemoryExhausted,
        ) => PeerResult::Declined,
        Some(error) => PeerResult::Refused { error, retry_after_ms: retry_after_ms(response.headers()) },
    }
}

/// Takes the kind of error for which the other node refused the request from its response; none if the
/// response is an upstream's.
fn refusal_kind(head: &mut Parts) -> Option<ErrorKind> {
    let name = head.headers.remove(REFUSED)?;
    let row = ErrorKind::table().iter().find(|row| row.name.as_bytes() == name.as_bytes());
    // A later version may have kinds that are not known here; such a request may have run.
    Some(row.map_or(ErrorKind::UpstreamBroken, |row| row.kind))
}

fn retry_after_ms(headers: &HeaderMap) -> Option<u32> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Some((seconds * MS_PER_S) as u32)
}
