//! The answers to readiness checks and to callers that look up which nodes to use.

use {
    crate::{answer::short, connections::RelayBody, node::Node},
    hyper::{Request, Response, StatusCode, body::Incoming},
    pointvane_core::PlatformAdapter,
    pointvane_dispatch::directory_addresses,
    std::{convert::Infallible, rc::Rc},
};

/// Content type of short answers.
const TEXT: &str = "text/plain";
/// Content type of the directory's answers.
const JSON: &str = "application/json";

/// Answers whether callers may be sent here.
pub async fn readiness<A: PlatformAdapter>(
    node: Rc<Node<A>>,
    _request: Request<Incoming>,
) -> Result<Response<RelayBody>, Infallible> {
    let status = if node.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    Ok(short(status, TEXT, String::new()))
}

/// Answers which nodes a caller should use.
pub async fn directory<A: PlatformAdapter>(
    node: Rc<Node<A>>,
    request: Request<Incoming>,
) -> Result<Response<RelayBody>, Infallible> {
    // Without a query the caller names no data centre.
    let query = request.uri().query().unwrap_or_default();
    let Some(question) = node.adapter.directory_question(request.uri().path(), query) else {
        return Ok(short(StatusCode::NOT_FOUND, TEXT, String::new()));
    };
    let addresses = directory_addresses(&node.fleet.directory_members(), question.data_centre.as_ref());
    if addresses.is_empty() {
        return Ok(short(StatusCode::SERVICE_UNAVAILABLE, TEXT, String::new()));
    }
    let keep_s = node.settings().limits.directory_keep_s;
    Ok(short(StatusCode::OK, JSON, node.adapter.directory_answer(&addresses, keep_s)))
}
