//! HTTP/1.1 server based on `hyper`, with limits on connections, request heads and slow senders, and a
//! graceful shutdown that completes requests in flight.
//!
//! [`ClosingConnections`] is how every connection of a caller is closed, also those of the node. [`RequestSender`] is how
//! both forms send requests, [`FramedHead`] the one rule for what the body of a response is, and [`is_end_of_body`] the
//! one for what ends it if only its connection does.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod body_framing;
mod checked_body;
mod checked_stream;
mod closed;
mod closing;
mod end_check;
mod interim_responses;
mod lent_stream;
mod request_sender;
mod response_fault;
mod send_progress;
mod skip_body;
mod write_timeout;

pub use {
    body_framing::{BodyFraming, FramedHead, has_unknown_coding},
    checked_body::{BodyError, CheckedBody},
    closed::{CloseLimits, CloseResult, Closed},
    closing::{ClosingConnections, reset},
    end_check::{EndCheck, UpstreamPresence, is_end_of_body, is_refused},
    lent_stream::{Lender, LentStream, lend},
    request_sender::{CheckedResponse, ConnectionDriver, RequestSender, SendError},
    response_fault::{FaultHandling, ResponseFault, io_source},
    skip_body::{HEALTH_BODY_BYTES_MAX, skip_body},
    write_timeout::WriteTimeout,
};

use {
    hyper::{
        Request, Response, Version,
        body::{Body, Incoming},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{
        convert::Infallible,
        pin::pin,
        sync::{Arc, Mutex, PoisonError},
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{Semaphore, watch},
    },
};

/// Pause after a failed accept, such as one that failed for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Maximum number of bytes that a caller sends after its last response, such as the rest of an upload that was
/// refused.
const DROPPED_BYTES_MAX: u64 = 64 << 20;

/// Limits on callers.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// Maximum number of concurrent connections; further ones wait in the kernel's backlog.
    pub connections_max: usize,
    /// Maximum size of a request head, in bytes.
    pub head_limit_bytes: usize,
    /// Timeout for receiving a complete request head, in milliseconds; also the idle timeout of persistent
    /// connections.
    pub head_timeout_ms: u64,
}

impl Default for ServerOptions {
    fn default() -> Self {
        Self { connections_max: 4_096, head_limit_bytes: 16_384, head_timeout_ms: 60_000 }
    }
}

/// Handles requests.
pub trait Handler: Send + Sync + 'static {
    /// Body type of responses.
    type Body: Body<Data: Send, Error: std::error::Error + Send + Sync> + Send + 'static;

    /// Handles one request; the future is dropped when the caller disconnects.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Self::Body>> + Send;

    /// Records that the connection of a caller has ended.
    fn connection_closed(&self, closed: Closed) {
        _ = closed;
    }
}

/// Phase of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShutdownPhase {
    /// No shutdown has begun.
    Running,
    /// New connections are refused; open ones close after their requests in flight.
    Closing,
}

/// Accepts connections until `phase` is [`ShutdownPhase::Closing`], then returns at once.
///
/// Each connection holds a receiver of `phase` until it ends, so the sender's receiver count shows when all
/// have ended. `closing` has those that are closing; the process ends them before it exits.
pub async fn serve<H: Handler>(
    handler: Arc<H>,
    listener: TcpListener,
    options: ServerOptions,
    closing: Arc<ClosingConnections>,
    mut phase: watch::Receiver<ShutdownPhase>,
) {
    let connection_permits = Arc::new(Semaphore::new(options.connections_max));
    loop {
        let Ok(permit) = Arc::clone(&connection_permits).acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == ShutdownPhase::Closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                // Without it, responses are only slower.
                _ = stream.set_nodelay(true);
                let (handler, options) = (Arc::clone(&handler), options.clone());
                let (closing, phase) = (Arc::clone(&closing), phase.clone());
                tokio::spawn(async move {
                    serve_and_close(handler, stream, options, phase, &closing).await;
                    drop(permit);
                });
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Serves a connection until it has ended; `phase` is held until then.
async fn serve_and_close<H: Handler>(
    handler: Arc<H>,
    stream: TcpStream,
    options: ServerOptions,
    mut phase: watch::Receiver<ShutdownPhase>,
    closing: &ClosingConnections,
) {
    let limits = CloseLimits {
        idle_time: Duration::from_millis(options.head_timeout_ms),
        bytes_max: DROPPED_BYTES_MAX,
    };
    let (stream, lender) = lend(stream, None);
    let last_version = Mutex::new(Version::HTTP_11);
    let served = serve_connection(Arc::clone(&handler), stream, options, &mut phase, &last_version).await;
    // Any other error affects only the caller of this connection.
    let broke_off = served.is_err_and(|error| error.is_user());
    let is_delimited_by_end =
        *last_version.lock().unwrap_or_else(PoisonError::into_inner) == Version::HTTP_10;
    if let Some(stream) = lender.take() {
        let closed = match broke_off && is_delimited_by_end {
            true => reset(stream),
            false => closing.close(stream, limits).await,
        };
        handler.connection_closed(closed);
    }
}

async fn serve_connection<H: Handler>(
    handler: Arc<H>,
    stream: LentStream,
    options: ServerOptions,
    phase: &mut watch::Receiver<ShutdownPhase>,
    last_version: &Mutex<Version>,
) -> hyper::Result<()> {
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(options.head_timeout_ms))
        .max_buf_size(options.head_limit_bytes);
    let service = service_fn(|request: Request<Incoming>| {
        *last_version.lock().unwrap_or_else(PoisonError::into_inner) = request.version();
        let response = Arc::clone(&handler).handle(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let closing = phase.wait_for(|phase| *phase == ShutdownPhase::Closing);
    tokio::select! {
        result = connection.as_mut() => return result,
        _ = closing => connection.as_mut().graceful_shutdown(),
    }
    connection.await
}
