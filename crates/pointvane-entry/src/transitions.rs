//! Detects changes of state of services and upstreams for the event log.

use {
    pointvane_balance::UpstreamSummary,
    pointvane_core::Name,
    pointvane_telemetry::EventKind,
    std::{collections::HashMap, mem},
};

/// Last logged states of services and upstreams.
#[derive(Debug, Default)]
pub struct TransitionTracker {
    /// Keyed by service and upstream.
    upstreams: HashMap<(Name, Name), UpstreamState>,
    /// Keyed by service.
    services: HashMap<Name, OverloadState>,
}

/// Whether a service refuses requests for overload, as last logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct OverloadState {
    /// Total of requests refused for overload, as of the last check.
    refused: u64,
    /// Checks since the last refusal.
    quiet_checks: u32,
    overloaded: bool,
}

/// Number of checks without a refusal after which an overload has ended.
const QUIET_CHECKS: u32 = 20;

impl OverloadState {
    /// The state after the next check, for a total of `refused` requests.
    fn next(self, refused: u64) -> Self {
        let quiet_checks = if refused > self.refused { 0 } else { self.quiet_checks.saturating_add(1) };
        let overloaded = refused > self.refused || (self.overloaded && quiet_checks < QUIET_CHECKS);
        Self { refused, quiet_checks, overloaded }
    }
}

/// State of an upstream, as last logged.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct UpstreamState {
    leaving: bool,
    ejected: bool,
    backing_off: bool,
    limit_per_1000_s: Option<u32>,
}

impl TransitionTracker {
    /// Updates the state of a service and its upstreams. Returns the events for what has changed since the
    /// last call.
    pub fn update(&mut self, service: &Name, refused: u64, upstreams: &[UpstreamSummary]) -> Vec<EventKind> {
        let state = self.services.entry(service.clone()).or_default();
        let before = mem::replace(state, state.next(refused));
        let mut events: Vec<EventKind> = overload_event(service, before, *state).into_iter().collect();
        for summary in upstreams {
            let key = (service.clone(), summary.name.clone());
            let now = UpstreamState {
                leaving: summary.leaving,
                ejected: summary.ejected,
                backing_off: summary.back_in_ms.is_some(),
                limit_per_1000_s: summary.limit_per_1000_s,
            };
            let before = self.upstreams.insert(key, now).unwrap_or_default();
            if before.limit_per_1000_s != now.limit_per_1000_s {
                let (service, upstream) = (service.clone(), summary.name.clone());
                let per_1000_s = now.limit_per_1000_s;
                events.push(EventKind::UpstreamLimitChanged { service, upstream, per_1000_s });
            }
            events.extend(upstream_event(service, summary, before, now));
        }
        events
    }
}

fn overload_event(service: &Name, before: OverloadState, now: OverloadState) -> Option<EventKind> {
    let service = service.clone();
    match (before.overloaded, now.overloaded) {
        (false, true) => Some(EventKind::OverloadBegan { service }),
        (true, false) => Some(EventKind::OverloadEnded { service }),
        _ => None,
    }
}

/// Event for a change of an upstream's state. Changes of `leaving` have priority over the others, which do
/// not matter for an upstream that is shutting down.
fn upstream_event(
    service: &Name,
    summary: &UpstreamSummary,
    before: UpstreamState,
    now: UpstreamState,
) -> Option<EventKind> {
    let (service, upstream) = (service.clone(), summary.name.clone());
    match (before.leaving, now.leaving, before.ejected, now.ejected) {
        (false, true, ..) => Some(EventKind::UpstreamLeaving { service, upstream }),
        (true, false, ..) => Some(EventKind::UpstreamStaying { service, upstream }),
        (_, _, false, true) => Some(EventKind::UpstreamEjected { service, upstream }),
        (_, _, true, false) => Some(EventKind::UpstreamReturned { service, upstream }),
        _ => backoff_event(service, upstream, before, summary.back_in_ms),
    }
}

/// Event for the start or end of a back-off. An extension of a back-off is not logged.
fn backoff_event(
    service: Name,
    upstream: Name,
    before: UpstreamState,
    back_in_ms: Option<u64>,
) -> Option<EventKind> {
    match (before.backing_off, back_in_ms) {
        (false, Some(back_off_ms)) => {
            Some(EventKind::UpstreamBackingOff { service, upstream, back_off_ms, reason: None })
        }
        (true, None) => Some(EventKind::UpstreamReturned { service, upstream }),
        _ => None,
    }
}
