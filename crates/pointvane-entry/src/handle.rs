//! One request through all stages.

use {
    crate::{
        admit::admit,
        answer::{close_after, pass, refuse},
        body::AnswerBody,
        classify::{self, Classified},
        entry::Entry,
        forward::forward,
        keyed::{refuse_keyed, serve_keyed},
        outgoing::Outgoing,
        request_body::RequestBody,
    },
    hyper::{Request, Response, body::Incoming, http::request::Parts},
    pointvane_core::{Clock, ErrorKind, US_PER_S},
    pointvane_serve::Handler,
    std::sync::Arc,
};

/// Seconds after which to come back when no service says otherwise.
const RETRY_AFTER_S: u64 = 1;

impl Handler for Entry {
    type Body = AnswerBody;

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<AnswerBody> {
        handle(self, request).await
    }
}

/// Serves one request; an error kind becomes its answer here and nowhere else.
async fn handle(entry: Arc<Entry>, request: Request<Incoming>) -> Response<AnswerBody> {
    let (head, incoming) = request.into_parts();
    let now_us = entry.clock.now_us();
    let mut service = None;
    let served = match read(&entry, &head, now_us) {
        Ok(request) => {
            service = Some(Arc::clone(&request.service));
            serve(&entry, request, head, RequestBody::new(incoming), now_us).await
        }
        Err(kind) => Err(kind),
    };
    let mut response = served.unwrap_or_else(|kind| {
        entry.counters.refused(kind);
        refuse(kind, service.map_or(RETRY_AFTER_S, |service| service.retry_after_s(kind)))
    });
    if entry.is_stopping() {
        close_after(&mut response);
    }
    response
}

fn read(entry: &Entry, head: &Parts, now_us: u64) -> Result<Classified, ErrorKind> {
    let key = classify::key(head)?;
    classify::classify(head, key.clone(), &entry.routes(), now_us).map_err(|kind| match key {
        Some(key) => refuse_keyed(entry, &key, kind),
        None => kind,
    })
}

async fn serve(
    entry: &Arc<Entry>,
    request: Classified,
    head: Parts,
    body: RequestBody,
    arrived_us: u64,
) -> Result<Response<AnswerBody>, ErrorKind> {
    let (service, class) = (Arc::clone(&request.service), request.class);
    let response = match request.key.clone() {
        Some(key) => serve_keyed(entry, request, head, body, key).await?,
        None => serve_repeatable(entry, &request, head, body).await?,
    };
    let time_s = entry.clock.now_us().saturating_sub(arrived_us) as f64 / US_PER_S as f64;
    entry.counters.answered(&service.name, class, time_s);
    Ok(response)
}

async fn serve_repeatable(
    entry: &Entry,
    request: &Classified,
    head: Parts,
    body: RequestBody,
) -> Result<Response<AnswerBody>, ErrorKind> {
    let attempt = admit(request).await?;
    let outgoing = Outgoing::new(request, head);
    let response = forward(&outgoing, body, attempt, &entry.connections, &entry.counters).await?;
    Ok(pass(response))
}
