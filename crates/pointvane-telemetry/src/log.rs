//! `slog` set-up.

use {
    pointvane_core::Name,
    slog::{Drain, Level, LevelFilter, Logger, o},
    std::{fmt, io, str::FromStr, sync::mpsc, thread, time::Duration},
};

/// Capacity of the queue of lines to be written; `slog-async` drops further lines and counts them.
const QUEUED_LINES_MAX: usize = 1_024;

/// Creates a logger to standard error that writes JSON lines or human-readable text. An unknown `level` means
/// "info".
pub fn logger(program: &'static str, vm: &Name, level: &str, json: bool) -> Logger {
    let level = Level::from_str(level).unwrap_or(Level::Info);
    let values = o!("program" => program, "vm" => vm.to_string());
    if json {
        let drain = slog_json::Json::default(io::stderr()).fuse();
        return Logger::root(LevelFilter::new(async_drain(drain), level).fuse(), values);
    }
    let decorator = slog_term::TermDecorator::new().stderr().build();
    let drain = slog_term::FullFormat::new(decorator).use_utc_timestamp().build().fuse();
    Logger::root(LevelFilter::new(async_drain(drain), level).fuse(), values)
}

/// Creates a logger of JSON lines to standard output, for processes whose output a platform collects.
///
/// Logging never blocks: when the reader falls behind and the queue is full, lines are dropped and their
/// number is logged. Call [`LineFlush::flush`] before the process ends to write the remaining lines.
pub fn stdout_logger(program: &'static str, vm: &Name) -> (Logger, LineFlush) {
    let values = o!("program" => program, "vm" => vm.to_string());
    let drain = slog_json::Json::default(io::stdout()).fuse();
    let (queue, guard) = slog_async::Async::new(drain).chan_size(QUEUED_LINES_MAX).build_with_guard();
    (Logger::root(queue.fuse(), values), LineFlush { drain_guard: guard })
}

/// Flushes the queued log lines.
pub struct LineFlush {
    drain_guard: slog_async::AsyncGuard,
}

impl fmt::Debug for LineFlush {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LineFlush").finish_non_exhaustive()
    }
}

impl LineFlush {
    /// Waits until all queued lines are written, at most for `timeout`, since the reader of standard output
    /// may have stopped reading.
    pub fn flush(self, timeout: Duration) {
        let (done, flushed) = mpsc::channel();
        thread::spawn(move || {
            drop(self.drain_guard);
            // The receiver is gone if the wait timed out.
            _ = done.send(());
        });
        _ = flushed.recv_timeout(timeout);
    }
}

fn async_drain<D>(drain: D) -> slog::Fuse<slog_async::Async>
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    slog_async::Async::new(drain).chan_size(QUEUED_LINES_MAX).build().fuse()
}
