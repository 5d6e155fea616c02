//! Resources of the machine that the tests run on.

use std::{fs, thread};

/// Returns the number of cores that the harness may use.
pub fn cores() -> usize {
    thread::available_parallelism().map_or(1, usize::from)
}

/// Returns the memory available to new processes, in bytes, as the kernel estimates it in `/proc/meminfo`; 0
/// if that can't be read.
pub fn available_bytes() -> usize {
    let text = fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("MemAvailable:"));
    let kib = line.and_then(|rest| rest.split_whitespace().next()).and_then(|kib| kib.parse::<usize>().ok());
    kib.unwrap_or_default() * 1_024
}
