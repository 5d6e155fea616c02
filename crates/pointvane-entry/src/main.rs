//! Command-line entry point of `pointvane-entry`.
#![forbid(unsafe_code)]

use {
    pointvane_build::{BUILD, VERSION},
    pointvane_telemetry::{Program, ProgramArgs, settings_logger},
};

fn main() -> eyre::Result<()> {
    let settings = ProgramArgs::parse("pointvane-entry", VERSION).settings();
    let log = settings_logger(Program::Entry, &settings);
    pointvane_entry::run(settings, log, BUILD)
}
