//! The program's answer to good and bad settings.

const PROGRAM: &str = env!("CARGO_BIN_EXE_pointvane-locate");

include!("../../pointvane-telemetry/tests/shared/settings.rs");
