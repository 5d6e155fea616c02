//! The gossip thread: receives datagrams and drives the membership timers.

use {
    crate::state::State,
    pointvane_mesh::codec,
    std::{
        net::UdpSocket,
        sync::atomic::{AtomicBool, Ordering},
        time::{Duration, Instant},
    },
};

/// Number of timer ticks per probe interval.
const TICKS_PER_INTERVAL: u32 = 10;

/// Receives datagrams and ticks until `stop` is set, or until the socket's timeout cannot be set.
pub fn gossip(state: &State, socket: &UdpSocket, stop: &AtomicBool) {
    let tick_interval = Duration::from_millis(state.settings.mesh.probe_interval_ms) / TICKS_PER_INTERVAL;
    let mut next_tick = Instant::now();
    let mut buffer = [0; codec::DATAGRAM_LIMIT_BYTES];
    while !stop.load(Ordering::Relaxed) {
        let now = Instant::now();
        if now >= next_tick {
            state.tick();
            next_tick = now + tick_interval;
        }
        let timeout = next_tick.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        if socket.set_read_timeout(Some(timeout)).is_err() {
            return;
        }
        let Ok((length, from)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        match codec::decode(&buffer[..length]) {
            Ok(message) => state.receive(from, &message),
            Err(_) => state.counters.record_dropped(),
        }
    }
}
