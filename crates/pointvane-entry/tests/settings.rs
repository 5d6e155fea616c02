//! Checks how the program handles valid and invalid settings.

const PROGRAM: &str = env!("CARGO_BIN_EXE_pointvane-entry");

include!("../../pointvane-telemetry/tests/shared/settings.rs");
