//! Serving of HTTP/1.1 by `hyper`: bounds on the number of connections, on heads and on slow senders, and a
//! planned end that cuts nothing.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use {
    hyper::{
        Request, Response,
        body::{Body, Incoming},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{convert::Infallible, io, pin::pin, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{Semaphore, watch},
    },
};

/// Pause after an accept that failed, as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Bounds on callers.
#[derive(Clone, Debug)]
pub struct ServeOptions {
    /// Most connections at once; more wait in the kernel's backlog.
    pub connections_max: usize,
    /// Largest head of a request, in bytes.
    pub head_limit_bytes: usize,
    /// Longest time for a whole head, in milliseconds; kept connections that stay idle longer are closed.
    pub head_timeout_ms: u64,
}

impl Default for ServeOptions {
    fn default() -> Self {
        Self { connections_max: 4_096, head_limit_bytes: 16_384, head_timeout_ms: 60_000 }
    }
}

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Body of the answers.
    type Body: Body<Data: Send, Error: std::error::Error + Send + Sync> + Send + 'static;

    /// Answers one request; dropped when the caller goes away.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = Response<Self::Body>> + Send;
}

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Nothing is stopping.
    Running,
    /// New connections are refused, kept ones close after what they carry.
    Closing,
}

/// Accepts connections until the phase says to close; returns at once when it does.
///
/// Each connection holds a receiver of `phase` until it has ended.
pub async fn serve<H: Handler>(
    handler: Arc<H>,
    listener: TcpListener,
    options: ServeOptions,
    mut phase: watch::Receiver<Phase>,
) {
    let places = Arc::new(Semaphore::new(options.connections_max));
    loop {
        let Ok(place) = Arc::clone(&places).acquire_owned().await else {
            return;
        };
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == Phase::Closing) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let served = serve_connection(Arc::clone(&handler), stream, options.clone(), phase.clone());
                tokio::spawn(async move {
                    // An error concerns the connection's caller alone.
                    let _ = served.await;
                    drop(place);
                });
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve_connection<H: Handler>(
    handler: Arc<H>,
    stream: TcpStream,
    options: ServeOptions,
    mut phase: watch::Receiver<Phase>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(options.head_timeout_ms))
        .max_buf_size(options.head_limit_bytes);
    let service = service_fn(|request| {
        let answer = Arc::clone(&handler).handle(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let closing = phase.wait_for(|phase| *phase == Phase::Closing);
    tokio::select! {
        ended = connection.as_mut() => return ended.map_err(io::Error::other),
        _ = closing => connection.as_mut().graceful_shutdown(),
    }
    connection.await.map_err(io::Error::other)
}
