//! The operator port: metrics, events and status over HTTP, served by `rouille`.
//!
//! Connections to it are few and short, so `rouille`'s handling of keep-alive connections is acceptable here.

use {
    crate::{build_info::BuildInfo, event_log::EventLog, metrics::Metrics},
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

/// Interval at which the server thread checks whether it should stop.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Provides the status that a program serves on its operator port.
pub trait OperatorState: Send + Sync + 'static {
    /// The status, served as JSON.
    type Status: Serialize;

    /// The current status.
    fn status(&self) -> Self::Status;
}

/// The status of a program with its build.
#[derive(Debug, Serialize)]
struct StatusPage<S> {
    build: BuildInfo,
    #[serde(flatten)]
    status: S,
}

/// A running operator port; dropping it stops the server.
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
/// When the server cannot listen on `address`.
pub fn serve_operator<S: OperatorState>(
    build: BuildInfo,
    address: SocketAddr,
    metrics: Arc<Metrics>,
    events: Arc<EventLog>,
    state: Arc<S>,
) -> Result<OperatorPort> {
    let handle = move |request: &Request| respond(request, build, &metrics, &events, &*state);
    let server = Server::new(address, handle).map_err(|error| eyre!("operator port {address}: {error}"))?;
    let stop = Arc::new(AtomicBool::new(false));
    let port = OperatorPort { stop: Arc::clone(&stop) };
    thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            server.poll_timeout(POLL_INTERVAL);
        }
    });
    Ok(port)
}

fn respond<S: OperatorState>(
    request: &Request,
    build: BuildInfo,
    metrics: &Metrics,
    events: &EventLog,
    state: &S,
) -> Response {
    router!(request,
        (GET) ["/metrics"] => { Response::text(metrics.text()) },
        (GET) ["/events"] => {
            let after = request.get_param("after").and_then(|after| after.parse().ok()).unwrap_or(0);
            Response::json(&events.page(after))
        },
        (GET) ["/status"] => { Response::json(&StatusPage { build, status: state.status() }) },
        _ => Response::empty_404()
    )
}
