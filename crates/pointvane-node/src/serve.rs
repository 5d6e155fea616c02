//! Listeners, and the connections that they accept.

use {
    crate::{connections::RelayBody, node::Node, socket},
    eyre::{Result, WrapErr},
    hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    pointvane_core::PlatformAdapter,
    std::{convert::Infallible, net::SocketAddr, rc::Rc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        task::spawn_local,
    },
};

/// Smallest buffer that `hyper` takes, in bytes.
const HEAD_BYTES_MIN: usize = 8_192;

/// Accepts connections until the node closes; each request goes to `handle`.
///
/// # Errors
/// When the address cannot be listened on.
pub async fn listen<A, H, F>(node: Rc<Node<A>>, address: SocketAddr, handle: H) -> Result<()>
where
    A: PlatformAdapter + 'static,
    H: Fn(Rc<Node<A>>, Request<Incoming>) -> F + Copy + 'static,
    F: Future<Output = Result<Response<RelayBody>, Infallible>> + 'static,
{
    let listener = TcpListener::bind(address).await.wrap_err_with(|| format!("listening on {address}"))?;
    spawn_local(async move {
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    // An error is about the connection that was to be accepted, and its caller's to notice.
                    if let Ok((stream, _)) = accepted {
                        spawn_local(connection(Rc::clone(&node), stream, handle));
                    }
                }
                () = node.lifecycle.closing() => return,
            }
        }
    });
    Ok(())
}

async fn connection<A, H, F>(node: Rc<Node<A>>, stream: TcpStream, handle: H)
where
    A: PlatformAdapter + 'static,
    H: Fn(Rc<Node<A>>, Request<Incoming>) -> F + Copy + 'static,
    F: Future<Output = Result<Response<RelayBody>, Infallible>> + 'static,
{
    if socket::watch_peer(&stream).is_err() {
        // The connection has broken already.
        return;
    }
    let limits = node.dispatcher.routes().limits();
    let lifecycle_node = Rc::clone(&node);
    let _open = node.lifecycle.connection_opened();
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .max_buf_size(limits.header_bytes_max.max(HEAD_BYTES_MIN))
        .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms.max(limits.header_timeout_ms)));
    let service = service_fn(move |request| handle(Rc::clone(&node), request));
    let mut served = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        _ = served.as_mut() => return,
        () = lifecycle_node.lifecycle.closing() => {}
    }
    served.as_mut().graceful_shutdown();
    // An error is about this connection alone, and its caller's to notice.
    _ = served.await;
}
