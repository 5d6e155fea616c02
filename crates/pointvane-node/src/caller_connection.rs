//! A caller's connection: its requests are read ahead, and answered in their order.

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
    // A connection without a peer is closed already.
    let Ok(peer) = stream.peer_addr() else { return };
    let pipeline = Rc::new(Pipeline::new(Rc::clone(&node), peer.ip()));
    let bytes_max = node.dispatcher.pipeline.bytes_max;
    let stream = ReadAhead::new(stream, Rc::clone(&pipeline), head_bytes_max(&node), bytes_max);
    let service_node = Rc::clone(&node);
    let service_pipeline = Rc::clone(&pipeline);
    let service = service_fn(move |request| {
        serve_request(Rc::clone(&service_node), Rc::clone(&service_pipeline), request)
    });
    // A request that is forwarded already is answered before the connection closes.
    let closing = async {
        node.lifecycle.closing().await;
        pipeline.no_early().await;
    };
    serve_http(&node, stream, service, closing).await;
}

/// Answers the request whose turn it is.
async fn serve_request<A: PlatformAdapter + 'static>(
    node: Rc<Node<A>>,
    pipeline: Rc<Pipeline<A>>,
    request: Request<Incoming>,
) -> Result<Response<RelayBody>, Infallible> {
    let (head, body) = request.into_parts();
    let turn = pipeline.take();
    let arrived_at_us = turn.as_ref().map_or_else(|| node.now_us(), |turn| turn.arrived_at_us);
    let early = match turn.and_then(|turn| turn.early) {
        Some(early) => early.take(&head).await,
        None => None,
    };
    let mut response = match early {
        Some(response) => response,
        None => traffic::answer(Rc::clone(&node), head, Some(body), pipeline.origin(arrived_at_us)).await,
    };
    // What stands behind an answer that closes counts as not read, so it must not have been forwarded.
    if !node.lifecycle.is_running() && !pipeline.has_early() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    pipeline.answered();
    Ok(response)
}
