//! Measurements on real processes over loopback; docs/MEASUREMENTS.md tells how to read them.
#![forbid(unsafe_code)]

use {
    clap::{Parser, Subcommand},
    eyre::Result,
};

mod capacity;
mod choosing;
mod hop;
mod usage;
mod ways;

/// Measurements on real processes over loopback.
#[derive(Parser)]
struct Args {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Ways of choosing, under load and faults.
    Choosing(choosing::Args),
    /// Time added by the data path.
    Hop(hop::Args),
    /// Slopes against the size of the fleet.
    Capacity(capacity::Args),
}

fn main() -> Result<()> {
    match Args::parse().what {
        What::Choosing(args) => choosing::measure(&args),
        What::Hop(args) => hop::measure(&args),
        What::Capacity(args) => capacity::measure(&args),
    }
}
