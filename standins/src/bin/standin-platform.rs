//! Platform stand-in as a separate process.
#![forbid(unsafe_code)]

use {
    clap::Parser,
    pointvane_standins::{platform::Platform, serve::serve},
    std::{future::pending, net::SocketAddr, sync::Arc, time::Duration},
};

/// Stand-in for the platform's key-value store.
#[derive(Parser)]
struct Args {
    /// Address to listen on.
    #[arg(long)]
    address: SocketAddr,
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let args = Args::parse();
    serve(args.address, Arc::new(Platform::default()), Duration::ZERO).await?;
    pending().await
}
