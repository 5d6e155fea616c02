//! The thread that receives datagrams and takes the time.

use {
    crate::state::State,
    pointvane_mesh::codec,
    std::{
        net::UdpSocket,
        sync::atomic::{AtomicBool, Ordering},
        time::{Duration, Instant},
    },
};

/// Ticks in one probe interval.
const TICKS_PER_INTERVAL: u32 = 10;

/// Receives and ticks until `stop`.
pub fn gossip(state: &State, socket: &UdpSocket, stop: &AtomicBool) {
    let tick = Duration::from_millis(state.settings.mesh.probe_interval_ms) / TICKS_PER_INTERVAL;
    let mut next = Instant::now();
    let mut buffer = [0; codec::DATAGRAM_LIMIT_BYTES];
    while !stop.load(Ordering::Relaxed) {
        let now = Instant::now();
        if now >= next {
            state.tick();
            next = now + tick;
        }
        let left = next.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        if socket.set_read_timeout(Some(left)).is_err() {
            return;
        }
        let Ok((length, from)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        match codec::decode(&buffer[..length]) {
            Ok(message) => state.receive(from, &message),
            Err(_) => state.counters.dropped(),
        }
    }
}
