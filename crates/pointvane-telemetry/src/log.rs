//! Set-up of `slog`.

use {
    pointvane_core::Name,
    slog::{Drain, Level, LevelFilter, Logger, o},
    std::{fmt, io, str::FromStr, sync::mpsc, thread, time::Duration},
};

/// Lines that may wait to be written; more are dropped and counted by `slog-async`.
const WAITING_LINES_MAX: usize = 1_024;

/// A logger to standard error: JSON lines, or text for people.
pub fn logger(program: &'static str, vm: &Name, level: &str, json: bool) -> Logger {
    let level = Level::from_str(level).unwrap_or(Level::Info);
    let values = o!("program" => program, "vm" => vm.to_string());
    if json {
        let drain = slog_json::Json::default(io::stderr()).fuse();
        return Logger::root(LevelFilter::new(in_background(drain), level).fuse(), values);
    }
    let decorator = slog_term::TermDecorator::new().stderr().build();
    let drain = slog_term::FullFormat::new(decorator).use_utc_timestamp().build().fuse();
    Logger::root(LevelFilter::new(in_background(drain), level).fuse(), values)
}

/// A logger of JSON lines to standard output, for processes whose lines a platform gathers.
///
/// It never blocks: lines beyond a bound that wait for a reader are dropped, and their number is told. The last lines
/// are written by [`LineFlush::flush`], before the process ends.
pub fn stdout_logger(program: &'static str, vm: &Name) -> (Logger, LineFlush) {
    let values = o!("program" => program, "vm" => vm.to_string());
    let drain = slog_json::Json::default(io::stdout()).fuse();
    let (lines, guard) = slog_async::Async::new(drain).chan_size(WAITING_LINES_MAX).build_with_guard();
    (Logger::root(lines.fuse(), values), LineFlush { lines: guard })
}

/// Writes the lines that wait for a reader, as long as it reads.
pub struct LineFlush {
    lines: slog_async::AsyncGuard,
}

impl fmt::Debug for LineFlush {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LineFlush").finish_non_exhaustive()
    }
}

impl LineFlush {
    /// Waits until all lines are written, at most for a time: the reader may stand still.
    pub fn flush(self, patience: Duration) {
        let (done, flushed) = mpsc::channel();
        thread::spawn(move || {
            drop(self.lines);
            // Nobody waits any more if the reader stood still.
            _ = done.send(());
        });
        _ = flushed.recv_timeout(patience);
    }
}

fn in_background<D>(drain: D) -> slog::Fuse<slog_async::Async>
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    slog_async::Async::new(drain).chan_size(WAITING_LINES_MAX).build().fuse()
}
