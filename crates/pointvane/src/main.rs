//! The program `pointvane`: command-line client for operators.
//!
//! Exit codes: 0 on success, 1 when a process cannot be reached or an operation is refused, 2 for invalid
//! arguments or files.
#![forbid(unsafe_code)]

use {
    clap::{CommandFactory, Parser, Subcommand, ValueEnum},
    clap_complete::Shell,
    pointvane_build::VERSION,
    std::{net::SocketAddr, path::PathBuf, process::ExitCode},
};

mod explain;
mod files;
mod nodes;
mod status;
mod timeline;

/// Checks, packs and compares configuration file sets, and shows the state of running processes.
#[derive(Parser)]
#[command(version = VERSION, about)]
struct Args {
    #[command(subcommand)]
    command: Command,
    /// Output format.
    #[arg(long, global = true, value_enum, default_value_t = Output::Text)]
    output: Output,
}

/// Output format.
#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Output {
    /// Human-readable text.
    Text,
    /// JSON, for scripts.
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Check a file set and print all errors.
    Check {
        /// The directory with `fleet.toml` and `services/`.
        directory: PathBuf,
    },
    /// Check a file set and write it as a single value to publish.
    Pack {
        /// The directory with `fleet.toml` and `services/`.
        directory: PathBuf,
        /// File to write the value to.
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
        /// The currently published value; fail unless the file set has a higher revision.
        #[arg(long, value_name = "FILE")]
        newer_than: Option<PathBuf>,
    },
    /// Print the differences of two file sets or packed values.
    Diff {
        /// A directory or a packed value.
        old: PathBuf,
        /// A directory or a packed value.
        new: PathBuf,
    },
    /// Show every VM: revision in effect, upstreams and members, and which VMs could not be reached.
    Status(nodes::FleetArgs),
    /// Show the events of all processes as one timeline.
    Timeline {
        #[command(flatten)]
        fleet: nodes::FleetArgs,
        #[command(flatten)]
        filter: timeline::Filter,
    },
    /// Collect the log lines of one request, with the state of the processes at the time.
    Explain {
        /// The request's id.
        request: String,
        /// Log files of nodes, in JSON lines.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Print a shell completion script.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// Default operator port of the entry program.
const ENTRY_PORT: u16 = 7_010;
/// Default operator port of the control program.
const CONTROL_PORT: u16 = 7_011;
/// Default operator port of the locate program.
const LOCATE_PORT: u16 = 7_012;

fn main() -> ExitCode {
    let Args { command, output } = Args::parse();
    match command {
        Command::Check { directory } => files::check(&directory, output),
        Command::Pack { directory, out, newer_than } => {
            files::pack_set(&directory, &out, newer_than.as_deref(), output)
        }
        Command::Diff { old, new } => files::compare(&old, &new, output),
        Command::Status(fleet) => status::show(&fleet, output),
        Command::Timeline { fleet, filter } => timeline::show(&fleet, &filter, output),
        Command::Explain { request, files } => explain::show(&request, &files, output),
        Command::Completions { shell } => {
            clap_complete::generate(shell, &mut Args::command(), "pointvane", &mut std::io::stdout());
            ExitCode::SUCCESS
        }
    }
}

/// Operator address of another program on the VM of `control`.
fn operator_address(control: SocketAddr, port: u16) -> SocketAddr {
    SocketAddr::new(control.ip(), port)
}
