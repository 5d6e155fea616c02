//! Second stage: parses a request's head into a typed description.

use {
    crate::{routes::Routes, service::ServiceHandle},
    hyper::{Method, header::HOST, http::request::Parts},
    pointvane_core::{Class, ErrorKind, IdempotencyKey, US_PER_MS, header},
    pointvane_serve::has_unknown_coding,
    std::sync::Arc,
};

/// Description of a request, parsed from its head.
#[derive(Debug)]
pub struct ClassifiedRequest {
    /// The service that the request is routed to.
    pub service: Arc<ServiceHandle>,
    /// Priority class.
    pub class: Class,
    /// Deadline in microseconds on the entry's clock.
    pub deadline_us: u64,
    /// Whether the deadline comes from the request rather than from the service's default.
    pub explicit_deadline: bool,
    /// Whether the method is GET, HEAD or OPTIONS, so that the request may run more than once.
    pub idempotent: bool,
    /// Idempotency key; required for all other methods.
    pub key: Option<IdempotencyKey>,
}

/// Parses the idempotency key of a request.
///
/// This comes before all other checks: when one of them fails, the key decides whether the response may claim
/// that the request did not run.
///
/// # Errors
/// [`ErrorKind::KeyInvalid`] if the key is malformed; a request with such a key never runs.
/// [`ErrorKind::BadRequest`] if the header occurs more than once or is not text.
pub fn parse_key(head: &Parts) -> Result<Option<IdempotencyKey>, ErrorKind> {
    match single_header(head, header::KEY)? {
        Some(text) => IdempotencyKey::parse(text).map(Some).map_err(|_| ErrorKind::KeyInvalid),
        None => Ok(None),
    }
}

/// Classifies a request that arrived at `now_us`.
///
/// # Errors
/// [`ErrorKind::NotReady`] without a configuration, [`ErrorKind::NoSuchService`] without a matching route,
/// [`ErrorKind::UnsupportedCoding`] for a body that cannot be passed on, [`ErrorKind::BadRequest`] for a malformed
/// header, [`ErrorKind::KeyMissing`] if the method needs a key.
pub fn classify(
    head: &Parts,
    key: Option<IdempotencyKey>,
    routes: &Routes,
    now_us: u64,
) -> Result<ClassifiedRequest, ErrorKind> {
    if routes.revision == 0 {
        return Err(ErrorKind::NotReady);
    }
    check_coding(head)?;
    let host = single_header(head, HOST.as_str())?.or_else(|| head.uri.host()).unwrap_or_default();
    let service = routes.find(host, head.uri.path()).ok_or(ErrorKind::NoSuchService)?;
    let class = match single_header(head, header::CLASS)? {
        Some(text) => Class::parse(text).ok_or(ErrorKind::BadRequest)?,
        None => Class::default(),
    };
    let explicit_ms = match single_header(head, header::DEADLINE_MS)? {
        Some(text) => Some(text.parse::<u64>().map_err(|_| ErrorKind::BadRequest)?),
        None => None,
    };
    let deadline_ms = explicit_ms.unwrap_or_else(|| service.lock().service().deadline_ms);
    let idempotent = matches!(head.method, Method::GET | Method::HEAD | Method::OPTIONS);
    if key.is_none() && !idempotent {
        return Err(ErrorKind::KeyMissing);
    }
    Ok(ClassifiedRequest {
        service: Arc::clone(service),
        class,
        deadline_us: now_us.saturating_add(deadline_ms.saturating_mul(US_PER_MS)),
        explicit_deadline: explicit_ms.is_some(),
        idempotent,
        key,
    })
}

/// Refuses a body in a coding other than chunks: it would be passed on in its coding, but without the header that
/// names it.
fn check_coding(head: &Parts) -> Result<(), ErrorKind> {
    if has_unknown_coding(&head.headers) { Err(ErrorKind::UnsupportedCoding) } else { Ok(()) }
}

/// Returns the value of a header as text, or `None` if it is absent. Repeated headers are an error.
fn single_header<'h>(head: &'h Parts, name: &str) -> Result<Option<&'h str>, ErrorKind> {
    let mut values = head.headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(value), None) => value.to_str().map(Some).map_err(|_| ErrorKind::BadRequest),
        (Some(_), Some(_)) => Err(ErrorKind::BadRequest),
    }
}
