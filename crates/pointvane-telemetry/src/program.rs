//! Common start-up of the programs: arguments, settings and logger.

use {
    clap::{Args, Command, FromArgMatches},
    pointvane_config::{LogFormat, Settings, read_settings},
    std::{path::PathBuf, process},
};

/// Exit code for invalid arguments, settings or files.
pub const EXIT_INVALID_INPUT: i32 = 2;

/// Arguments of the programs on an entry VM.
#[derive(Debug, Args)]
pub struct ProgramArgs {
    /// The VM's settings file, in TOML.
    #[arg(long, value_name = "FILE")]
    pub config: PathBuf,
    /// Check the settings, print all errors and exit.
    #[arg(long)]
    pub check: bool,
}

impl ProgramArgs {
    /// Parses the arguments of this process. Exits it with [`EXIT_INVALID_INPUT`] if they are invalid, and with 0
    /// after `--help` and `--version`.
    pub fn parse(program: &'static str, version: &'static str) -> Self {
        let command = Self::augment_args(Command::new(program).version(version));
        Self::from_arg_matches(&command.get_matches()).unwrap_or_else(|error| error.exit())
    }

    /// Reads and validates the settings. Exits the process with [`EXIT_INVALID_INPUT`] if they are invalid,
    /// and with 0 after `--check`.
    pub fn settings(&self) -> Settings {
        match read_settings(&self.config) {
            Ok(_) if self.check => {
                println!("{}: ok", self.config.display());
                process::exit(0)
            }
            Ok(settings) => settings,
            Err(faults) => {
                eprintln!("{faults}");
                process::exit(EXIT_INVALID_INPUT)
            }
        }
    }
}

/// Creates the logger configured in the settings.
pub fn settings_logger(program: crate::Program, settings: &Settings) -> slog::Logger {
    let json = settings.log.format == LogFormat::Json;
    crate::logger(program.as_str(), &settings.vm.name, settings.log.level, json)
}
