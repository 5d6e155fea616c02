//! What the machine that a soak runs on can bear.

use std::{fs, thread};

/// Cores that the harness may use.
pub fn cores() -> usize {
    thread::available_parallelism().map_or(1, usize::from)
}

/// Bytes of memory that are free for new processes, as the kernel estimates them.
pub fn available_bytes() -> usize {
    let text = fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("MemAvailable:"));
    let kib = line.and_then(|rest| rest.split_whitespace().next()).and_then(|kib| kib.parse::<usize>().ok());
    kib.unwrap_or_default() * 1_024
}
