//! Serving of HTTP/1.1 for the stand-ins.

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

/// An answer of a stand-in.
pub type Answer = Response<AnswerBody>;

/// A body that may promise more than comes.
#[derive(Debug, Default)]
pub struct AnswerBody {
    bytes: Bytes,
    missing: u64,
    pause: Option<Pin<Box<Sleep>>>,
}

/// Time between the last byte that comes and the end of a connection that breaks off.
const CUT_PAUSE: Duration = Duration::from_millis(50);

impl AnswerBody {
    /// Promises that many more bytes, before which the connection breaks off.
    pub fn cut(&mut self, missing: u64) {
        self.missing = missing;
        self.pause = Some(Box::pin(sleep(CUT_PAUSE)));
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Dies;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Dies>>> {
        if !self.bytes.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(mem::take(&mut self.bytes)))));
        }
        if let Some(pause) = &mut self.pause {
            ready!(pause.as_mut().poll(cx));
        }
        Poll::Ready((self.missing > 0).then_some(Err(Dies)))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_empty() && self.missing == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.bytes.len() as u64 + self.missing)
    }
}

/// The connection is broken off without an answer.
#[derive(Clone, Copy, Debug)]
pub struct Dies;

impl fmt::Display for Dies {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("breaks off as told")
    }
}

impl std::error::Error for Dies {}

/// What a stand-in answers.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request; none breaks the connection off instead.
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> impl Future<Output = Option<Answer>> + Send;
}

/// Serves for as long as the runtime lives; each new connection costs `connect_cost`.
///
/// # Errors
/// When the address cannot be listened on.
pub async fn serve<H: Handler>(
    address: SocketAddr,
    handler: Arc<H>,
    connect_cost: Duration,
) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    tokio::spawn(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let handler = Arc::clone(&handler);
            tokio::spawn(async move {
                sleep(connect_cost).await;
                let _ = stream.set_nodelay(true);
                let service = service_fn(|request| {
                    let handler = Arc::clone(&handler);
                    async move { handler.handle(request).await.ok_or(Dies) }
                });
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
    Ok(())
}

/// A parameter of a request's query.
pub fn parameter<T: std::str::FromStr>(request: &Request<Incoming>, name: &str) -> Option<T> {
    let pairs = request.uri().query()?.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name)?.1.parse().ok()
}

/// An answer with a status and a body.
pub fn answer(status: u16, body: impl Into<Bytes>) -> Answer {
    let mut response = Response::new(AnswerBody { bytes: body.into(), missing: 0, pause: None });
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    response
}
