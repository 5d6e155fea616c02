//! Periodic maintenance of the services: waiting requests, load probes, and events for changes of state.

use {
    crate::{
        entry::Entry, notice_recorder::NoticeRecorder, request_body::RequestBody, service::ServiceHandle,
        upstream_notices::UpstreamNotices,
    },
    hyper::{Request, header::HOST},
    pointvane_core::Name,
    pointvane_serve::{HEALTH_BODY_BYTES_MAX, skip_body},
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{interval, timeout},
};

/// Interval at which waiting requests and due probes are checked.
const TICK_INTERVAL: Duration = Duration::from_millis(5);
/// Timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Ticks between two checks for changes of state that are logged as events.
const TRANSITION_CHECK_TICKS: u64 = 20;

/// Dispatches waiting requests, sends due probes and logs changes of state, until the process exits.
pub async fn maintain(entry: Arc<Entry>) {
    let mut ticks = interval(TICK_INTERVAL);
    for tick in 0_u64.. {
        ticks.tick().await;
        for service in &entry.routes().services {
            maintain_service(&entry, service);
        }
        if tick.is_multiple_of(TRANSITION_CHECK_TICKS) {
            entry.log_transitions();
        }
    }
}

fn maintain_service(entry: &Arc<Entry>, service: &Arc<ServiceHandle>) {
    loop {
        let due = {
            let mut balancer = service.lock();
            let index = balancer.next_probe(service.now_us());
            index.map(|index| {
                (index, balancer.upstream(index).address, balancer.service().load.probe_path.clone())
            })
        };
        let Some((index, address, path)) = due else { break };
        entry.counters.probed();
        let (entry, service) = (Arc::clone(entry), Arc::clone(service));
        tokio::spawn(async move {
            let notices = timeout(PROBE_TIMEOUT, probe(&entry, address, &path)).await;
            if let Ok(Some(notices)) = notices {
                NoticeRecorder { service: Arc::clone(&service), upstream: index }.record(notices);
                service.dispatch_waiting();
            }
        });
    }
    if service.lock().waiting() > 0 {
        service.dispatch_waiting();
    }
}

/// Requests the probe path of an upstream. Returns `None` unless a complete response of at most
/// [`HEALTH_BODY_BYTES_MAX`] was received.
async fn probe(entry: &Entry, address: SocketAddr, path: &Name) -> Option<UpstreamNotices> {
    let mut connection = entry.connections.acquire(address).await.ok()?;
    let mut request = Request::new(RequestBody::Empty);
    *request.uri_mut() = path.as_str().parse().ok()?;
    request.headers_mut().insert(HOST, address.to_string().parse().ok()?);
    let response = connection.send(request).await.ok()?;
    let notices = UpstreamNotices::from_response(&response);
    if !skip_body(response.into_body(), HEALTH_BODY_BYTES_MAX).await.ok()? {
        return None;
    }
    connection.release();
    Some(notices)
}
