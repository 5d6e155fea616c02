//! Malformed responses of the upstreams of one service, until their lines are written to the event log.

use {
    pointvane_core::Name,
    pointvane_serve::{FaultHandling, ResponseFault},
    pointvane_telemetry::EventKind,
    std::sync::{Mutex, MutexGuard, PoisonError},
};

/// Maximum number of lines between two checks for changes of state; further ones are only counted.
const LINES_MAX: usize = 4;

/// Malformed responses since the last call of [`Self::take`].
#[derive(Debug, Default)]
pub struct MalformedResponses(Mutex<Recent>);

#[derive(Debug, Default)]
struct Recent {
    responses: Vec<MalformedResponse>,
    left_out: u64,
}

/// A malformed response to a request.
#[derive(Clone, Debug)]
pub struct MalformedResponse {
    /// Id of the request; empty if it has none.
    pub request: String,
    /// The upstream that sent the response.
    pub upstream: Name,
    /// What is wrong with it.
    pub fault: ResponseFault,
    /// What became of it.
    pub handling: FaultHandling,
}

impl MalformedResponses {
    /// Adds a response.
    pub fn add(&self, response: MalformedResponse) {
        let mut recent = self.lock();
        if recent.responses.len() < LINES_MAX {
            recent.responses.push(response);
        } else {
            recent.left_out += 1;
        }
    }

    /// Takes the events for all responses that were added, and for the number of those left out.
    pub fn take(&self, service: &Name) -> impl Iterator<Item = EventKind> {
        let Recent { responses, left_out } = std::mem::take(&mut *self.lock());
        let service = service.clone();
        let lines = responses.into_iter().map(move |response| response.into_event(&service));
        lines.chain((left_out > 0).then_some(EventKind::LinesLeftOut { count: left_out }))
    }

    fn lock(&self) -> MutexGuard<'_, Recent> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl MalformedResponse {
    fn into_event(self, service: &Name) -> EventKind {
        let reason = self.fault.as_str().into();
        match self.handling {
            FaultHandling::CutOff => EventKind::ResponseIncomplete { request: self.request, reason },
            FaultHandling::Refused | FaultHandling::Repaired => EventKind::ResponseMalformed {
                request: self.request,
                service: service.clone(),
                upstream: self.upstream,
                reason,
                refused: self.handling == FaultHandling::Refused,
            },
        }
    }
}
