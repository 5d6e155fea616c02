//! Serves requests that other nodes forward because they do not reach the service themselves.
//!
//! Only nodes of the fleet may use this way: the sender has charged the quota of the request's account, so it
//! is not charged here. All else is checked again by this node's configuration.

use {
    crate::{
        answer::{Refused, refusal_response},
        connections::RelayBody,
        node::Node,
        peer_attempt::{FORWARDED, REFUSED, VERSION},
        serve::serve_unpipelined,
        traffic::{self, RequestOrigin},
    },
    hyper::{HeaderMap, Request, Response, body::Incoming, header::HeaderValue, service::service_fn},
    pointvane_core::{ErrorKind, PlatformAdapter},
    pointvane_dispatch::{ForwardedRequest, Reach},
    pointvane_telemetry::EventKind,
    std::{convert::Infallible, net::IpAddr, rc::Rc},
    tokio::net::TcpStream,
};

/// Serves a connection of another node until it is closed.
pub async fn serve<A: PlatformAdapter + 'static>(node: Rc<Node<A>>, stream: TcpStream) {
    // `peer_addr` fails if the peer has already closed the connection.
    let Ok(peer) = stream.peer_addr() else { return };
    if !node.fleet.is_member(peer.ip()) {
        node.report.refused_peer_connection();
        let kind = EventKind::PeerConnectionRefused { from: peer.ip() };
        node.report.record_rate_limited(node.now_us(), kind);
        return;
    }
    let service_node = Rc::clone(&node);
    let service = service_fn(move |request| answer(Rc::clone(&service_node), request, peer.ip()));
    serve_unpipelined(&node, stream, service).await;
}

async fn answer<A: PlatformAdapter + 'static>(
    node: Rc<Node<A>>,
    request: Request<Incoming>,
    peer: IpAddr,
) -> Result<Response<RelayBody>, Infallible> {
    let (mut head, body) = request.into_parts();
    let id = head.headers.get(&node.headers.request_id).cloned();
    let version = node.dispatcher.routes().version();
    let answer = match accept(&node, &mut head.headers) {
        Ok(forwarded) => {
            let origin = RequestOrigin { caller: peer, at_us: node.now_us(), forwarded: Some(forwarded) };
            traffic::answer_or_refusal(Rc::clone(&node), head, Some(body), origin).await
        }
        Err(refused) => Err(refused.into()),
    };
    let mut response = match answer {
        Ok(mut response) => {
            response.headers_mut().remove(REFUSED);
            response
        }
        Err(refused) => refusal(&node, refused, id),
    };
    response.headers_mut().remove(FORWARDED);
    response.headers_mut().insert(VERSION, HeaderValue::from(version));
    Ok(response)
}

/// Decides whether this node handles a forwarded request, before its body is read.
///
/// # Errors
/// Why it does not.
fn accept<A: PlatformAdapter>(
    node: &Node<A>,
    headers: &mut HeaderMap,
) -> Result<ForwardedRequest, ErrorKind> {
    let text = headers.remove(FORWARDED).ok_or(ErrorKind::BadRequest)?;
    let text = text.to_str().map_err(|_| ErrorKind::BadRequest)?;
    let forwarded: ForwardedRequest = text.parse().map_err(|_| ErrorKind::BadRequest)?;
    if !node.lifecycle.is_running() {
        return Err(ErrorKind::Stopping);
    }
    // An older configuration may send the request where the newer one no longer does.
    if !node.has_platform_state() || node.dispatcher.routes().version() < forwarded.version {
        return Err(ErrorKind::NotReady);
    }
    let reach = node.dispatcher.pool().reach(&forwarded.service, node.now_us());
    if matches!(reach, Reach::Lost { .. }) {
        return Err(ErrorKind::UpstreamUnreachable);
    }
    Ok(forwarded)
}

/// Builds the response to a refused request, with the kind of error for the node that forwarded it.
fn refusal<A: PlatformAdapter>(
    node: &Node<A>,
    refused: Refused,
    id: Option<HeaderValue>,
) -> Response<RelayBody> {
    node.report.refused_forwarded(refused.kind);
    let mut response = refusal_response(node, refused, id);
    response.headers_mut().insert(REFUSED, HeaderValue::from_static(refused.kind.answer().name));
    response
}
