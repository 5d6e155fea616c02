//! Upstream stand-ins, all in one process.
#![forbid(unsafe_code)]

use {
    clap::Parser,
    pointvane_standins::upstream::Fleet,
    std::{fs, future::pending, net::SocketAddr, path::PathBuf},
};

/// Stand-ins for upstreams.
#[derive(Parser)]
struct Args {
    /// JSON file with an array of upstream specifications.
    #[arg(long)]
    specs: PathBuf,
    /// Address of the control interface.
    #[arg(long)]
    steering: SocketAddr,
    /// Seed of the random service times.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

#[tokio::main(worker_threads = 2)]
async fn main() -> eyre::Result<()> {
    let args = Args::parse();
    let specs = serde_json::from_slice(&fs::read(args.specs)?)?;
    Fleet::start(specs, args.steering, args.seed).await?;
    pending().await
}
