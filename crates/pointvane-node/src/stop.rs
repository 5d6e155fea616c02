//! A planned stop: first callers are sent elsewhere, then nothing new is accepted, then the process ends.

use {
    crate::{lifecycle::Stage, node::Node},
    pointvane_core::PlatformAdapter,
    pointvane_telemetry::EventKind,
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Share of the grace period for which callers that still come are served.
///
/// Not measured at other values: callers learn of the stop from the directory, whose answers they keep for seconds.
const DRAINING_SHARE: f64 = 0.45;
/// Time kept free before the platform would kill the process. Not measured.
const RESERVE: Duration = Duration::from_millis(300);
/// Time between two checks for open connections.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Stops as planned; returns when no connection is open or the grace period is nearly over.
pub async fn stop<A: PlatformAdapter>(node: Rc<Node<A>>) {
    let began = Instant::now();
    let grace = node.settings().limits.stop_grace;
    node.report.note(EventKind::Stopping { in_flight: node.lifecycle.connections_open() as u64 });
    node.lifecycle.enter(Stage::Draining);
    node.publish_entry();
    let actions = node.fleet.leave();
    node.perform(actions);
    sleep(grace.mul_f64(DRAINING_SHARE)).await;
    node.lifecycle.enter(Stage::Closing);
    while node.lifecycle.connections_open() > 0 && began.elapsed() + RESERVE < grace {
        sleep(POLL_INTERVAL).await;
    }
    node.report.note(EventKind::Stopped { cut: node.lifecycle.connections_open() as u64 });
}
