//! Serving of HTTP/1.1 for the stand-ins.

use {
    bytes::Bytes,
    http_body_util::Full,
    hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::TokioIo,
    std::{convert::Infallible, io, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{net::TcpListener, time::sleep},
};

/// An answer of a stand-in.
pub type Answer = Response<Full<Bytes>>;

/// What a stand-in answers.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(self: Arc<Self>, request: Request<Incoming>) -> impl Future<Output = Answer> + Send;
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
                    async move { Ok::<_, Infallible>(handler.handle(request).await) }
                });
                let _ = http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service)
                    .await;
            });
        }
    });
    Ok(())
}

/// A parameter of a request's query.
pub fn parameter<T: std::str::FromStr>(request: &Request<Incoming>, name: &str) -> Option<T> {
    let pairs = request
        .uri()
        .query()?
        .split('&')
        .filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name)?.1.parse().ok()
}

/// An answer with a status and a body.
pub fn answer(status: u16, body: impl Into<Bytes>) -> Answer {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    response
}
