//! Listeners, and the HTTP connections that they accept.

use {
    crate::{
        connections::RelayBody, lifecycle::OpenConnection, node::Node, response_deadline::ResponseDeadline,
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
    pointvane_serve::{CloseLimits, CloseResult, Closed, LentStream, lend, reset},
    std::{convert::Infallible, error::Error, io, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        io::{AsyncRead, AsyncWrite},
        net::{TcpListener, TcpStream},
        task::spawn_local,
    },
};

/// Smallest read buffer that `hyper` accepts, in bytes.
const READ_BUFFER_BYTES_MIN: usize = 8_192;

/// Accepts connections until the node closes, and serves each with `serve_connection` once `configure` has set
/// its socket options.
///
/// # Errors
/// When binding the address fails.
pub async fn listen<A, C, F>(
    node: Rc<Node<A>>,
    address: SocketAddr,
    configure: fn(&TcpStream) -> io::Result<()>,
    serve_connection: C,
) -> Result<()>
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
                    if let Ok((stream, _)) = accepted && configure(&stream).is_ok() {
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
    // No deadline is ever set: the node that asked has one, and other responses are short.
    let deadline = ResponseDeadline::default();
    let served = serve_http(node, stream, |stream| stream, service, node.lifecycle.closing(), &deadline);
    served.await.close().await;
}

/// Longest request head that is read, in bytes.
pub fn head_bytes_max<A: PlatformAdapter>(node: &Node<A>) -> usize {
    node.dispatcher.routes().limits().header_bytes_max.max(READ_BUFFER_BYTES_MIN)
}

/// Why the server of a connection ended before its caller closed it.
#[derive(Debug)]
enum ServeError {
    /// The connection, or the body of a response, failed.
    Http(hyper::Error),
    /// A response was not complete at the deadline of its request.
    Overdue,
}

impl ServeError {
    /// The I/O error of the connection that caused this, if one did.
    fn io_error(&self) -> Option<&io::Error> {
        match self {
            // The body of a response broke off, which says nothing of the connection that it is sent on.
            Self::Http(error) if error.is_user() => None,
            Self::Http(error) => io_source(error),
            Self::Overdue => None,
        }
    }
}

/// Why a response whose first bytes were sent is incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IncompleteReason {
    /// The upstream broke it off.
    BrokeOff,
    /// It was not complete at the deadline of its request.
    Overdue,
}

impl IncompleteReason {
    /// Name in metrics and log lines.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BrokeOff => "broke-off",
            Self::Overdue => "overdue",
        }
    }
}

/// A connection whose server has ended, and which must be closed.
pub struct Served<'n, A: PlatformAdapter> {
    node: &'n Node<A>,
    stream: Option<TcpStream>,
    error: Option<ServeError>,
    _open: OpenConnection,
}

impl<A: PlatformAdapter> Served<'_, A> {
    /// Why a response is incomplete, if the server ended for that.
    pub fn incomplete_response(&self) -> Option<IncompleteReason> {
        match &self.error {
            Some(ServeError::Overdue) => Some(IncompleteReason::Overdue),
            Some(ServeError::Http(error)) if error.is_user() => Some(IncompleteReason::BrokeOff),
            _ => None,
        }
    }

    /// Closes the connection, and returns how it ended.
    pub async fn close(mut self) -> Closed {
        let limits = CloseLimits {
            idle_time: idle_time(self.node),
            bytes_max: self.node.dispatcher.routes().limits().body_bytes_max,
        };
        let closed = match (self.error.as_ref().and_then(ServeError::io_error), self.stream.take()) {
            (None, Some(stream)) => self.node.closing_connections.close(stream, limits).await,
            (error, _) => {
                let result = error.map_or(CloseResult::Reset, CloseResult::of_error);
                Closed { result, dropped_bytes: 0 }
            }
        };
        self.node.report.connection_closed(closed.result);
        closed
    }

    /// Resets the connection.
    pub fn reset(mut self) -> Option<Closed> {
        let closed = self.stream.take().map(reset);
        closed.iter().for_each(|closed| self.node.report.connection_closed(closed.result));
        closed
    }
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
    Served { node, stream: lender.take(), error: served.err(), _open: open }
}

/// Maximum time between two requests of a connection.
fn idle_time<A: PlatformAdapter>(node: &Node<A>) -> Duration {
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

/// The first I/O error among the causes of an error.
fn io_source(error: &hyper::Error) -> Option<&io::Error> {
    let mut source = error.source();
    while let Some(error) = source {
        if let Some(error) = error.downcast_ref::<io::Error>() {
            return Some(error);
        }
        source = error.source();
    }
    None
}
