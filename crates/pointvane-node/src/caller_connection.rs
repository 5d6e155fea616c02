//! Serves a caller's connection: requests are read ahead and answered in order (HTTP/1.1 pipelining).

use {
    crate::{
        connections::RelayBody,
        node::Node,
        pipeline::Pipeline,
        read_ahead::ReadAhead,
        serve::{head_bytes_max, serve_http},
        traffic,
    },
    hyper::{
        Request, Response,
        body::Incoming,
        header::{CONNECTION, HeaderValue},
        service::service_fn,
    },
    pointvane_core::PlatformAdapter,
    std::{convert::Infallible, rc::Rc},
    tokio::net::TcpStream,
};

/// Serves a caller's connection until it is closed.
pub async fn serve<A: PlatformAdapter + 'static>(node: Rc<Node<A>>, stream: TcpStream) {
    // `peer_addr` fails if the peer has already closed the connection.
    let Ok(peer) = stream.peer_addr() else { return };
    let pipeline = Rc::new(Pipeline::new(Rc::clone(&node), peer.ip()));
    let bytes_max = node.dispatcher.pipeline.bytes_max;
    let stream = ReadAhead::new(stream, Rc::clone(&pipeline), head_bytes_max(&node), bytes_max);
    let service_node = Rc::clone(&node);
    let service_pipeline = Rc::clone(&pipeline);
    let service = service_fn(move |request| {
        serve_request(Rc::clone(&service_node), Rc::clone(&service_pipeline), request)
    });
    // Requests that were forwarded early are answered before the connection closes.
    let closing = async {
        node.lifecycle.closing().await;
        pipeline.early_answers_finished().await;
    };
    serve_http(&node, stream, service, closing).await;
}

/// Answers the oldest unanswered request of the connection.
async fn serve_request<A: PlatformAdapter + 'static>(
    node: Rc<Node<A>>,
    pipeline: Rc<Pipeline<A>>,
    request: Request<Incoming>,
) -> Result<Response<RelayBody>, Infallible> {
    let (head, body) = request.into_parts();
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
    // After a response with `Connection: close`, callers treat later pipelined requests as not processed, so
    // it is sent only once none of them was forwarded.
    if !node.lifecycle.is_running() && !pipeline.has_early_answers() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    pipeline.answered();
    Ok(response)
}
