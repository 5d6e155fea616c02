//! The `pointvane-locate` program.
#![forbid(unsafe_code)]

use {
    pointvane_build::{BUILD, VERSION},
    pointvane_telemetry::{Program, ProgramArgs, settings_logger},
};

fn main() -> eyre::Result<()> {
    let settings = ProgramArgs::parse("pointvane-locate", VERSION).settings();
    let log = settings_logger(Program::Locate, &settings);
    pointvane_locate::run(settings, log, BUILD)
}
