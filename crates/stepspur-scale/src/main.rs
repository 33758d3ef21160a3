//! Slopes and the scale run: real processes of stepspur beside hollow ones, on loopback.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod capacity;
mod drains;
mod fit;
mod fleet;
mod gate;
mod hollow;
mod hollow_conductors;
mod program;
mod slopes;
mod traffic;
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
    /// Writes the tables of docs/CAPACITY.md from measured slopes.
    Capacity(capacity::CapacityArgs),
    /// The distribution of configuration at full size, under change and faults, judged.
    Fleet(fleet::FleetArgs),
    /// Drains with the distribution of configuration on against off.
    Drains(drains::DrainsArgs),
    /// Hollow conductors, driven over standard input; started by `fleet`.
    #[command(hide = true)]
    Hollow,
    /// Hollow servers; started by `fleet`.
    #[command(hide = true)]
    HollowServers {
        /// As many.
        #[arg(long)]
        count: usize,
    },
    /// A council's member without a conductor; started by `slopes`.
    #[command(hide = true)]
    Member(slopes::member::MemberArgs),
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    match Arguments::parse().command {
        Command::Slopes(args) => slopes::run(args).await,
        Command::Fleet(args) => fleet::run(args).await,
        Command::Drains(args) => drains::run(args).await,
        Command::Hollow => hollow_conductors::run().await,
        Command::HollowServers { count } => fleet::servers::run(count).await,
        Command::Capacity(args) => capacity::run(args),
        Command::Member(args) => slopes::member::run(args).await,
    }
}
