//! Processor time and memory of processes, as the kernel accounts them.

use std::fs;

/// Kernel ticks in a second, which Linux fixes for user space.
const TICKS_PER_S: f64 = 100.0;

/// What a process used so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Usage {
    /// Processor time, in seconds.
    pub cpu_s: f64,
    /// Memory held, in megabytes.
    pub memory_mb: f64,
}

/// The usage of a process; zero for one that has ended.
pub fn usage(process: u32) -> Usage {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    // Fields are counted after the program's name, which stands in brackets.
    let fields: Vec<_> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
    let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok()).unwrap_or(0.0);
    let memory = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let memory = memory.and_then(|text| text.split_whitespace().next()?.parse::<f64>().ok());
    Usage { cpu_s: (ticks(11) + ticks(12)) / TICKS_PER_S, memory_mb: memory.unwrap_or(0.0) / 1_024.0 }
}

/// Minimum, median and maximum, as `min/median/max`.
pub fn spread(mut values: Vec<f64>, digits: usize) -> String {
    values.sort_by(f64::total_cmp);
    let (Some(min), Some(max)) = (values.first(), values.last()) else {
        return "-".into();
    };
    let median = values[values.len() / 2];
    format!("{min:.digits$}/{median:.digits$}/{max:.digits$}")
}

/// The median.
pub fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(f64::NAN)
}
