//! Command-line entry point of `pointvane-entry`.
#![forbid(unsafe_code)]

use {
    clap::Parser,
    pointvane_telemetry::{Program, ProgramArgs, settings_logger},
};

fn main() -> eyre::Result<()> {
    let settings = ProgramArgs::parse().settings();
    let log = settings_logger(Program::Entry, &settings);
    pointvane_entry::run(settings, log)
}
