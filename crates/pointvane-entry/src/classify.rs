//! Second stage: from a request's head to a typed description.

use {
    crate::{routes::Routes, service::ServiceHandle},
    hyper::{Method, header::HOST, http::request::Parts},
    pointvane_core::{Class, ErrorKind, IdempotencyKey, US_PER_MS, header},
    std::sync::Arc,
};

/// What a request is.
#[derive(Debug)]
pub struct Classified {
    /// Whose it is.
    pub service: Arc<ServiceHandle>,
    /// How urgent it is.
    pub class: Class,
    /// When its caller stops waiting.
    pub deadline_us: u64,
    /// Whether the caller named the deadline itself.
    pub deadline_named: bool,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// The key of work that may not be repeated.
    pub key: Option<IdempotencyKey>,
}

/// The key of a request; it is read before all else, since it bounds what may be said of the rest.
///
/// # Errors
/// When it is malformed, and so can never run.
pub fn key(head: &Parts) -> Result<Option<IdempotencyKey>, ErrorKind> {
    match text(head, header::KEY)? {
        Some(text) => IdempotencyKey::parse(text).map(Some).map_err(|_| ErrorKind::KeyInvalid),
        None => Ok(None),
    }
}

/// Describes a request that arrived at `now_us`.
///
/// # Errors
/// Why it cannot be served.
pub fn classify(
    head: &Parts,
    key: Option<IdempotencyKey>,
    routes: &Routes,
    now_us: u64,
) -> Result<Classified, ErrorKind> {
    if routes.revision == 0 {
        return Err(ErrorKind::NotReady);
    }
    let host = text(head, HOST.as_str())?.or_else(|| head.uri.host()).unwrap_or_default();
    let service = routes.find(host, head.uri.path()).ok_or(ErrorKind::NoSuchService)?;
    let class = match text(head, header::CLASS)? {
        Some(text) => Class::parse(text).ok_or(ErrorKind::BadRequest)?,
        None => Class::default(),
    };
    let named_ms = match text(head, header::DEADLINE_MS)? {
        Some(text) => Some(text.parse::<u64>().map_err(|_| ErrorKind::BadRequest)?),
        None => None,
    };
    let deadline_ms = named_ms.unwrap_or_else(|| service.lock().service().deadline_ms);
    let repeatable = matches!(head.method, Method::GET | Method::HEAD | Method::OPTIONS);
    if key.is_none() && !repeatable {
        return Err(ErrorKind::KeyMissing);
    }
    Ok(Classified {
        service: Arc::clone(service),
        class,
        deadline_us: now_us.saturating_add(deadline_ms.saturating_mul(US_PER_MS)),
        deadline_named: named_ms.is_some(),
        repeatable,
        key,
    })
}

/// A header's only value as text; none if it is absent.
fn text<'h>(head: &'h Parts, name: &str) -> Result<Option<&'h str>, ErrorKind> {
    let mut values = head.headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(value), None) => value.to_str().map(Some).map_err(|_| ErrorKind::BadRequest),
        (Some(_), Some(_)) => Err(ErrorKind::BadRequest),
    }
}
