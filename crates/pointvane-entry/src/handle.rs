//! Takes one request through all stages.

use {
    crate::{
        admit::admit,
        classify::{self, ClassifiedRequest},
        entry::Entry,
        forward::forward,
        keyed::{reject_keyed, serve_keyed},
        outgoing::OutgoingRequest,
        request_body::RequestBody,
        response::{error_response, proxy_response, set_connection_close},
        response_body::ResponseBody,
    },
    hyper::{Request, Response, body::Incoming, http::request::Parts},
    pointvane_core::{Clock, ErrorKind, US_PER_S},
    pointvane_serve::{Closed, Handler},
    std::sync::Arc,
};

/// `Retry-After` in seconds for requests that are refused before they are assigned to a service.
const DEFAULT_RETRY_AFTER_S: u64 = 1;

impl Handler for Entry {
    type Body = ResponseBody;

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        handle_request(self, request).await
    }

    fn connection_closed(&self, closed: Closed) {
        self.counters.connection_closed(closed.result);
    }
}

/// Serves one request. This is the only place that turns an error kind into a response.
async fn handle_request(entry: Arc<Entry>, request: Request<Incoming>) -> Response<ResponseBody> {
    let (head, incoming) = request.into_parts();
    let now_us = entry.clock.now_us();
    let mut service = None;
    let result = match classify_request(&entry, &head, now_us) {
        Ok(request) => {
            service = Some(Arc::clone(&request.service));
            serve(&entry, request, head, RequestBody::new(incoming), now_us).await
        }
        Err(kind) => Err(kind),
    };
    let mut response = result.unwrap_or_else(|kind| {
        entry.counters.refused(kind);
        error_response(kind, service.map_or(DEFAULT_RETRY_AFTER_S, |service| service.retry_after_s(kind)))
    });
    if entry.is_stopping() {
        set_connection_close(&mut response);
    }
    response
}

fn classify_request(entry: &Entry, head: &Parts, now_us: u64) -> Result<ClassifiedRequest, ErrorKind> {
    let key = classify::parse_key(head)?;
    classify::classify(head, key.clone(), &entry.routes(), now_us).map_err(|kind| match key {
        Some(key) => reject_keyed(entry, &key, kind),
        None => kind,
    })
}

async fn serve(
    entry: &Arc<Entry>,
    request: ClassifiedRequest,
    head: Parts,
    body: RequestBody,
    arrived_us: u64,
) -> Result<Response<ResponseBody>, ErrorKind> {
    let (service, class) = (Arc::clone(&request.service), request.class);
    let response = match request.key.clone() {
        Some(key) => serve_keyed(entry, request, head, body, key).await?,
        None => serve_idempotent(entry, &request, head, body).await?,
    };
    let time_s = entry.clock.now_us().saturating_sub(arrived_us) as f64 / US_PER_S as f64;
    entry.counters.answered(&service.name, class, time_s);
    Ok(response)
}

async fn serve_idempotent(
    entry: &Entry,
    request: &ClassifiedRequest,
    head: Parts,
    body: RequestBody,
) -> Result<Response<ResponseBody>, ErrorKind> {
    let attempt = admit(request).await?;
    let outgoing = OutgoingRequest::new(request, head);
    let response = forward(&outgoing, body, attempt, &entry.connections, &entry.counters).await?;
    Ok(proxy_response(response))
}
