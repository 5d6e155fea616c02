//! The `pointvane-control` program.
#![forbid(unsafe_code)]

use {
    pointvane_build::{BUILD, VERSION},
    pointvane_telemetry::{Program, ProgramArgs, settings_logger},
};

fn main() -> eyre::Result<()> {
    let settings = ProgramArgs::parse("pointvane-control", VERSION).settings();
    let log = settings_logger(Program::Control, &settings);
    pointvane_control::run(settings, log, BUILD)
}
