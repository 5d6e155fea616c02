//! The platform's stand-in as a process.
#![forbid(unsafe_code)]

use {
    clap::Parser,
    pointvane_standins::{platform::Platform, serve::serve},
    std::{future::pending, net::SocketAddr, sync::Arc, time::Duration},
};

/// The platform's stand-in.
#[derive(Parser)]
struct Args {
    /// Where it answers.
    #[arg(long)]
    address: SocketAddr,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let args = Args::parse();
    serve(args.address, Arc::new(Platform::default()), Duration::ZERO).await?;
    pending().await
}
