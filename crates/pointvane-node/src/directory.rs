//! Handlers for readiness checks and for callers' lookups of the nodes to use.

use {
    crate::{answer::text_response, connections::RelayBody, node::Node},
    hyper::{Request, Response, StatusCode, body::Incoming},
    pointvane_core::PlatformAdapter,
    pointvane_dispatch::directory_addresses,
    std::{convert::Infallible, rc::Rc},
};

/// Content type of readiness and error responses.
const TEXT: &str = "text/plain";
/// Content type of directory responses.
const JSON: &str = "application/json";

/// Responds 200 if this node accepts callers, 503 otherwise.
pub async fn readiness<A: PlatformAdapter>(
    node: Rc<Node<A>>,
    _request: Request<Incoming>,
) -> Result<Response<RelayBody>, Infallible> {
    let status = if node.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    Ok(text_response(status, TEXT, String::new()))
}

/// Responds with the addresses of the nodes that a caller should use.
///
/// 404 if the adapter does not recognise the path, 503 if no node is available.
pub async fn directory<A: PlatformAdapter>(
    node: Rc<Node<A>>,
    request: Request<Incoming>,
) -> Result<Response<RelayBody>, Infallible> {
    // The query is optional; without it the caller names no data centre.
    let query = request.uri().query().unwrap_or_default();
    let Some(lookup) = node.adapter.parse_directory_query(request.uri().path(), query) else {
        return Ok(text_response(StatusCode::NOT_FOUND, TEXT, String::new()));
    };
    let addresses = directory_addresses(&node.fleet.directory_members(), lookup.data_centre.as_ref());
    if addresses.is_empty() {
        return Ok(text_response(StatusCode::SERVICE_UNAVAILABLE, TEXT, String::new()));
    }
    let keep_s = node.settings().limits.directory_keep_s;
    Ok(text_response(StatusCode::OK, JSON, node.adapter.encode_directory_answer(&addresses, keep_s)))
}
