//! Admission of a request: gathers what [`pointvane_dispatch::AdmissionPolicy`] and
//! [`pointvane_dispatch::ReturnInputs`] decide by.

use {
    crate::{node::Node, request::CallerRequest, snapshot::UpstreamSnapshot},
    pointvane_core::{ErrorKind, PlatformAdapter, US_PER_MS},
    pointvane_dispatch::{
        ContendedRequest, FinishEstimate, RefusalReason, ReturnInputs, UpstreamKey, admission_pressure,
    },
    pointvane_telemetry::EventKind,
};

/// Largest latency that is expected of an upstream when a caller comes back, as a multiple of the latency at
/// an uncontended one.
const RETURN_LATENCY_MULTIPLE_MAX: f64 = 2.0;

/// Whether admission control refuses a request that was not sent yet: its best upstream has no free capacity,
/// or would answer too late.
pub fn is_refused_by_admission<A: PlatformAdapter>(
    node: &Node<A>,
    request: &CallerRequest,
    key: UpstreamKey,
) -> bool {
    let snapshot = UpstreamSnapshot::of(node, key).filter(|_| request.sends.get() == 0);
    let Some(snapshot) = snapshot else {
        return false;
    };
    let route = &request.routed.route;
    let estimate = FinishEstimate {
        elapsed_ms: request.charged_ms(snapshot.taken_at_us),
        expected_latency_ms: f64::from(snapshot.load_when_sent.expected_latency)
            * node.dispatcher.route_latencies(route).baseline_ms(),
        occupancy: f64::from(snapshot.load_when_sent.occupancy),
        full_slowdown: node.dispatcher.pool().full_slowdown(&request.routed.service).into(),
    };
    let has_capacity = node.dispatcher.pool_mut().has_capacity(key, snapshot.taken_at_us);
    request.expected_latency_ms.set(Some(estimate.expected_latency_ms));
    let contended = contended_request(node, request, snapshot.taken_at_us);
    let decision = node.dispatcher.admission.check(route, &estimate, has_capacity, &contended);
    let mut priorities = node.dispatcher.priorities(&request.routed.service);
    priorities.record(route.priority, decision.is_ok(), snapshot.taken_at_us);
    if let Err(reason) = decision {
        report_refusal(node, request, &snapshot, &estimate, reason);
    }
    decision.is_err()
}

/// Records a request that was sent to an uncontended upstream.
pub fn record_admitted<A: PlatformAdapter>(node: &Node<A>, request: &CallerRequest) {
    if request.sends.get() == 0 {
        let mut priorities = node.dispatcher.priorities(&request.routed.service);
        priorities.record(request.routed.route.priority, true, node.now_us());
    }
}

fn contended_request<A: PlatformAdapter>(
    node: &Node<A>,
    request: &CallerRequest,
    now_us: u64,
) -> ContendedRequest {
    let priority = request.routed.route.priority;
    let contention = node.dispatcher.pool().service_contention(&request.routed.service, now_us);
    let draw = f64::from(node.dispatcher.draw());
    ContendedRequest {
        pressure: admission_pressure(contention),
        mean_occupancy: contention.map_or(0.0, |contention| contention.occupancy.into()),
        spent_ms: request.spent_before_ms,
        can_return: can_return(node, request, now_us),
        occupancy_max: node
            .dispatcher
            .priorities(&request.routed.service)
            .occupancy_max(priority, contention, draw, now_us),
        finish_spread: node.dispatcher.route_latencies(&request.routed.route).finish_spread(),
    }
}

fn pressure<A: PlatformAdapter>(node: &Node<A>, request: &CallerRequest, now_us: u64) -> f64 {
    admission_pressure(node.dispatcher.pool().service_contention(&request.routed.service, now_us))
}

/// Whether the caller of a refused request can come back and still be answered in time. A caller that has come
/// back already is not expected to do so again.
fn can_return<A: PlatformAdapter>(node: &Node<A>, request: &CallerRequest, now_us: u64) -> bool {
    !request.has_returned() && return_inputs(node, request, now_us).latest_ms(&request.routed.route).is_some()
}

/// Retry time of a request that this node refused while its service is contended, in milliseconds; `None`
/// without contention.
pub fn contended_retry_after_ms<A: PlatformAdapter>(
    node: &Node<A>,
    request: &CallerRequest,
    error: ErrorKind,
) -> Option<u32> {
    let now_us = node.now_us();
    let is_refused_here = error == ErrorKind::Overloaded && request.sends.get() == 0;
    if !is_refused_here || pressure(node, request, now_us) <= 0.0 {
        return None;
    }
    let jitter = f64::from(node.dispatcher.draw());
    Some(return_inputs(node, request, now_us).return_after_ms(&request.routed.route, jitter))
}

fn return_inputs<A: PlatformAdapter>(node: &Node<A>, request: &CallerRequest, now_us: u64) -> ReturnInputs {
    let baseline_ms = node.dispatcher.route_latencies(&request.routed.route).baseline_ms();
    let latency_max_ms = baseline_ms * RETURN_LATENCY_MULTIPLE_MAX;
    ReturnInputs {
        spent_ms: request.spent_before_ms + request.elapsed_ms(now_us),
        expected_latency_ms: request.expected_latency_ms.get().unwrap_or(baseline_ms).min(latency_max_ms),
        remaining_ms: request.answer_deadline_us.saturating_sub(now_us) as f64 / US_PER_MS as f64,
    }
}

fn report_refusal<A: PlatformAdapter>(
    node: &Node<A>,
    request: &CallerRequest,
    snapshot: &UpstreamSnapshot,
    estimate: &FinishEstimate,
    reason: RefusalReason,
) {
    node.report.not_admitted(reason);
    let load = snapshot.load();
    node.report.failure(snapshot.taken_at_us, || EventKind::RequestWouldBeLate {
        request: request.id.clone(),
        upstream: snapshot.upstream.clone(),
        cost_percent: snapshot.cost_percent(),
        running: load.running,
        waiting: load.waiting,
        pace_percent: load.slowdown_percent,
        load_age_ms: snapshot.load_age_ms(),
        expected_ms: estimate.expected_latency_ms as u64,
        spent_ms: estimate.elapsed_ms as u64,
        reason: Some(reason.as_str().into()),
        spent_before_ms: request.has_returned().then_some(request.spent_before_ms as u64),
    });
}
