//! Behaviour of the program on valid and invalid settings files.

const PROGRAM: &str = env!("CARGO_BIN_EXE_pointvane-control");

include!("../../pointvane-telemetry/tests/shared/settings.rs");
