//! A planned stop: first callers are sent elsewhere, then nothing new is taken, then the process ends.

use {
    crate::node::Node,
    pointvane_core::PlatformAdapter,
    pointvane_telemetry::EventKind,
    std::{rc::Rc, time::Duration},
    tokio::time::{Instant, sleep},
};

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Not begun.
    Running,
    /// Callers are sent elsewhere; those that come are still served.
    Leaving,
    /// Nothing new is taken.
    Closing,
}

/// Part of the grace for which callers that come are still served.
const LEAVING_SHARE: f64 = 0.45;
/// Time kept free before the platform would end the process.
const RESERVE: Duration = Duration::from_millis(300);
const LOOK_INTERVAL: Duration = Duration::from_millis(50);

/// Stops as planned; returns when nothing is in flight or the grace is nearly over.
pub async fn stop<A: PlatformAdapter>(node: Rc<Node<A>>) {
    let began = Instant::now();
    let grace = node.settings.borrow().limits.stop_grace;
    node.report.note(EventKind::Stopping { in_flight: node.connections_open() as u64 });
    node.stage.send_replace(Stage::Leaving);
    node.tell_entry();
    let told = node.membership.borrow_mut().leave();
    node.perform(told);
    sleep(grace.mul_f64(LEAVING_SHARE)).await;
    node.stage.send_replace(Stage::Closing);
    while node.connections_open() > 0 && began.elapsed() + RESERVE < grace {
        sleep(LOOK_INTERVAL).await;
    }
    node.report.note(EventKind::Stopped { cut: node.connections_open() as u64 });
}
