//! Handler of the operator port: metrics, events and status.

use {
    crate::{answer::text_response, connections::RelayBody, node::Node},
    hyper::{Request, Response, StatusCode, body::Incoming},
    pointvane_core::{PER_1000_S, PlatformAdapter, US_PER_MS},
    pointvane_dispatch::ContentionChange,
    pointvane_telemetry::BuildInfo,
    serde::Serialize,
    std::{convert::Infallible, rc::Rc},
};

/// Content type of metrics and error responses.
const TEXT: &str = "text/plain";
/// Content type of events and status.
const JSON: &str = "application/json";

/// Maximum number of rows in each list of the status. Bounds the response size.
const STATUS_ROWS_MAX: usize = 64;

/// Priority for which waiting times are reported: 0 is the highest.
const HIGHEST_PRIORITY: u32 = 0;

/// The response body of `/status`.
#[derive(Debug, Serialize)]
struct Status {
    build: BuildInfo,
    vm: String,
    ready: bool,
    configuration_version: u64,
    platform_revision: u64,
    platform_lost: bool,
    upstreams: usize,
    members: usize,
    quarantined_requests: usize,
    connections: usize,
    lost_services: Vec<LostRow>,
    withheld_upstreams: Vec<WithheldRow>,
    limited_upstreams: Vec<LimitedRow>,
    contended_services: Vec<ContendedRow>,
}

/// A service of which no upstream responds to this node.
#[derive(Debug, Serialize)]
struct LostRow {
    service: String,
    lost_ms: u64,
}

/// An upstream that currently receives no requests.
#[derive(Debug, Serialize)]
struct WithheldRow {
    upstream: String,
    service: String,
    reason: &'static str,
    /// Time until it may receive requests again, in milliseconds, if known.
    back_in_ms: Option<u64>,
}

/// An upstream that advertises a limit.
#[derive(Debug, Serialize)]
struct LimitedRow {
    upstream: String,
    service: String,
    /// Requests per 1000 s that it accepts from the whole fleet.
    per_1000_s: u32,
    /// This node's share of `per_1000_s`.
    part_per_1000_s: u32,
    /// Time until this node may send the next request, in milliseconds; if its share is zero, until any node
    /// may. `None` if it may send one now.
    back_in_ms: Option<u64>,
}

/// A service whose upstreams in a data centre have too little room.
#[derive(Debug, Serialize)]
struct ContendedRow {
    service: String,
    data_centre: String,
    /// Share of the recent load reports by which an upstream was uncontended.
    uncontended_share: f32,
    /// Mean share of the slots in use.
    occupancy: f32,
    /// Number of reports behind these, older ones weighted less.
    reports: f32,
}

/// Serves `/metrics`, `/events` and `/status`.
pub async fn operator<A: PlatformAdapter>(
    node: Rc<Node<A>>,
    request: Request<Incoming>,
) -> Result<Response<RelayBody>, Infallible> {
    // A failed serialization is answered with 500; none of these types can fail.
    let (content_type, text) = match request.uri().path() {
        "/metrics" => {
            node.report.memory_used(node.body_memory.usage());
            (TEXT, Some(node.report.metrics.text()))
        }
        "/events" => {
            (JSON, serde_json::to_string(&node.report.events.page(events_after(request.uri().query()))).ok())
        }
        "/status" => (JSON, serde_json::to_string(&status(&node)).ok()),
        _ => return Ok(text_response(StatusCode::NOT_FOUND, TEXT, String::new())),
    };
    Ok(match text {
        Some(text) => text_response(StatusCode::OK, content_type, text),
        None => text_response(StatusCode::INTERNAL_SERVER_ERROR, TEXT, String::new()),
    })
}

/// The event sequence number after which to continue, from the `after` query parameter; 0 if it is missing or
/// no number.
fn events_after(query: Option<&str>) -> u64 {
    let value = query.unwrap_or_default().split('&').find_map(|pair| pair.strip_prefix("after="));
    value.and_then(|value| value.parse().ok()).unwrap_or_default()
}

fn status<A: PlatformAdapter>(node: &Node<A>) -> Status {
    Status {
        build: node.report.build,
        vm: node.settings().name.to_string(),
        ready: node.is_ready(),
        configuration_version: node.dispatcher.routes().version(),
        platform_revision: node.platform.mark().revision,
        platform_lost: node.platform.state().is_unreachable(),
        upstreams: node.dispatcher.pool().len(),
        members: node.fleet.directory_members().len(),
        quarantined_requests: node.dispatcher.quarantine().quarantined(),
        connections: node.lifecycle.connections_open(),
        lost_services: lost_services(node),
        withheld_upstreams: withheld_upstreams(node),
        limited_upstreams: limited_upstreams(node),
        contended_services: contended_services(node),
    }
}

fn lost_services<A: PlatformAdapter>(node: &Node<A>) -> Vec<LostRow> {
    let pool = node.dispatcher.pool();
    let lost = pool.lost_services(node.now_us());
    let rows =
        lost.map(|(service, lost_us)| LostRow { service: service.to_string(), lost_ms: lost_us / US_PER_MS });
    rows.take(STATUS_ROWS_MAX).collect()
}

fn withheld_upstreams<A: PlatformAdapter>(node: &Node<A>) -> Vec<WithheldRow> {
    let now_us = node.now_us();
    let pool = node.dispatcher.pool();
    let rows = pool.ineligible(now_us).map(|(state, reason)| WithheldRow {
        upstream: state.id().to_string(),
        service: state.record.service.to_string(),
        reason: reason.as_str(),
        back_in_ms: state
            .available_in_us(HIGHEST_PRIORITY, now_us)
            .map(|available_in_us| available_in_us / US_PER_MS),
    });
    rows.take(STATUS_ROWS_MAX).collect()
}

fn limited_upstreams<A: PlatformAdapter>(node: &Node<A>) -> Vec<LimitedRow> {
    let now_us = node.now_us();
    let pool = node.dispatcher.pool();
    let row = |key| {
        let state = pool.get(key)?;
        let available_in_us = state.limit().available_in_us(HIGHEST_PRIORITY, now_us);
        Some(LimitedRow {
            upstream: state.id().to_string(),
            service: state.record.service.to_string(),
            per_1000_s: state.limit().per_1000_s()?,
            part_per_1000_s: (state.limit().share_per_s()? * PER_1000_S) as u32,
            back_in_ms: available_in_us.map(|available_in_us| available_in_us / US_PER_MS),
        })
    };
    pool.limited().into_iter().filter_map(row).take(STATUS_ROWS_MAX).collect()
}

fn contended_services<A: PlatformAdapter>(node: &Node<A>) -> Vec<ContendedRow> {
    let pool = node.dispatcher.pool();
    let row = |change: ContentionChange| {
        let contention = change.contention?;
        Some(ContendedRow {
            service: change.service.to_string(),
            data_centre: change.data_centre.to_string(),
            uncontended_share: contention.uncontended_share,
            occupancy: contention.occupancy,
            reports: contention.reports,
        })
    };
    pool.contention_table().contended(node.now_us()).filter_map(row).take(STATUS_ROWS_MAX).collect()
}
