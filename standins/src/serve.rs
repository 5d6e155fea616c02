//! HTTP/1.1 server of the stand-ins.

use {
    bytes::Bytes,
    hyper::{
        Request, Response,
        body::{Body, Frame, Incoming, SizeHint},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::TokioIo,
    std::{
        fmt, io, mem,
        net::SocketAddr,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll, ready},
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        time::{Sleep, sleep},
    },
};

/// Response of a stand-in.
pub type StandInResponse = Response<StandInBody>;

/// Response body whose `content-length` may exceed the bytes that are sent.
#[derive(Debug, Default)]
pub struct StandInBody {
    bytes: Bytes,
    missing_bytes: u64,
    abort_delay: Option<Pin<Box<Sleep>>>,
}

/// Time between the last byte that is sent and the abort of the connection.
const ABORT_DELAY: Duration = Duration::from_millis(50);

impl StandInBody {
    /// Announces `missing_bytes` more bytes than are sent; the connection is aborted after the bytes there are.
    pub fn abort_after_body(&mut self, missing_bytes: u64) {
        self.missing_bytes = missing_bytes;
        self.abort_delay = Some(Box::pin(sleep(ABORT_DELAY)));
    }
}

impl Body for StandInBody {
    type Data = Bytes;
    type Error = ConnectionAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ConnectionAborted>>> {
        if !self.bytes.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(mem::take(&mut self.bytes)))));
        }
        if let Some(abort_delay) = &mut self.abort_delay {
            ready!(abort_delay.as_mut().poll(cx));
        }
        Poll::Ready((self.missing_bytes > 0).then_some(Err(ConnectionAborted)))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty() && self.missing_bytes == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.len() as u64 + self.missing_bytes)
    }
}

/// Error that makes the server abort the connection, without a response or within its body.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionAborted;

impl fmt::Display for ConnectionAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection aborted as configured")
    }
}

impl std::error::Error for ConnectionAborted {}

/// Request handler of a stand-in.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request; `None` aborts the connection without a response.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Option<StandInResponse>> + Send;
}

/// Listens on an address and serves until the runtime shuts down; the first request of each connection waits for
/// `connect_delay`.
///
/// # Errors
/// When the address cannot be bound.
pub async fn serve<H: Handler>(
    address: SocketAddr,
    handler: Arc<H>,
    connect_delay: Duration,
) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let handler = Arc::clone(&handler);
            tokio::spawn(async move {
                sleep(connect_delay).await;
                let _ = stream.set_nodelay(true);
                let service = service_fn(|request| {
                    let handler = Arc::clone(&handler);
                    async move { handler.handle(request).await.ok_or(ConnectionAborted) }
                });
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
    Ok(())
}

/// Parses a parameter of the query string; `None` if it is absent or does not parse.
pub fn query_parameter<T: std::str::FromStr>(request: &Request<Incoming>, name: &str) -> Option<T> {
    let pairs = request.uri().query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name)?.1.parse().ok()
}

/// Creates a response from a status code and a body.
pub fn new_response(status: u16, body: impl Into<Bytes>) -> StandInResponse {
    let mut response = Response::new(StandInBody { bytes: body.into(), missing_bytes: 0, abort_delay: None });
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    response
}
