//! Listeners, and the HTTP connections that they accept.

use {
    crate::{connections::RelayBody, node::Node, socket},
    eyre::{Result, WrapErr},
    hyper::{
        Request, Response,
        body::Incoming,
        server::conn::http1,
        service::{HttpService, service_fn},
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    pointvane_core::PlatformAdapter,
    std::{convert::Infallible, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncRead, AsyncWrite},
        net::{TcpListener, TcpStream},
        task::spawn_local,
    },
};

/// Smallest read buffer that `hyper` accepts, in bytes.
const READ_BUFFER_BYTES_MIN: usize = 8_192;

/// Accepts connections until the node closes, and serves each with `serve_connection`.
///
/// # Errors
/// When binding the address fails.
pub async fn listen<A, C, F>(node: Rc<Node<A>>, address: SocketAddr, serve_connection: C) -> Result<()>
where
    A: PlatformAdapter + 'static,
    C: Fn(Rc<Node<A>>, TcpStream) -> F + 'static,
    F: Future<Output = ()> + 'static,
{
    let listener = TcpListener::bind(address).await.wrap_err_with(|| format!("listening on {address}"))?;
    spawn_local(async move {
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    // An accept error concerns a single connection; its caller sees it fail.
                    if let Ok((stream, _)) = accepted && socket::enable_dead_peer_detection(&stream).is_ok() {
                        spawn_local(serve_connection(Rc::clone(&node), stream));
                    }
                }
                () = node.lifecycle.closing() => return,
            }
        }
    });
    Ok(())
}

/// Serves a connection, passing its requests to `handle` one at a time.
pub async fn serve_sequentially<A, H, F>(node: Rc<Node<A>>, stream: TcpStream, handle: H)
where
    A: PlatformAdapter + 'static,
    H: Fn(Rc<Node<A>>, Request<Incoming>) -> F + 'static,
    F: Future<Output = Result<Response<RelayBody>, Infallible>> + 'static,
{
    let service_node = Rc::clone(&node);
    let service = service_fn(move |request| handle(Rc::clone(&service_node), request));
    serve_http(&node, stream, service, node.lifecycle.closing()).await;
}

/// Longest request head that is read, in bytes.
pub fn head_bytes_max<A: PlatformAdapter>(node: &Node<A>) -> usize {
    node.dispatcher.routes().limits().header_bytes_max.max(READ_BUFFER_BYTES_MIN)
}

/// Serves a connection until its caller closes it; after `closing` completes, until it is idle.
pub async fn serve_http<A, S>(
    node: &Node<A>,
    stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
    service: S,
    closing: impl Future<Output = ()>,
) where
    A: PlatformAdapter,
    S: HttpService<Incoming, ResBody = RelayBody, Error = Infallible>,
{
    let limits = node.dispatcher.routes().limits();
    let _open = node.lifecycle.connection_opened();
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .max_buf_size(head_bytes_max(node))
        .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms.max(limits.header_timeout_ms)));
    let mut served = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        _ = served.as_mut() => return,
        () = closing => {}
    }
    served.as_mut().graceful_shutdown();
    // An error concerns this connection only; its caller sees it fail.
    _ = served.await;
}
