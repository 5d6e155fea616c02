//! The program's answer to good and bad settings.

const PROGRAM: &str = env!("CARGO_BIN_EXE_pointvane-entry");

include!("../../pointvane-telemetry/tests/shared/settings.rs");
