//! The `pointvane-locate` program.
#![forbid(unsafe_code)]

use {
    clap::Parser,
    pointvane_telemetry::{Program, ProgramArgs, settings_logger},
};

fn main() -> eyre::Result<()> {
    let settings = ProgramArgs::parse().settings();
    let log = settings_logger(Program::Locate, &settings);
    pointvane_locate::run(settings, log)
}
