//! Serves a caller's connection: requests are read ahead and answered in order (HTTP/1.1 pipelining).

use {
    crate::{
        answer::refusal_response,
        connections::RelayBody,
        node::Node,
        pipeline::Pipeline,
        read_ahead::ReadAhead,
        response_deadline::ResponseDeadline,
        serve::{head_bytes_max, serve_http},
        served::{IncompleteReason, Served},
        traffic,
    },
    hyper::{
        Request, Response, Version,
        body::Incoming,
        header::{CONNECTION, HeaderValue},
        service::service_fn,
    },
    pointvane_core::{ErrorKind, PlatformAdapter},
    pointvane_telemetry::EventKind,
    std::{
        cell::{Cell, RefCell},
        convert::Infallible,
        net::IpAddr,
        rc::Rc,
    },
    tokio::net::TcpStream,
};

/// The last request that was served on a connection.
#[derive(Debug, Default)]
struct LastRequest {
    /// Its id; empty if there was none.
    id: RefCell<String>,
    /// Whether only the end of the connection may delimit its response.
    is_http_1_0: Cell<bool>,
}

/// Serves a caller's connection until it is closed.
pub async fn serve<A: PlatformAdapter + 'static>(node: Rc<Node<A>>, stream: TcpStream) {
    // `peer_addr` fails if the peer has already closed the connection.
    let Ok(peer) = stream.peer_addr() else { return };
    let last_request = Rc::<LastRequest>::default();
    let served = serve_pipelined(&node, stream, peer.ip(), Rc::clone(&last_request)).await;
    let incomplete = served.incomplete_response();
    incomplete.iter().for_each(|reason| report_incomplete(&node, &last_request, *reason));
    let closed = match incomplete.is_some() && last_request.is_http_1_0.get() {
        true => served.reset(),
        false => Some(served.close().await),
    };
    let given_up = closed.filter(|closed| closed.result.is_given_up());
    if let Some(closed) = given_up.filter(|_| !last_request.id.borrow().is_empty()) {
        node.report.failure(node.now_us(), || EventKind::ConnectionGivenUp {
            caller: peer.ip(),
            request: last_request.id.take(),
            reason: closed.result.as_str().into(),
            dropped_bytes: closed.dropped_bytes,
        });
    }
}

fn report_incomplete<A: PlatformAdapter>(
    node: &Node<A>,
    last_request: &LastRequest,
    reason: IncompleteReason,
) {
    node.report.response_incomplete(reason);
    node.report.failure(node.now_us(), || EventKind::ResponseIncomplete {
        request: last_request.id.borrow().clone(),
        reason: reason.as_str().into(),
    });
}

/// Serves a connection; its pipeline has ended when it is closed, so that no request of it runs any more.
async fn serve_pipelined<A: PlatformAdapter + 'static>(
    node: &Rc<Node<A>>,
    stream: TcpStream,
    caller: IpAddr,
    last_request: Rc<LastRequest>,
) -> Served<'_, A> {
    let pipeline = Rc::new(Pipeline::new(Rc::clone(node), caller));
    let bytes_max = node.dispatcher.pipeline.bytes_max;
    let read_pipeline = Rc::clone(&pipeline);
    let read_ahead = |stream| ReadAhead::new(stream, read_pipeline, head_bytes_max(node), bytes_max);
    let service_node = Rc::clone(node);
    let service_pipeline = Rc::clone(&pipeline);
    let deadline = Rc::<ResponseDeadline>::default();
    let service_deadline = Rc::clone(&deadline);
    let service = service_fn(move |request: Request<Incoming>| {
        last_request.id.replace(service_node.headers.request_id_text(request.headers()));
        last_request.is_http_1_0.set(request.version() == Version::HTTP_10);
        let answer = serve_request(Rc::clone(&service_node), Rc::clone(&service_pipeline), request);
        let deadline = Rc::clone(&service_deadline);
        async move {
            let mut response = answer.await;
            response.iter_mut().for_each(|response| response.body_mut().apply_deadline(&deadline));
            response
        }
    });
    // Requests that were forwarded early are answered before the connection closes.
    let closing = async move {
        node.lifecycle.closing().await;
        pipeline.early_answers_finished().await;
    };
    serve_http(node, stream, read_ahead, service, closing, &deadline).await
}

/// Answers the oldest unanswered request of the connection.
async fn serve_request<A: PlatformAdapter + 'static>(
    node: Rc<Node<A>>,
    pipeline: Rc<Pipeline<A>>,
    request: Request<Incoming>,
) -> Result<Response<RelayBody>, Infallible> {
    let (head, body) = request.into_parts();
    let id = head.headers.get(&node.headers.request_id).cloned();
    let next = pipeline.take_next();
    let arrived_at_us = next.as_ref().map_or_else(|| node.now_us(), |next| next.arrived_at_us);
    let early = match next.and_then(|next| next.early) {
        Some(early) => early.take(&head).await,
        None => None,
    };
    let mut response = match early {
        Some(response) => response,
        None => traffic::answer(Rc::clone(&node), head, Some(body), pipeline.origin(arrived_at_us)).await,
    };
    if response.body().is_overdue() {
        // It waited for those before it; nothing of it was sent, so an error can still replace it.
        response = refusal_response(&node, ErrorKind::UpstreamTimeout.into(), id);
    }
    // After a response with `Connection: close`, callers treat later pipelined requests as not processed, so
    // it is sent only once none of them was forwarded.
    if !node.lifecycle.is_running() && !pipeline.has_early_answers() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    pipeline.answered();
    Ok(response)
}
