//! Third stage: waiting for the start.

use {
    crate::{
        classify::Classified,
        service::{Attempt, Start},
    },
    pointvane_balance::Arrival,
    pointvane_core::ErrorKind,
};

/// The first attempt, once it may start.
///
/// # Errors
/// Why the request is refused; nothing was sent.
pub async fn admit(request: &Classified) -> Result<Attempt, ErrorKind> {
    let arrival = Arrival { class: request.class, deadline_us: request.deadline_us };
    match request.service.arrive(arrival)? {
        Start::Now(attempt) => Ok(attempt),
        Start::Later(told) => told.await.unwrap_or(Err(ErrorKind::Stopping)),
    }
}
