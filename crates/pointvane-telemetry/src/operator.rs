//! The operator port: metrics, events and status over HTTP, by `rouille`.
//!
//! Its connections are few and short, so that `rouille`'s way with kept connections does no harm here.

use {
    crate::{event_log::EventLog, metrics::Metrics},
    eyre::{Result, eyre},
    rouille::{Request, Response, Server, router},
    serde::Serialize,
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        thread,
        time::Duration,
    },
};

const POLL: Duration = Duration::from_millis(100);

/// What a program shows on its operator port.
pub trait OperatorState: Send + Sync + 'static {
    /// Shape of the status.
    type Status: Serialize;

    /// The status now.
    fn status(&self) -> Self::Status;
}

/// A running operator port; it ends when this is dropped.
#[derive(Debug)]
pub struct OperatorPort {
    stop: Arc<AtomicBool>,
}

impl Drop for OperatorPort {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

/// Serves `/metrics`, `/events?after=N` and `/status` until the returned value is dropped.
///
/// # Errors
/// When the address cannot be listened on.
pub fn serve_operator<S: OperatorState>(
    address: SocketAddr,
    metrics: Arc<Metrics>,
    events: Arc<EventLog>,
    state: Arc<S>,
) -> Result<OperatorPort> {
    let handle = move |request: &Request| answer(request, &metrics, &events, &*state);
    let server = Server::new(address, handle).map_err(|error| eyre!("operator port {address}: {error}"))?;
    let stop = Arc::new(AtomicBool::new(false));
    let port = OperatorPort { stop: Arc::clone(&stop) };
    thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            server.poll_timeout(POLL);
        }
    });
    Ok(port)
}

fn answer<S: OperatorState>(request: &Request, metrics: &Metrics, events: &EventLog, state: &S) -> Response {
    router!(request,
        (GET) ["/metrics"] => { Response::text(metrics.text()) },
        (GET) ["/events"] => {
            let after = request.get_param("after").and_then(|after| after.parse().ok()).unwrap_or(0);
            Response::json(&events.page(after))
        },
        (GET) ["/status"] => { Response::json(&state.status()) },
        _ => Response::empty_404()
    )
}
