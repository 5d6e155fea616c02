//! Graceful shutdown: callers are first directed to other nodes, then no new requests are accepted, then the
//! process ends.

use {
    crate::{lifecycle::Stage, node::Node},
    pointvane_core::PlatformAdapter,
    pointvane_telemetry::EventKind,
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Share of the grace period for which new requests are still served.
///
/// Callers learn of the shutdown from the directory, whose responses they cache for seconds.
const DRAINING_SHARE: f64 = 0.45;
/// Margin before the end of the grace period, when the platform kills the process.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// Time between two checks for open connections.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Shuts down gracefully. Returns when no caller connection is open or the grace period is nearly over.
pub async fn stop<A: PlatformAdapter>(node: Rc<Node<A>>) {
    let started_at = Instant::now();
    let grace = node.settings().limits.stop_grace;
    node.report.record(EventKind::Stopping { in_flight: node.lifecycle.connections_open() as u64 });
    node.lifecycle.set_stage(Stage::Draining);
    node.publish_entry();
    let actions = node.fleet.leave();
    node.perform(actions);
    sleep(grace.mul_f64(DRAINING_SHARE)).await;
    node.lifecycle.set_stage(Stage::Closing);
    while node.lifecycle.connections_open() > 0 && started_at.elapsed() + EXIT_MARGIN < grace {
        sleep(POLL_INTERVAL).await;
    }
    let cut = node.lifecycle.connections_open() as u64;
    node.closing_connections.end_all();
    // The tasks of these connections report how they ended.
    sleep(POLL_INTERVAL).await;
    node.report.record(EventKind::Stopped { cut });
}
