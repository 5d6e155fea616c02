//! Listeners, and the HTTP connections that they accept.

use {
    crate::{
        connections::RelayBody,
        node::Node,
        response_deadline::ResponseDeadline,
        served::{ServeError, Served},
        socket,
    },
    eyre::{Result, WrapErr},
    hyper::{
        Request, Response,
        body::Incoming,
        server::conn::http1,
        service::{HttpService, service_fn},
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    pointvane_core::PlatformAdapter,
    pointvane_serve::{LentStream, lend},
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
                    if let Ok((stream, _)) = accepted && socket::enable_keepalive(&stream).is_ok() {
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
    serve_unpipelined(&node, stream, service).await;
}

/// Serves a connection whose stream is not wrapped, and closes it.
pub async fn serve_unpipelined<A, S>(node: &Node<A>, stream: TcpStream, service: S)
where
    A: PlatformAdapter,
    S: HttpService<Incoming, ResBody = RelayBody, Error = Infallible>,
{
    // Never started: the node that sent the request applies the deadline, and other responses are short.
    let deadline = ResponseDeadline::default();
    let served = serve_http(node, stream, |stream| stream, service, node.lifecycle.closing(), &deadline);
    served.await.close().await;
}

/// Longest request head that is read, in bytes.
pub fn head_bytes_max<A: PlatformAdapter>(node: &Node<A>) -> usize {
    node.dispatcher.routes().limits().header_bytes_max.max(READ_BUFFER_BYTES_MIN)
}

/// Serves a connection until its caller closes it; after `closing` completes, until it is idle.
///
/// `wrap` is applied to the stream that the HTTP server reads from and writes to; `deadline` is that of the
/// response that it sends.
pub async fn serve_http<'n, A, I, S>(
    node: &'n Node<A>,
    stream: TcpStream,
    wrap: impl FnOnce(LentStream) -> I,
    service: S,
    closing: impl Future<Output = ()>,
    deadline: &ResponseDeadline,
) -> Served<'n, A>
where
    A: PlatformAdapter,
    I: AsyncRead + AsyncWrite + Unpin + 'static,
    S: HttpService<Incoming, ResBody = RelayBody, Error = Infallible>,
{
    let open = node.lifecycle.connection_opened();
    let (stream, lender) = lend(stream, Some(idle_time(node)));
    let served = tokio::select! {
        served = serve_until_end(node, wrap(stream), service, closing) => served.map_err(ServeError::Http),
        () = deadline.passed() => Err(ServeError::Overdue),
    };
    Served::new(node, lender.take(), served.err(), open)
}

/// Maximum time between two requests of a connection.
pub fn idle_time<A: PlatformAdapter>(node: &Node<A>) -> Duration {
    let limits = node.dispatcher.routes().limits();
    Duration::from_millis(limits.idle_timeout_ms.max(limits.header_timeout_ms))
}

/// Runs the HTTP server on a connection, and drops it with the stream.
async fn serve_until_end<A, I, S>(
    node: &Node<A>,
    stream: I,
    service: S,
    closing: impl Future<Output = ()>,
) -> hyper::Result<()>
where
    A: PlatformAdapter,
    I: AsyncRead + AsyncWrite + Unpin + 'static,
    S: HttpService<Incoming, ResBody = RelayBody, Error = Infallible>,
{
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).max_buf_size(head_bytes_max(node)).header_read_timeout(idle_time(node));
    let mut served = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        served = served.as_mut() => return served,
        () = closing => {}
    }
    served.as_mut().graceful_shutdown();
    served.await
}
