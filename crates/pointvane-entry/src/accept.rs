//! First stage: callers' connections, with bounds on their number, heads and slow senders.

use {
    crate::{entry::Entry, handle::handle},
    hyper::{server::conn::http1, service::service_fn},
    hyper_util::rt::{TokioIo, TokioTimer},
    std::{io, pin::pin, sync::Arc, time::Duration},
    tokio::{
        net::{TcpListener, TcpStream},
        sync::{Semaphore, watch},
    },
};

/// Pause after an accept that failed, as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Nothing is stopping.
    Running,
    /// New connections are refused, kept ones close after what they carry.
    Closing,
}

/// Accepts connections until the phase says to close; returns at once when it does.
pub async fn accept(entry: Arc<Entry>, listener: TcpListener, mut phase: watch::Receiver<Phase>) {
    let places = Arc::new(Semaphore::new(entry.settings.entry.connections_max));
    loop {
        // At the cap, new connections wait in the kernel's backlog.
        let Ok(place) = Arc::clone(&places).acquire_owned().await else {
            return;
        };
        let stream = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phase.wait_for(|phase| *phase == Phase::Closing) => return,
        };
        match stream {
            Ok((stream, _)) => {
                let served = serve(Arc::clone(&entry), stream, phase.clone());
                tokio::spawn(async move {
                    served.await;
                    drop(place);
                });
            }
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
}

async fn serve(entry: Arc<Entry>, stream: TcpStream, mut phase: watch::Receiver<Phase>) {
    if set_up(&stream).is_err() {
        return;
    }
    let settings = &entry.settings.entry;
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(settings.head_timeout_ms))
        .max_buf_size(settings.head_limit_bytes);
    let service = service_fn(|request| handle(Arc::clone(&entry), request));
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let closing = phase.wait_for(|phase| *phase == Phase::Closing);
    tokio::select! {
        _ = connection.as_mut() => return,
        _ = closing => connection.as_mut().graceful_shutdown(),
    }
    // What the connection still carries is finished; an error concerns its caller alone.
    let _ = connection.await;
}

fn set_up(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)
}
