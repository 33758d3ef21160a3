//! Measures cost and behaviour of stepspur at scale, with real processes and lightweight stand-ins ("hollow"
//! ones) on loopback.
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

/// Measures the cost of stepspur as the fleet grows. Everything runs on loopback, for a bounded time.
#[derive(Debug, Parser)]
#[command(name = "stepspur-scale", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Measures the cost of one more server, proxy, report, probe, tenant, council member or entry.
    Slopes(slopes::SlopesArgs),
    /// Writes the tables of docs/CAPACITY.md from measured slopes.
    Capacity(capacity::CapacityArgs),
    /// Runs the distribution of configuration at full size, under changes and faults, and checks the result.
    Fleet(fleet::FleetArgs),
    /// Compares drains with the distribution of configuration on and off.
    Drains(drains::DrainsArgs),
    /// Runs hollow conductors, controlled over standard input; started by `fleet`.
    #[command(hide = true)]
    Hollow,
    /// Runs hollow servers; started by `fleet`.
    #[command(hide = true)]
    HollowServers {
        /// Number of servers.
        #[arg(long)]
        count: usize,
    },
    /// Runs a council member without a conductor; started by `slopes`.
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
