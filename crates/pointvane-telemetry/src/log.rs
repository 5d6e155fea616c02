//! Set-up of `slog`.

use {
    pointvane_core::Name,
    slog::{Drain, Level, LevelFilter, Logger, o},
    std::{io, str::FromStr},
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
/// It never blocks: lines beyond a bound that wait for a reader are dropped, and their number is told.
pub fn stdout_logger(program: &'static str, vm: &Name) -> Logger {
    let values = o!("program" => program, "vm" => vm.to_string());
    let drain = slog_json::Json::default(io::stdout()).fuse();
    Logger::root(in_background(drain), values)
}

fn in_background<D>(drain: D) -> slog::Fuse<slog_async::Async>
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    slog_async::Async::new(drain).chan_size(WAITING_LINES_MAX).build().fuse()
}
