//! Upkeep of the services: waiting requests, probes, changes worth an event.

use {
    crate::{
        entry::Entry, head_notices::HeadNotices, notice_recorder::NoticeRecorder, request_body::RequestBody,
        service::ServiceHandle,
    },
    http_body_util::BodyExt,
    hyper::{Request, header::HOST},
    pointvane_core::Name,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::time::{interval, timeout},
};

/// Time between two checks for probes that are due. Not measured.
const TICK: Duration = Duration::from_millis(5);
/// Longest time for a probe. Not measured.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// Ticks between two checks for changes of state that the time line tells.
const TRANSITIONS_EVERY: u64 = 20;

/// Looks after waiting requests, probes that are due, and the time line, for as long as the process lives.
pub async fn maintain(entry: Arc<Entry>) {
    let mut ticks = interval(TICK);
    for tick in 0_u64.. {
        ticks.tick().await;
        for service in &entry.routes().services {
            maintain_service(&entry, service);
        }
        if tick.is_multiple_of(TRANSITIONS_EVERY) {
            entry.note_transitions();
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
                NoticeRecorder { service: Arc::clone(&service), upstream: index }.heed(notices);
                service.pump();
            }
        });
    }
    if service.lock().waiting() > 0 {
        service.pump();
    }
}

/// What one upstream says of itself; none if no whole answer came.
async fn probe(entry: &Entry, address: SocketAddr, path: &Name) -> Option<HeadNotices> {
    let mut connection = entry.connections.get(address).await.ok()?;
    let mut request = Request::new(RequestBody::Empty);
    *request.uri_mut() = path.as_str().parse().ok()?;
    request.headers_mut().insert(HOST, address.to_string().parse().ok()?);
    let response = connection.send(request).await.ok()?;
    let notices = HeadNotices::of(&response);
    response.into_body().collect().await.ok()?;
    connection.keep();
    Some(notices)
}
