//! The upstreams' stand-ins as a process.
#![forbid(unsafe_code)]

use {
    clap::Parser,
    pointvane_standins::upstream::Fleet,
    std::{fs, future::pending, net::SocketAddr, path::PathBuf},
};

/// The upstreams' stand-ins.
#[derive(Parser)]
struct Args {
    /// What the upstreams are, as JSON.
    #[arg(long)]
    specs: PathBuf,
    /// Where they are steered.
    #[arg(long)]
    steering: SocketAddr,
    /// Seed of the times of service.
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
