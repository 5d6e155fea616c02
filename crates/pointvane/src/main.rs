//! The program `pointvane`: the operators' client.
//!
//! Exit codes: 0 all is well, 1 something could not be reached or is refused, 2 faulty arguments or files.
#![forbid(unsafe_code)]

use {
    clap::{CommandFactory, Parser, Subcommand, ValueEnum},
    clap_complete::Shell,
    std::{net::SocketAddr, path::PathBuf, process::ExitCode},
};

mod explain;
mod files;
mod nodes;
mod status;
mod timeline;

/// Checks, packs and compares file sets, and shows what runs.
#[derive(Parser)]
#[command(version, about)]
struct Args {
    #[command(subcommand)]
    command: Command,
    /// Form of what is printed.
    #[arg(long, global = true, value_enum, default_value_t = Output::Text)]
    output: Output,
}

/// Form of what is printed.
#[derive(Clone, Copy, PartialEq, Eq, ValueEnum)]
enum Output {
    /// For people.
    Text,
    /// For scripts.
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Check a whole file set and print every fault.
    Check {
        /// The directory with `fleet.toml` and `services/`.
        directory: PathBuf,
    },
    /// Check a file set and write the one value to publish.
    Pack {
        /// The directory with `fleet.toml` and `services/`.
        directory: PathBuf,
        /// Where to write the value.
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
        /// The value published now; refuse a set that is not newer.
        #[arg(long, value_name = "FILE")]
        newer_than: Option<PathBuf>,
    },
    /// Say in words how two file sets or packed values differ.
    Diff {
        /// A directory or a packed value.
        old: PathBuf,
        /// A directory or a packed value.
        new: PathBuf,
    },
    /// Show every VM: revision in force, upstreams, members; and which could not be reached.
    Status(nodes::FleetArgs),
    /// Show the events of all processes as one time line.
    Timeline {
        #[command(flatten)]
        fleet: nodes::FleetArgs,
        #[command(flatten)]
        filter: timeline::Filter,
    },
    /// Gather the lines of one request from logs, with what the processes believed at the time.
    Explain {
        /// The request's id.
        request: String,
        /// Logs of nodes, in JSON lines.
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Print completions for a shell.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// Default operator port of the entry on a VM.
const ENTRY_PORT: u16 = 7_010;
/// Default operator port of the control.
const CONTROL_PORT: u16 = 7_011;
/// Default operator port of the locate.
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

/// An operator port of another program on the same VM.
fn beside(control: SocketAddr, port: u16) -> SocketAddr {
    SocketAddr::new(control.ip(), port)
}
