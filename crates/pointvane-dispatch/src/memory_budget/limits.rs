//! How the memory of a process is divided.

/// Share of the memory of a process that bodies may occupy. The rest is for the process itself, the heads of
/// requests, the buffers of connections and unread bytes in sockets.
const BODIES_SHARE: f64 = 0.375;
/// Share of the memory for bodies that only small ones may use.
const SMALL_SHARE: f64 = 0.25;
/// Share of the memory of a process that unread bytes of waiting holders may occupy in their sockets.
const UNREAD_SHARE: f64 = 0.0625;
/// Unread bytes that the socket of a waiting holder may hold: the payload that Linux buffers by default.
const UNREAD_BYTES: u64 = 64 << 10;
/// Number of bodies of the largest size that fit at once.
const LARGEST_BODIES_MIN: u64 = 8;

/// Limits on the memory that holders reserve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Memory for all holders, in bytes.
    pub bytes: u64,
    /// Part of `bytes` that large holders may use.
    pub large_bytes: u64,
    /// Largest part of a body that is buffered, in bytes; longer bodies are streamed.
    pub body_bytes_max: u64,
    /// Number of holders that may wait.
    pub waiting_max: usize,
}

impl MemoryLimits {
    /// No limits.
    pub const NONE: Self =
        Self { bytes: u64::MAX, large_bytes: u64::MAX, body_bytes_max: u64::MAX, waiting_max: usize::MAX };

    /// The limits for a process that may use `process_bytes` in all.
    pub fn of_process(process_bytes: u64) -> Self {
        let bytes = (process_bytes as f64 * BODIES_SHARE) as u64;
        let large_bytes = (bytes as f64 * (1.0 - SMALL_SHARE)) as u64;
        let unread_bytes = (process_bytes as f64 * UNREAD_SHARE) as u64;
        Self {
            bytes,
            large_bytes,
            body_bytes_max: large_bytes / LARGEST_BODIES_MIN,
            waiting_max: (unread_bytes / UNREAD_BYTES) as usize,
        }
    }
}
