//! Throttled writes that simulate a low-bandwidth link.

use std::{
    io::{self, Write},
    net::TcpStream,
    thread,
    time::Duration,
};

/// Number of bytes sent between two pauses.
const CHUNK_BYTES: usize = 16_384;

/// Sends bytes at a limited rate; 0 for no limit.
pub fn write_throttled(stream: &mut TcpStream, bytes: &[u8], bytes_per_s: u64) -> io::Result<()> {
    if bytes_per_s == 0 {
        return stream.write_all(bytes);
    }
    for chunk in bytes.chunks(CHUNK_BYTES) {
        stream.write_all(chunk)?;
        thread::sleep(Duration::from_secs_f64(chunk.len() as f64 / bytes_per_s as f64));
    }
    Ok(())
}
