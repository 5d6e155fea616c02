//! Refuses bodies that wait too long or have stopped while memory is short, and logs when that begins and ends.

use {
    crate::{memory::MemoryUse, node::Node},
    pointvane_core::PlatformAdapter,
    pointvane_telemetry::EventKind,
    std::{rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// Time between two checks while memory is short.
const TICK: Duration = Duration::from_millis(100);
/// Bytes per kilobyte in log lines.
const BYTES_PER_KB: u64 = 1_000;

/// Runs until the process ends.
pub async fn run<A: PlatformAdapter>(node: Rc<Node<A>>) {
    loop {
        node.body_memory.pressure_began().await;
        let MemoryUse { held_bytes, limit_bytes, waiting } = node.body_memory.usage();
        let began = EventKind::MemoryPressureBegan {
            held_kb: held_bytes / BYTES_PER_KB,
            limit_kb: limit_bytes / BYTES_PER_KB,
            waiting: waiting as u64,
        };
        node.report.record_rate_limited(node.now_us(), began);
        while node.body_memory.tick() {
            sleep(TICK).await;
        }
        let ended = EventKind::MemoryPressureEnded {
            held_kb: node.body_memory.usage().held_bytes / BYTES_PER_KB,
            refused: node.report.take_refused_for_memory(),
        };
        node.report.record_rate_limited(node.now_us(), ended);
    }
}
