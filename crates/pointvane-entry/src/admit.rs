//! Third stage: admission control. A request starts at once, waits in its service's queue, or is refused.

use {
    crate::{
        classify::ClassifiedRequest,
        service::{Admission, Attempt},
    },
    pointvane_balance::Arrival,
    pointvane_core::ErrorKind,
};

/// Waits until the request may start and returns its first attempt.
///
/// # Errors
/// The reason for which the request is refused. Nothing has been sent to an upstream.
/// [`ErrorKind::Stopping`] if the queue is dropped while the request waits.
pub async fn admit(request: &ClassifiedRequest) -> Result<Attempt, ErrorKind> {
    let arrival = Arrival { class: request.class, deadline_us: request.deadline_us };
    match request.service.arrive(arrival)? {
        Admission::Immediate(attempt) => Ok(attempt),
        Admission::Queued(receiver) => receiver.await.unwrap_or(Err(ErrorKind::Stopping)),
    }
}
