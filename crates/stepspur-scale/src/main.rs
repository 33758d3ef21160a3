//! Slopes and the scale run: real processes of stepspur beside hollow ones, on loopback.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod slopes;
mod usage;

use clap::{Parser, Subcommand};

/// Measures what stepspur costs as the fleet grows. Everything runs on loopback, for a bounded time.
#[derive(Debug, Parser)]
#[command(name = "stepspur-scale", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// What one more server, proxy, report, probe, tenant, council member or entry costs.
    Slopes(slopes::SlopesArgs),
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    match Arguments::parse().command {
        Command::Slopes(args) => slopes::run(args).await,
    }
}
